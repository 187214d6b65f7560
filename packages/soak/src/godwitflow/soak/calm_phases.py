"""The phases of a soak run in which no random faults are injected.

In each of them one thing happens, and a guarantee with a time limit is
checked.
"""

import typing

from twisted.internet import task

from godwitflow.soak import deployment as deployments
from godwitflow.soak import history as histories
from godwitflow.soak import proxies
from godwitflow.standins import fake_upstream
from godwitflow.standins import fixtures

FAULT_FREE_S = 3.0
MIN_SERVED_SHARE = 0.95
PAUSE_S = 2.0
MAX_CALLS_IN_A_PAUSE = 2
LIMIT_CALLS_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_CALLS = 5
SUCCESS_STATUSES = range(200, 300)


class CalmPhases:
    """Runs the phases one after another.

    ``report`` takes the problems, ``report_late`` those that a busy machine
    may cause.
    """

    def __init__(
        self,
        reactor: typing.Any,
        deployment: deployments.Deployment,
        report: typing.Callable[[str], None],
        report_late: typing.Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._deployment = deployment
        self._report = report
        self._report_late = report_late
        self._limited = ""

    async def run(self) -> None:
        """Run all phases."""
        settled_s = self._reactor.seconds()
        await self._run_without_faults()
        self._check_rate_limit(settled_s)
        await self._silence_store_connections()
        await self._let_an_upstream_leave()
        await self._pause_a_service()

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds)

    def limit_a_shard(self) -> None:
        """Have an upstream of a shard state a rate limit."""
        shard = self._deployment.history.shards[0]
        upstream = self._upstreams_of(shard)[0]
        upstream.rate_limit = f"{LIMIT_CALLS_PER_S:g}"
        self._limited = upstream.name

    def _check_rate_limit(self, from_s: float) -> None:
        calls = self._deployment.history.most_arrivals(
            self._limited, LIMIT_WINDOW_S, from_s
        )
        allowed = (
            LIMIT_FACTOR * LIMIT_CALLS_PER_S * LIMIT_WINDOW_S
            + LIMIT_EXTRA_CALLS
        )
        if calls > allowed:
            self._report_late(
                f"rate limit: {self._limited} got {calls} calls,"
                f" {allowed:g} allowed"
            )

    async def _run_without_faults(self) -> None:
        """Change the configuration and replace an upstream.

        Check that both changes are in force after
        ``fixtures.APPLY_LIMIT_S``, and that requests are served again.
        """
        deployment = self._deployment
        deployment.change_configuration()
        leaving = next(
            name
            for name, registered in deployment.upstreams.items()
            if registered.upstream.service == "solo"
        )
        deployment.replace_upstream(leaving)
        await self._sleep(fixtures.APPLY_LIMIT_S + 0.5)
        start_s = self._reactor.seconds()
        await self._sleep(FAULT_FREE_S)
        self._check_recovery(start_s, leaving)

    def _check_recovery(self, start_s: float, leaving: str) -> None:
        history = self._deployment.history
        sent = [
            record
            for record in history.requests.values()
            if record.sent_at_s > start_s
        ]
        completed = [record for record in sent if record.status >= 0]
        served = sum(record.status in SUCCESS_STATUSES for record in completed)
        if served < MIN_SERVED_SHARE * len(completed):
            self._report_late(f"recovery: {served} of {len(completed)} served")
        self._check_configuration(start_s)
        late = [
            arrival
            for arrival in history.arrivals
            if arrival.upstream == leaving
            and arrival.at_s > start_s
            and arrival.ran
        ]
        if late:
            self._report_late(
                f"drain: {len(late)} requests reached {leaving} too late"
            )

    def _check_configuration(self, start_s: float) -> None:
        """Check that requests sent since a time had the newest one."""
        history = self._deployment.history
        newest = f"turn-{self._deployment.configuration_number}"
        for record in history.requests.values():
            if (
                record.kind is histories.Kind.VERSIONED
                and record.sent_at_s > start_s
                and record.status in SUCCESS_STATUSES
            ):
                name = record.signatures[0].rpartition(".")[0]
                if history.services[name] != newest:
                    self._report_late(f"old configuration: {record.request}")

    async def _silence_store_connections(self) -> None:
        """Change the configuration after open connections fell silent.

        Nodes count as undisturbed again after ``fixtures.STABLE_WINDOW_S``.
        The change before lets their watches of the store begin anew.
        """
        self._deployment.change_configuration()
        await self._sleep(0.5)
        self._deployment.silence_store_connections()
        self._deployment.change_configuration()
        await self._sleep(fixtures.STABLE_WINDOW_S)
        start_s = self._reactor.seconds()
        await self._sleep(FAULT_FREE_S)
        self._check_configuration(start_s)

    def _upstreams_of(self, service: str) -> list[fake_upstream.FakeUpstream]:
        return [
            registered.upstream
            for registered in self._deployment.upstreams.values()
            if registered.upstream.service == service
        ]

    async def _let_an_upstream_leave(self) -> None:
        """Let an upstream say that it leaves while the store is silent."""
        upstream = self._upstreams_of("solo")[0]
        for proxy in self._deployment.store_proxies.values():
            proxy.set_mode(proxies.Mode.DROP_BOTH)
        upstream.leaving = True
        await self._sleep(fixtures.DRAIN_S + FAULT_FREE_S)
        for proxy in self._deployment.store_proxies.values():
            proxy.set_mode(proxies.Mode.PASS)
        late = self._deployment.history.late_after_leaving(
            upstream.name, fixtures.DRAIN_S
        )
        if late:
            self._report_late(f"leaving: {late} requests at {upstream.name}")
        self._deployment.replace_upstream(upstream.name)

    async def _pause_a_service(self) -> None:
        """Let its upstreams turn all away and name a time again and again."""
        paused = self._upstreams_of("solo")
        start_s = self._reactor.seconds()
        for upstream in paused:
            upstream.fault = fake_upstream.Fault.REJECT
            upstream.fault_share = 1.0
            upstream.retry_after = f"{PAUSE_S:g}"
        await self._sleep(2.0 * PAUSE_S)
        for upstream in paused:
            upstream.fault_share = 0.0
            upstream.retry_after = None
        await self._sleep(PAUSE_S)
        for upstream in paused:
            calls = self._deployment.history.most_calls_in_a_pause(
                upstream.name, start_s
            )
            if calls > MAX_CALLS_IN_A_PAUSE:
                self._report_late(f"paused: {calls} calls to {upstream.name}")
            heard = self._deployment.history.most_calls_after_a_refusal(
                upstream.name, start_s
            )
            if heard > MAX_CALLS_IN_A_PAUSE:
                self._report(f"refused: {heard} calls to {upstream.name}")
