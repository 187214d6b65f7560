"""Runs the soak: faults, then calm, then a stop; checks the promises."""

import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import typing

import cyclopts
from twisted.internet import defer
from twisted.internet import task

from godwitflow.soak import callers
from godwitflow.soak import deployment as stages
from godwitflow.soak import faults
from godwitflow.soak import history as ledgers
from godwitflow.standins import fixtures

FAULT_GAP_S = (0.3, 1.2)
FAULT_FOR_S = (0.3, 3.0)
START_LIMIT_S = 60.0
SETTLE_S = 6.0
CALM_S = 3.0
STOP_LIMIT_S = 60.0
SERVED_SHARE = 0.95
CALLERS = 8
SUCCESS = range(200, 300)

app = cyclopts.App(help="Soak real nodes in faults and check the promises.")


@dataclasses.dataclass(slots=True)
class Report:
    """What one run saw; it passed if ``problems`` is empty."""

    seed: int
    requests: int = 0
    served: int = 0
    not_run: int = 0
    cut: int = 0
    arrivals: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """One run with one seed."""

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
        self._stage = stages.Stage(
            reactor, nodes, folder, random.Random(seed + 1)
        )
        self._callers = [
            callers.Caller(
                reactor,
                f"c{number}",
                random.Random(seed * 1_000 + number),
                self._stage.lives,
                self._stage.ledger,
                lambda: self._stage.turn,
            )
            for number in range(CALLERS)
        ]

    async def run(self) -> Report:
        """Play the run and check it."""
        self._reactor.addSystemEventTrigger("before", "shutdown", self._end)
        try:
            await self._play()
        finally:
            self._end()
        self._count()
        return self.report

    def _end(self) -> None:
        """End the nodes, however this run ends."""
        for node in self._stage.nodes:
            node.kill()

    async def _play(self) -> None:
        for node in self._stage.nodes:
            node.start()
        await self._until_ready()
        asking = callers.together([one.run() for one in self._callers])
        await self._harm()
        await self._sleep(SETTLE_S)
        await self._until_ready()
        await self._calm()
        await self._stop()
        for caller in self._callers:
            caller.stopped = True
        await asking

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds)

    async def _until_ready(self) -> None:
        give_up_s = self._reactor.seconds() + START_LIMIT_S
        for node in self._stage.nodes:
            while not await callers.ready(self._reactor, node.place):
                if self._reactor.seconds() > give_up_s:
                    self._problem(f"unready: {node.place.name}")
                    return
                await self._sleep(0.1)

    def _problem(self, text: str) -> None:
        self.report.problems.append(text)

    async def _harm(self) -> None:
        end_s = self._reactor.seconds() + self._seconds
        while self._reactor.seconds() < end_s:
            drawn = faults.draw(self._stage, self._random)
            self.report.faults.append(drawn.what)
            for_s = self._random.uniform(*FAULT_FOR_S)
            self._reactor.callLater(for_s, drawn.undo)
            await self._sleep(self._random.uniform(*FAULT_GAP_S))
        await self._sleep(FAULT_FOR_S[1])

    async def _calm(self) -> None:
        """Change things while nothing fails; see them in force in time."""
        stage = self._stage
        stage.change_configuration()
        leaving = next(
            name
            for name, placed in stage.placed.items()
            if placed.upstream.service == "solo"
        )
        stage.replace_upstream(leaving)
        await self._sleep(fixtures.APPLY_LIMIT_S + 0.5)
        start_s = self._reactor.seconds()
        await self._sleep(CALM_S)
        if self._bounds:
            self._check_calm(start_s, leaving)

    def _check_calm(self, start_s: float, leaving: str) -> None:
        ledger = self._stage.ledger
        sent = [row for row in ledger.sent.values() if row.sent_at_s > start_s]
        done = [row for row in sent if row.status >= 0]
        served = sum(row.status in SUCCESS for row in done)
        if served < SERVED_SHARE * len(done):
            self._problem(f"recovery: {served} of {len(done)} served")
        for row in done:
            if row.kind is ledgers.Kind.TURN and row.status in SUCCESS:
                name = row.signatures[0].rpartition(".")[0]
                if ledger.services[name] != f"turn-{self._stage.turn}":
                    self._problem(f"old configuration: {row.request}")
        late = [
            row
            for row in ledger.arrivals
            if row.upstream == leaving and row.at_s > start_s and row.ran
        ]
        if late:
            self._problem(f"drain: {len(late)} late at {leaving}")

    async def _stop(self) -> None:
        """Stop all nodes under load, and see them end."""
        start_s = self._reactor.seconds()
        for node in self._stage.nodes:
            node.stop_for_good()
        while any(node.running for node in self._stage.nodes):
            if self._reactor.seconds() > start_s + STOP_LIMIT_S:
                self._problem("stop: a node does not end")
                return
            await self._sleep(0.1)
        await self._sleep(callers.PATIENCE_S)
        if self._bounds:
            self._check_stop(start_s)

    def _check_stop(self, start_s: float) -> None:
        """Check that no request that was passed on was cut."""
        ran = {row.request for row in self._stage.ledger.arrivals if row.ran}
        for row in self._stage.ledger.sent.values():
            cut = row.status == 0 and row.request in ran
            if cut and row.sent_at_s > start_s - callers.PATIENCE_S:
                self._problem(f"lost: {row.request} by {row.life}")

    def _count(self) -> None:
        ledger = self._stage.ledger
        report = self.report
        rows = list(ledger.sent.values())
        report.requests = len(rows)
        report.served = sum(row.status in SUCCESS for row in rows)
        report.not_run = sum(row.status in ledgers.NOT_RUN for row in rows)
        report.cut = sum(row.status == 0 for row in rows)
        report.arrivals = len(ledger.arrivals)
        report.problems += ledger.check()
        for node in self._stage.nodes:
            odd = [
                code for code in node.lives if code not in (0, -signal.SIGKILL)
            ]
            if odd:
                self._problem(f"exits: {node.place.name} ended with {odd}")


@app.default
def soak(
    *seeds: int,
    nodes: int = 4,
    seconds: float = 15.0,
    bounds: bool = True,
    folder: pathlib.Path | None = None,
) -> None:
    """Play runs, one after another; exit with 1 if a promise broke.

    Parameters
    ----------
    seeds
        A run for each; the seed decides the faults and the requests.
    nodes
        How many nodes run.
    seconds
        For how long faults are drawn.
    bounds
        Check what must hold within a time, too.
    folder
        Where the nodes' logs and settings go; a new one by default.
    """
    from twisted.internet import reactor  # noqa: PLC0415

    failed: list[int] = []

    async def play() -> None:
        for seed in seeds or (1,):
            place = pathlib.Path(folder or tempfile.mkdtemp()) / str(seed)
            place.mkdir(parents=True, exist_ok=True)
            found = await Soak(
                reactor, seed, nodes, seconds, bounds, place
            ).run()
            print(json.dumps(dataclasses.asdict(found)), flush=True)
            if found.problems:
                failed.append(seed)
                print(f"logs: {place}", file=sys.stderr)
        if failed:
            raise SystemExit(1)

    task.react(lambda _: defer.ensureDeferred(play()))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
