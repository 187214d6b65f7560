"""Plays troubles with the store over restarts and changes.

In each episode a few nodes stay untouched. The others lose their connections
to the store, are restarted and are suspended, one over another, while
the configuration changes and upstreams are replaced. With ``--restores`` the
store is away at the start of an episode and comes back from a backup. Every
node is asked all the time, so that the guarantees are checked at each.
"""

import dataclasses
import pathlib
import random
import signal
import typing

import cyclopts
from twisted.internet import task
from twisted.web import client

from godwitflow.soak import callers
from godwitflow.soak import deployment as deployments
from godwitflow.soak import disturbances as disturbed
from godwitflow.soak import faults
from godwitflow.soak import history as histories
from godwitflow.soak import processes
from godwitflow.soak import proxies
from godwitflow.soak import seeded_runs
from godwitflow.soak import state_checks
from godwitflow.standins import fixtures
from godwitflow.store import memory_object_store

EPISODE_S = 14.0
QUIET_SHARE = 0.5
STEPS_S = ((0.15, 0.8), (2.0, 4.0))  # from one trouble to the next
TROUBLE_S = (0.3, 3.0)
ASK_INTERVAL_S = 0.08
LOOK_INTERVAL_S = 0.1
BACKUP_INTERVAL_S = 0.5
MAX_REPORTS = 20
BACKUP_AGES_S = (1.0, 5.0)
AWAY_S = (0.2, 1.5)
SETTLE_S = 6.0
METRIC_TIMEOUT_S = 3.0
MODES = (
    proxies.Mode.RESET,
    proxies.Mode.RESET,
    proxies.Mode.DROP_BOTH,
    proxies.Mode.DROP_FROM_TARGET,
    proxies.Mode.DELAY,
)
SIGNALS = (
    signal.SIGTERM,
    signal.SIGKILL,
    signal.SIGSTOP,
    signal.SIGHUP,
)
KINDS = (
    histories.Kind.VERSIONED,
    histories.Kind.IDEMPOTENT,
    histories.Kind.GATHER,
)

app = cyclopts.App(help="Trouble the store of real nodes; check each node.")


@dataclasses.dataclass(slots=True)
class Report:
    """The result of one run; it passed if ``problems`` is empty."""

    seed: int
    requests: int = 0
    judged_for_configuration: int = 0
    judged_for_draining: int = 0
    restores: int = 0
    restarts: int = 0
    troubles: list[str] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)


class TroubledRun:
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
        self._confirmations = state_checks.Confirmations()
        self._note_configuration()
        self._disturbances = disturbed.Disturbances()
        self._ongoing = disturbed.Ongoing(
            self._disturbances, 3.0 * LOOK_INTERVAL_S
        )
        self._backups: list[tuple[float, memory_object_store.Backup]] = []
        self._touched: list[processes.NodeProcess] = []
        self._stopping: dict[str, int] = {}
        self._lives: dict[str, int] = {}
        self._started_at_s = reactor.seconds()
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
        await self._sleep(TROUBLE_S[1] + SETTLE_S)
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
        """Record which processes do not run or were just started."""
        while not self._stopped:
            now_s = self._reactor.seconds()
            for node in self._deployment.nodes:
                name = node.endpoints.name
                life = len(node.exit_codes)
                restarted = self._lives.get(name, life) != life
                self._lives[name] = life
                stopping = self._stopping.get(name) == life
                if restarted or stopping or not node.running:
                    self._ongoing.see(name, now_s)
            await self._sleep(LOOK_INTERVAL_S)

    async def _take_backups(self) -> None:
        while not self._stopped:
            backup = self._deployment.store.objects.backup()
            self._backups.append((self._reactor.seconds(), backup))
            await self._sleep(BACKUP_INTERVAL_S)

    # Episodes -----------------------------------------------------------

    async def _play_episode(self) -> None:
        nodes = list(self._deployment.nodes)
        self._random.shuffle(nodes)
        self._touched = nodes[int(len(nodes) * QUIET_SHARE) :]
        step_s = self._random.choice(STEPS_S)
        names = sorted(node.endpoints.name for node in self._touched)
        self._note(f"episode, touches {' '.join(names)}")
        end_s = self._reactor.seconds() + EPISODE_S
        if self._restores:
            await self._restore_store()
        while self._reactor.seconds() < end_s:
            play = self._random.choice(
                (
                    self._lose_store_connections,
                    self._silence_store_connections,
                    self._signal,
                    self._change_configuration,
                    self._change_configuration,
                    self._replace_upstream,
                    self._replace_upstream,
                )
            )
            play()
            await self._sleep(self._random.uniform(*step_s))

    def _note(self, text: str) -> None:
        elapsed_s = self._reactor.seconds() - self._started_at_s
        self.report.troubles.append(f"{elapsed_s:.1f} {text}")

    def _choose_touched(self) -> list[processes.NodeProcess]:
        count = self._random.randint(1, len(self._touched))
        return self._random.sample(self._touched, count)

    def _lose_store_connections(self) -> None:
        now_s = self._reactor.seconds()
        mode = self._random.choice(MODES)
        for node in self._choose_touched():
            name = node.endpoints.name
            duration_s = self._random.uniform(*TROUBLE_S)
            proxy = self._deployment.store_proxies[name]
            proxy.set_mode(mode)
            self._reactor.callLater(
                duration_s, proxy.set_mode, proxies.Mode.PASS
            )
            self._disturbances.add_node(name, now_s, now_s + duration_s)
            self._note(f"{name} to store {mode.value} {duration_s:.1f} s")

    def _silence_store_connections(self) -> None:
        now_s = self._reactor.seconds()
        for node in self._choose_touched():
            name = node.endpoints.name
            self._deployment.store_proxies[name].silence_open_connections()
            self._disturbances.add_node(name, now_s, now_s)
            self._note(f"{name} to store: open connections silent")

    def _signal(self) -> None:
        node = self._random.choice(self._touched)
        number = self._random.choice(SIGNALS)
        name = node.endpoints.name
        now_s = self._reactor.seconds()
        sent = faults.send_signal(node, number)
        self._note(sent.description)
        if number is signal.SIGSTOP:
            duration_s = self._random.uniform(*TROUBLE_S)
            self._reactor.callLater(duration_s, sent.undo)
            self._disturbances.add_node(name, now_s, now_s + duration_s)
        elif number is not signal.SIGHUP:
            self._stopping[name] = len(node.exit_codes)
            self._ongoing.see(name, now_s)

    def _change_configuration(self) -> None:
        for _ in range(self._random.choice((1, 1, 3))):
            self._deployment.change_configuration()
            self._note_configuration()
        self._note(f"configuration {self._deployment.configuration_number}")

    def _note_configuration(self) -> None:
        self._confirmations.configurations.append(
            (self._reactor.seconds(), self._deployment.configuration_number)
        )

    def _replace_upstream(self) -> None:
        names = [
            name
            for name, registered in self._deployment.upstreams.items()
            if registered.state == "ready"
            and not registered.upstream.service.startswith(
                state_checks.SERVICE_PREFIX
            )
        ]
        name = self._random.choice(names)
        self._deployment.replace_upstream(name)
        self._deployment.upstreams[name].upstream.leaving = False
        now_s = self._reactor.seconds()
        self._confirmations.withdrawn_at_s[name] = now_s
        self._note(f"{name} replaced")

    def _report_again(self) -> None:
        """Let upstreams write entries, as those do that become warm."""
        deployment = self._deployment
        count = self._random.randint(0, MAX_REPORTS)
        for name in self._random.choices(list(deployment.upstreams), k=count):
            deployment.register(name, deployment.upstreams[name].state)

    async def _restore_store(self) -> None:
        """Change things, and lose some of the changes in a restore."""
        start_s = self._reactor.seconds()
        for _ in range(self._random.randint(1, 4)):
            self._change_configuration()
            self._replace_upstream()
            self._report_again()
            await self._sleep(self._random.uniform(0.2, 1.0))
        now_s = self._reactor.seconds()
        age_s = self._random.uniform(*BACKUP_AGES_S)
        backup = max(
            (
                taken
                for taken in self._backups
                if taken[0] <= max(now_s - age_s, start_s - 1.0)
            ),
            key=lambda taken: taken[0],
            default=self._backups[0],
        )
        proxies_of_all = self._deployment.store_proxies.values()
        for proxy in proxies_of_all:
            proxy.set_mode(proxies.Mode.RESET)
        away_s = self._random.uniform(*AWAY_S)
        await self._sleep(away_s)
        self._deployment.restore_store(backup[1])
        for proxy in proxies_of_all:
            proxy.set_mode(proxies.Mode.PASS)
        end_s = self._reactor.seconds()
        self._disturbances.add_store(now_s, end_s)
        self.report.restores += 1
        self._note(
            f"store away {away_s:.1f} s, restored to"
            f" {now_s - backup[0]:.1f} s before"
        )

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
            history, self._confirmations, self._disturbances
        )
        report = self.report
        report.requests = len(history.requests)
        report.judged_for_configuration = verdict.judged_for_configuration
        report.judged_for_draining = verdict.judged_for_draining
        report.restarts = sum(
            len(node.exit_codes) for node in self._deployment.nodes
        )
        if self._bounds:
            report.problems += verdict.problems()
        report.problems += history.check()


@app.default
def trouble(
    *seeds: int,
    nodes: int = 9,
    seconds: float = 45.0,
    restores: bool = True,
    bounds: bool = True,
    folder: pathlib.Path | None = None,
) -> None:
    """Play troubles with the store; exit with 1 if a check fails.

    Parameters
    ----------
    seeds
        One run for each; the seed determines the troubles.
    nodes
        Number of nodes.
    seconds
        How long troubles are played.
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
        run = TroubledRun(
            reactor, seed, nodes, seconds, restores, bounds, run_folder
        )
        return run.run()

    seeded_runs.play_seeds(seeds, folder, play)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
