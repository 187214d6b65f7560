"""Replaces nine nodes one after another under load, on loopback.

Real nodes run with a fake platform and fake upstreams in one process.
During the run the store is down for a while and a new configuration is
applied.
"""

import collections
import dataclasses
import gc
import os
import pathlib
import random
import time
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import task

from godwitflow.caller import client
from godwitflow.daemon import node as node_module
from godwitflow.fakes import deployment
from godwitflow.fakes import upstream
from godwitflow.lab import local_cluster
from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.settings import folder
from godwitflow.store import config_store

NODES = 9
QUERY_GAP_S = 0.12
BOOKING_GAP_S = 0.3
OUTAGE_FROM_S = 6.0
OUTAGE_S = 10.0
APPLY_AT_S = 18.0
IN_FORCE_LIMIT_S = 17.0
RESEND_GAP_S = 0.4
MAX_SENDS = 3
CALLERS = 3

DEPLOYMENT = deployment.Deployment(
    "concert",
    ("brest", "quimper", "rennes", "vannes"),
    deployment.BRITTANY.priorities,
    (deployment.ServiceShape("planning", 6, 2, upstream.Shape(2, 25, 2, 8)),),
    "planning",
)


class Result(msgspec.Struct):
    """The counts of one run; times in seconds unless a name has a unit.

    ``sent`` counts every request, resends included, ``cut`` those that
    ended without an answer or refusal,
    ``doubled`` bookings that ran more than once, ``lost_claims`` bookings
    whose reported outcome is wrong, ``reverts`` nodes that went back to
    an older configuration.
    """

    seconds: float = 0.0
    sent: int = 0
    answered: int = 0
    partial: int = 0
    refused_not_run: dict[str, int] = {}
    unknown: int = 0
    cut: int = 0
    bookings_run: int = 0
    doubled: int = 0
    lost_claims: int = 0
    wrong_coverage: int = 0
    apply_in_force_s: float = -1.0
    reverts: int = 0
    store_calls_per_s: float = 0.0
    control_cpu_ms_per_s_a_node: float = 0.0
    memory_mb_a_node: float = 0.0
    nodes_replaced: int = 0

    def violations(self) -> list[str]:
        """Return the names of the fields that violate an invariant."""
        violated = [
            name
            for name in (
                "cut",
                "doubled",
                "lost_claims",
                "wrong_coverage",
                "reverts",
            )
            if getattr(self, name)
        ]
        if not 0.0 <= self.apply_in_force_s <= IN_FORCE_LIMIT_S:
            violated.append("apply_in_force_s")
        if self.nodes_replaced < NODES:
            violated.append("nodes_replaced")
        return violated


@dataclasses.dataclass
class _Booking:
    payload: str
    answered: bool = False
    not_run: bool = False


class RollingReplacement:
    """Runs the load, replacements, store outage and configuration change."""

    def __init__(self, reactor: typing.Any) -> None:
        self.reactor = reactor
        self.cluster = local_cluster.LocalCluster(reactor, DEPLOYMENT)
        self.result = Result()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.bookings: list[_Booking] = []
        self.seen_generations: list[list[int]] = []
        self.control_cpu_s = 0.0
        self.node_seconds = 0.0
        self.running = True
        self.pending: list[defer.Deferred] = []
        self.random = random.Random(1)

    async def run(self) -> Result:
        """Run the scenario and return the counts."""
        before_mb = _resident_mb()
        await self.cluster.publish()
        await self.cluster.start_nodes(NODES)
        await self.cluster.wait_ready(NODES)
        self.result.memory_mb_a_node = (_resident_mb() - before_mb) / NODES
        for node in self.cluster.nodes.values():
            self._instrument(node)
        self.callers = [
            client.Caller(
                self.reactor,
                self.cluster.entry_points(),
                random.Random(seed),
            )
            for seed in range(CALLERS)
        ]
        started_s = self.reactor.seconds()
        self.cluster.platform.call_counts.clear()
        coroutines = [self._queries(), self._bookings(), self._outage()]
        background = [defer.ensureDeferred(item) for item in coroutines]
        applying = defer.ensureDeferred(self._apply())
        await self._replace_all()
        await applying
        self.running = False
        await defer.gatherResults(background)
        await defer.gatherResults(self.pending)
        self.result.seconds = self.reactor.seconds() - started_s
        await self._close()
        self._count()
        return self.result

    # Load -------------------------------------------------------------

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self.reactor, seconds, lambda: None)

    async def _queries(self) -> None:
        number = 0
        while self.running:
            number += 1
            rank = number % len(DEPLOYMENT.priorities)
            query = self._query(number, DEPLOYMENT.priorities[rank][0])
            self.pending.append(defer.ensureDeferred(query))
            await self._sleep(QUERY_GAP_S)

    async def _query(self, number: int, priority: str) -> None:
        caller = self.random.choice(self.callers)
        request = client.Request("planning", {"n": number % 50}, priority)
        result = await self._send_request(caller, request)
        match result:
            case answers.Answer():
                self.result.answered += 1
                self.result.partial += not result.coverage.complete
                self.result.wrong_coverage += not _is_consistent(result)
            case answers.Refusal(ran=answers.RunStatus.NOT_RUN, code=code):
                self.refusals[code.value] += 1
            case answers.Refusal():
                self.result.unknown += 1

    async def _send_request(
        self, caller: client.Caller, request: client.Request
    ) -> client.Result | None:
        self.result.sent += 1
        try:
            return await caller.send_request(request)
        except errors.OutcomeUnknownError:
            self.result.cut += 1
        except errors.NoAddressError:
            self.result.cut += 1
        return None

    async def _bookings(self) -> None:
        number = 0
        while self.running:
            number += 1
            booking = _Booking(f"seat-{number}")
            self.bookings.append(booking)
            self.pending.append(defer.ensureDeferred(self._book(booking)))
            await self._sleep(BOOKING_GAP_S)

    async def _book(self, booking: _Booking) -> None:
        """Send a booking; resend under the same key while it has not run."""
        request = client.Request(
            "planning",
            booking.payload,
            DEPLOYMENT.priorities[0][0],
            idempotent=False,
            request_key=client.new_request_key(),
            shard_key=booking.payload,
        )
        for _ in range(MAX_SENDS):
            caller = self.random.choice(self.callers)
            result = await self._send_request(caller, request)
            match result:
                case answers.Answer():
                    self.result.answered += 1
                    booking.answered = True
                    booking.not_run = False
                    return
                case answers.Refusal(ran=answers.RunStatus.NOT_RUN, code=code):
                    self.refusals[code.value] += 1
                    booking.not_run = True
                case _:
                    self.result.unknown += 1
                    booking.not_run = False
                    return
            await self._sleep(RESEND_GAP_S)

    # Events -----------------------------------------------------------

    async def _outage(self) -> None:
        await self._sleep(OUTAGE_FROM_S)
        self.cluster.platform.down = True
        await self._sleep(OUTAGE_S)
        self.cluster.platform.down = False

    async def _apply(self) -> None:
        await self._sleep(APPLY_AT_S)
        files = (
            *deployment.files(DEPLOYMENT),
            folder.File("90-more.yaml", b"addresses: {count: 4}\n"),
        )
        store = self.cluster.platform.store
        applied = await config_store.apply(store, files, "ana")
        started_s = self.reactor.seconds()
        while not self._in_force(applied.generation):
            await self._sleep(0.02)
            if self.reactor.seconds() - started_s > IN_FORCE_LIMIT_S + 1:
                return
        self.result.apply_in_force_s = self.reactor.seconds() - started_s

    def _in_force(self, generation: int) -> bool:
        heads = [node.catalog.head for node in self.cluster.nodes.values()]
        return all(
            head is not None and head.generation >= generation
            for head in heads
        )

    async def _replace_all(self) -> None:
        """Replace each node: start the new one, then stop the old one."""
        domains = DEPLOYMENT.failure_domains
        for number, name in enumerate(list(self.cluster.nodes)):
            domain = domains[number % len(domains)]
            new_node = await self.cluster.start_node(
                f"new{number + 1}", domain
            )
            self._instrument(new_node)
            node = self.cluster.nodes[name]
            await self._wait_serving(new_node)
            del self.cluster.nodes[name]
            await self.cluster.publish_vms()
            await node.stop()
            self.result.nodes_replaced += 1

    async def _wait_serving(self, node: node_module.Node) -> None:
        await self.cluster.wait_until(lambda: node.front.serving)

    def _instrument(self, node: node_module.Node) -> None:
        """Measure a node's control CPU time and record its generations."""
        self.seen_generations.append(
            typing.cast(list[int], node.catalog.generations)
        )
        node.control.tick = self._timed(  # type: ignore[method-assign]
            node.control.tick
        )
        node._handle_control = self._timed(  # type: ignore[method-assign]
            node._handle_control
        )

    def _timed(self, function: typing.Callable) -> typing.Callable:
        def timed(*args: typing.Any) -> typing.Any:
            started_s = time.process_time()
            try:
                return function(*args)
            finally:
                self.control_cpu_s += time.process_time() - started_s

        return timed

    async def _close(self) -> None:
        for caller in self.callers:
            await caller.close()
        await self.cluster.stop_nodes()
        await self.cluster.close()

    # Counts -----------------------------------------------------------

    def _count(self) -> None:
        result = self.result
        result.refused_not_run = dict(self.refusals)
        for booking in self.bookings:
            payload = msgspec.json.encode(booking.payload).decode()
            runs = self.cluster.fleet.run_count(payload)
            result.bookings_run += runs > 0
            result.doubled += runs > 1
            result.lost_claims += booking.answered and runs == 0
            result.lost_claims += booking.not_run and runs > 0
        for seen in self.seen_generations:
            result.reverts += seen != sorted(seen)
        calls = sum(self.cluster.platform.call_counts.values())
        result.store_calls_per_s = round(calls / result.seconds, 2)
        spent_ms = self.control_cpu_s * 1e3
        per_node = spent_ms / result.seconds / NODES
        result.control_cpu_ms_per_s_a_node = round(per_node, 3)


def _is_consistent(answer: answers.Answer) -> bool:
    rows = msgspec.json.decode(bytes(answer.rows))
    shards = {row["shard"] for row in rows}
    snapshots = {row["snapshot"] for row in rows}
    coverage = answer.coverage
    distinct = len(shards) == len(rows) == coverage.answered
    complete = coverage.answered + len(coverage.missing) == coverage.total
    return distinct and complete and snapshots <= {answer.snapshot}


def _resident_mb() -> float:
    text = pathlib.Path("/proc/self/statm").read_text()
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def _print(result: Result) -> None:
    if os.environ.get("JSON"):
        print(msgspec.json.encode(result).decode())
        return
    for name in result.__struct_fields__:
        value = getattr(result, name)
        if isinstance(value, float):
            value = round(value, 3)
        print(f"{name:30} {value}")
    violated = result.violations()
    print("violated:", ", ".join(violated) if violated else "none")


def main() -> None:
    """Run the replacement; exit with 1 if an invariant was violated."""
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    results: list[Result] = []

    async def replace(reactor: typing.Any) -> None:
        results.append(await RollingReplacement(reactor).run())

    def begin(reactor: typing.Any) -> typing.Any:
        return defer.ensureDeferred(replace(reactor))

    try:
        task.react(begin)
    except SystemExit as stop:
        if stop.code:
            raise
    _print(results[0])
    raise SystemExit(1 if results[0].violations() else 0)


if __name__ == "__main__":
    main()
