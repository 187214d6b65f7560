"""Runs soak tests: random faults, a phase without faults, then a stop.

The requests of all phases are checked against the system's guarantees.
"""

import dataclasses
import pathlib
import random
import signal
import typing

import cyclopts
from twisted.internet import task

from godwitflow.soak import callers
from godwitflow.soak import calm_phases
from godwitflow.soak import deployment as deployments
from godwitflow.soak import faults
from godwitflow.soak import history as histories
from godwitflow.soak import seeded_runs

FAULT_INTERVAL_S = (0.3, 1.2)
FAULT_DURATION_S = (0.3, 3.0)
SETTLE_S = 6.0
STOP_TIMEOUT_S = 60.0
CALLER_COUNT = 8
MAX_RESIDENT_MB = 300.0
SUCCESS_STATUSES = range(200, 300)

app = cyclopts.App(
    help="Run real nodes under random faults and check guarantees."
)


@dataclasses.dataclass(slots=True)
class Report:
    """The result of one run; it passed if ``problems`` is empty.

    ``served`` counts requests that got a success status, ``not_run``
    those that got a status which says that they did not run, and ``cut``
    those that got no complete response. ``arrivals`` counts the requests
    that reached an upstream, repeated and rejected ones included, and
    ``notices`` what upstreams said of themselves.
    """

    seed: int
    requests: int = 0
    served: int = 0
    not_run: int = 0
    cut: int = 0
    arrivals: int = 0
    notices: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)


class SoakRun:
    """A run with one seed."""

    def __init__(
        self,
        reactor: typing.Any,
        seed: int,
        nodes: int,
        seconds: float,
        bounds: bool,
        folder: pathlib.Path,
    ) -> None:
        self.report = Report(seed)
        self._reactor = reactor
        self._seconds = seconds
        self._bounds = bounds
        self._random = random.Random(seed)
        self._deployment = deployments.Deployment(
            reactor, nodes, folder, random.Random(seed + 1)
        )
        self._callers = [
            callers.Caller(
                reactor,
                f"c{number}",
                random.Random(seed * 1_000 + number),
                self._deployment.current_processes,
                self._deployment.history,
                lambda: self._deployment.configuration_number,
            )
            for number in range(CALLER_COUNT)
        ]

    async def run(self) -> Report:
        """Run all phases and check the result."""
        await seeded_runs.kill_after(
            self._reactor, self._deployment.nodes, self._run_phases()
        )
        self._fill_report()
        return self.report

    async def _run_phases(self) -> None:
        for node in self._deployment.nodes:
            node.start()
        await self._wait_until_ready()
        running = callers.gather_all(
            [caller.run() for caller in self._callers]
        )
        await self._inject_faults()
        calm = calm_phases.CalmPhases(
            self._reactor,
            self._deployment,
            self._add_problem,
            self._add_bounded_problem,
        )
        calm.limit_a_shard()
        await self._sleep(SETTLE_S)
        await self._wait_until_ready()
        await calm.run()
        await self._stop_nodes()
        for caller in self._callers:
            caller.stopped = True
        await running

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds)

    async def _wait_until_ready(self) -> None:
        self.report.problems += await seeded_runs.wait_until_ready(
            self._reactor, self._deployment.nodes
        )

    def _add_problem(self, text: str) -> None:
        self.report.problems.append(text)

    def _add_bounded_problem(self, text: str) -> None:
        """Report a missed time limit, if these are checked."""
        if self._bounds:
            self._add_problem(text)

    async def _inject_faults(self) -> None:
        end_s = self._reactor.seconds() + self._seconds
        while self._reactor.seconds() < end_s:
            fault = faults.inject_random(self._deployment, self._random)
            self.report.faults.append(fault.description)
            duration_s = self._random.uniform(*FAULT_DURATION_S)
            self._reactor.callLater(duration_s, fault.undo)
            self._check_memory()
            await self._sleep(self._random.uniform(*FAULT_INTERVAL_S))
        await self._sleep(FAULT_DURATION_S[1])

    def _check_memory(self) -> None:
        for node in self._deployment.nodes:
            resident_mb = node.resident_mb()
            if resident_mb > MAX_RESIDENT_MB:
                self._add_problem(
                    f"memory: {node.endpoints.name} takes {resident_mb:.0f} MB"
                )

    async def _stop_nodes(self) -> None:
        """Stop all nodes under load and wait until they exit."""
        start_s = self._reactor.seconds()
        for node in self._deployment.nodes:
            node.stop()
        while any(node.running for node in self._deployment.nodes):
            if self._reactor.seconds() > start_s + STOP_TIMEOUT_S:
                self._add_problem("stop: a node did not exit in time")
                return
            await self._sleep(0.1)
        await self._sleep(callers.RESPONSE_TIMEOUT_S)
        if self._bounds:
            self._check_stop(start_s)

    def _check_stop(self, start_s: float) -> None:
        """Check that no request that ran was left without a response.

        Only requests that may have been in flight when the stop began, or
        were sent later, are checked.
        """
        ran = {
            arrival.request
            for arrival in self._deployment.history.arrivals
            if arrival.ran
        }
        for record in self._deployment.history.requests.values():
            cut = record.status == 0 and record.request in ran
            if cut and record.sent_at_s > start_s - callers.RESPONSE_TIMEOUT_S:
                self._add_problem(
                    f"lost: response to {record.request} by {record.process}"
                )

    def _fill_report(self) -> None:
        history = self._deployment.history
        report = self.report
        records = list(history.requests.values())
        report.requests = len(records)
        report.served = sum(
            record.status in SUCCESS_STATUSES for record in records
        )
        report.not_run = sum(
            record.status in histories.NOT_RUN_STATUSES for record in records
        )
        report.cut = sum(record.status == 0 for record in records)
        report.arrivals = len(history.arrivals)
        report.notices = len(history.notices)
        report.problems += history.check()
        for node in self._deployment.nodes:
            unexpected = [
                code
                for code in node.exit_codes
                if code not in (0, -signal.SIGKILL)
            ]
            if unexpected:
                self._add_problem(
                    f"exits: {node.endpoints.name} exited with {unexpected}"
                )


@app.default
def soak(
    *seeds: int,
    nodes: int = 4,
    seconds: float = 15.0,
    bounds: bool = True,
    folder: pathlib.Path | None = None,
) -> None:
    """Run soak tests in sequence; exit with 1 if a check fails.

    Parameters
    ----------
    seeds
        One run for each; the seed determines the faults and requests.
    nodes
        Number of nodes.
    seconds
        How long faults are injected.
    bounds
        Also check guarantees that have a time limit.
    folder
        Where to put the nodes' logs and settings; a new temporary folder by
        default.
    """

    def play(
        reactor: typing.Any, seed: int, run_folder: pathlib.Path
    ) -> typing.Awaitable[Report]:
        run = SoakRun(reactor, seed, nodes, seconds, bounds, run_folder)
        return run.run()

    seeded_runs.play_seeds(seeds, folder, play)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
