"""Injects faults around the store, over restarts and changes.

In each episode a few nodes stay untouched. The others lose their connections
to the store, are restarted and are suspended, one over another, while
the configuration changes and upstreams are replaced. With ``--restores`` the
store is away at the start of an episode and comes back from a backup. Every
node is asked all the time, so that the guarantees are checked at each.
"""

import dataclasses
import pathlib
import random
import typing

import cyclopts
from twisted.internet import task
from twisted.web import client

from godwitflow.soak import callers
from godwitflow.soak import deployment as deployments
from godwitflow.soak import fault_injector
from godwitflow.soak import history as histories
from godwitflow.soak import processes
from godwitflow.soak import seeded_runs
from godwitflow.soak import state_checks
from godwitflow.standins import fixtures

EPISODE_S = 14.0
QUIET_SHARE = 0.5
STEPS_S = ((0.15, 0.8), (2.0, 4.0))  # from one fault to the next
ASK_INTERVAL_S = 0.08
LOOK_INTERVAL_S = 0.1
BACKUP_INTERVAL_S = 0.5
SETTLE_S = 6.0
METRIC_TIMEOUT_S = 3.0
KINDS = (
    histories.Kind.VERSIONED,
    histories.Kind.IDEMPOTENT,
    histories.Kind.GATHER,
)

app = cyclopts.App(
    help="Inject faults around the store of real nodes; check each node."
)


@dataclasses.dataclass(slots=True)
class Report:
    """The result of one run; it passed if ``problems`` is empty."""

    seed: int
    requests: int = 0
    judged_for_configuration: int = 0
    judged_for_draining: int = 0
    restores: int = 0
    restarts: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)


class StoreFaultsRun:
    """A run with one seed."""

    def __init__(
        self,
        reactor: typing.Any,
        seed: int,
        nodes: int,
        seconds: float,
        restores: bool,
        bounds: bool,
        folder: pathlib.Path,
    ) -> None:
        self.report = Report(seed)
        self._bounds = bounds
        self._reactor = reactor
        self._seconds = seconds
        self._restores = restores
        self._random = random.Random(seed)
        self._deployment = deployments.Deployment(
            reactor, nodes, folder, random.Random(seed + 1)
        )
        self._injector = fault_injector.FaultInjector(
            reactor, self._deployment, self._random, 3.0 * LOOK_INTERVAL_S
        )
        self._stopped = False

    async def run(self) -> Report:
        """Play all episodes and check the result."""
        await seeded_runs.kill_after(
            self._reactor, self._deployment.nodes, self._play()
        )
        self._fill_report()
        return self.report

    async def _play(self) -> None:
        for node in self._deployment.nodes:
            node.start()
        await self._wait_until_ready()
        running = callers.gather_all(
            [self._ask(node) for node in self._deployment.nodes]
            + [self._look(), self._take_backups()]
        )
        end_s = self._reactor.seconds() + self._seconds
        await self._sleep(fixtures.STABLE_WINDOW_S)
        while self._reactor.seconds() < end_s:
            await self._play_episode()
        await self._sleep(fault_injector.FAULT_S[1] + SETTLE_S)
        await self._wait_until_ready()
        await self._compare_nodes()
        self._stopped = True
        await running

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds)

    async def _wait_until_ready(self) -> None:
        self.report.problems += await seeded_runs.wait_until_ready(
            self._reactor, self._deployment.nodes
        )

    # What goes on all the time ------------------------------------------

    async def _ask(self, node: processes.NodeProcess) -> None:
        """Ask one node, request after request."""
        endpoints = node.endpoints
        caller = callers.Caller(
            self._reactor,
            f"c-{endpoints.name}-",
            random.Random(f"{self.report.seed}/{endpoints.name}"),
            self._deployment.current_processes,
            self._deployment.history,
            lambda: self._deployment.configuration_number,
        )
        count = 0
        while not self._stopped:
            process = f"{endpoints.name}/{len(node.exit_codes)}"
            kind = KINDS[count % len(KINDS)]
            count += 1
            await caller.send_request(endpoints, process, kind)
            await self._sleep(ASK_INTERVAL_S)

    async def _look(self) -> None:
        while not self._stopped:
            self._injector.look()
            await self._sleep(LOOK_INTERVAL_S)

    async def _take_backups(self) -> None:
        while not self._stopped:
            self._injector.take_backup()
            await self._sleep(BACKUP_INTERVAL_S)

    # Episodes -----------------------------------------------------------

    async def _play_episode(self) -> None:
        injector = self._injector
        nodes = list(self._deployment.nodes)
        self._random.shuffle(nodes)
        injector.touched = nodes[int(len(nodes) * QUIET_SHARE) :]
        step_s = self._random.choice(STEPS_S)
        names = sorted(node.endpoints.name for node in injector.touched)
        injector.note(f"episode, touches {' '.join(names)}")
        end_s = self._reactor.seconds() + EPISODE_S
        if self._restores:
            await injector.restore_store()
        while self._reactor.seconds() < end_s:
            play = self._random.choice(
                (
                    injector.lose_store_connections,
                    injector.silence_store_connections,
                    injector.signal_node,
                    injector.change_configuration,
                    injector.change_configuration,
                    injector.replace_upstream,
                    injector.replace_upstream,
                )
            )
            play()
            await self._sleep(self._random.uniform(*step_s))

    # Checks -------------------------------------------------------------

    async def _compare_nodes(self) -> None:
        """Check that all nodes follow the same store and configuration."""
        expected = {
            "configuration_version": self._deployment.configuration_number * 3,
            "store_era": self._deployment.store.objects.revision.era,
        }
        for node in self._deployment.nodes:
            name = node.endpoints.name
            try:
                text = await self._metrics(node.endpoints)
            except Exception as error:
                self.report.problems.append(f"state: {name}: {error!r}")
                continue
            self.report.problems += [
                f"state: {name} has {line}, not {value}"
                for metric, value in expected.items()
                for line in text.splitlines()
                if line.startswith(f"godwitflow_{metric}")
                and float(line.split()[-1]) != value
            ]

    async def _metrics(self, endpoints: fixtures.NodeEndpoints) -> str:
        address = endpoints.address(endpoints.inner_port + 1)
        agent = client.Agent(self._reactor, connectTimeout=1.0)
        requesting = agent.request(b"GET", f"http://{address}/m".encode())
        requesting.addTimeout(METRIC_TIMEOUT_S, self._reactor)
        body: bytes = await client.readBody(await requesting)
        return body.decode()

    def _fill_report(self) -> None:
        history = self._deployment.history
        verdict = state_checks.judge(
            history,
            self._injector.confirmations,
            self._injector.disturbances,
        )
        report = self.report
        report.requests = len(history.requests)
        report.faults = self._injector.notes
        report.restores = self._injector.restore_count
        report.judged_for_configuration = verdict.judged_for_configuration
        report.judged_for_draining = verdict.judged_for_draining
        report.restarts = sum(
            len(node.exit_codes) for node in self._deployment.nodes
        )
        if self._bounds:
            report.problems += verdict.problems()
        report.problems += history.check()


@app.default
def soak(
    *seeds: int,
    nodes: int = 9,
    seconds: float = 45.0,
    restores: bool = True,
    bounds: bool = True,
    folder: pathlib.Path | None = None,
) -> None:
    """Inject faults around the store; exit with 1 if a check fails.

    Parameters
    ----------
    seeds
        One run for each; the seed determines the faults.
    nodes
        Number of nodes.
    seconds
        How long faults are injected.
    restores
        Also restore the store from a backup, once an episode.
    bounds
        Also check guarantees that have a time limit.
    folder
        Where to put the nodes' logs and settings; a new temporary folder by
        default.
    """

    def play(
        reactor: typing.Any, seed: int, run_folder: pathlib.Path
    ) -> typing.Awaitable[Report]:
        run = StoreFaultsRun(
            reactor, seed, nodes, seconds, restores, bounds, run_folder
        )
        return run.run()

    seeded_runs.play_seeds(seeds, folder, play)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
