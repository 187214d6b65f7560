"""Injects faults around the store, restarts nodes and changes things.

Each is noted with the disturbance that it is, and each change with the time at
which the store confirmed it, so that requests can be judged afterwards.
"""

import random
import signal
import typing

from twisted.internet import task

from godwitflow.soak import deployment as deployments
from godwitflow.soak import disturbances as disturbed
from godwitflow.soak import faults
from godwitflow.soak import processes
from godwitflow.soak import proxies
from godwitflow.soak import state_checks
from godwitflow.store import memory_object_store

FAULT_S = (0.3, 3.0)
MAX_REPORTS = 20
BACKUP_AGES_S = (1.0, 5.0)
AWAY_S = (0.2, 1.5)
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


class FaultInjector:
    """Injects faults at the ``touched`` nodes, and makes changes for all.

    ``notes`` says what was played and when, in seconds since the start.
    ``disturbances`` and ``confirmations`` are what requests are judged by.
    """

    def __init__(
        self,
        reactor: typing.Any,
        deployment: deployments.Deployment,
        rng: random.Random,
        max_gap_s: float,
    ) -> None:
        self.touched: list[processes.NodeProcess] = []
        self.notes: list[str] = []
        self.restore_count = 0
        self.confirmations = state_checks.Confirmations()
        self.disturbances = disturbed.Disturbances()
        self._reactor = reactor
        self._deployment = deployment
        self._random = rng
        self._started_at_s = reactor.seconds()
        self._ongoing = disturbed.Ongoing(self.disturbances, max_gap_s)
        self._backups: list[tuple[float, memory_object_store.Backup]] = []
        self._stopping: dict[str, int] = {}
        self._lives: dict[str, int] = {}
        self.note_configuration()

    def note(self, text: str) -> None:
        """Note what is played now."""
        elapsed_s = self._reactor.seconds() - self._started_at_s
        self.notes.append(f"{elapsed_s:.1f} {text}")

    def look(self) -> None:
        """Record which processes do not run or were just started."""
        now_s = self._reactor.seconds()
        for node in self._deployment.nodes:
            name = node.endpoints.name
            life = len(node.exit_codes)
            restarted = self._lives.get(name, life) != life
            self._lives[name] = life
            stopping = self._stopping.get(name) == life
            if restarted or stopping or not node.running:
                self._ongoing.observe(name, now_s)

    def take_backup(self) -> None:
        """Keep a backup of the store as it is now."""
        backup = self._deployment.store.objects.backup()
        self._backups.append((self._reactor.seconds(), backup))

    # At the touched nodes -----------------------------------------------

    def _choose_touched(self) -> list[processes.NodeProcess]:
        count = self._random.randint(1, len(self.touched))
        return self._random.sample(self.touched, count)

    def lose_store_connections(self) -> None:
        """Disturb the way of some nodes to the store for a while."""
        now_s = self._reactor.seconds()
        mode = self._random.choice(MODES)
        for node in self._choose_touched():
            name = node.endpoints.name
            duration_s = self._random.uniform(*FAULT_S)
            proxy = self._deployment.store_proxies[name]
            proxy.set_mode(mode)
            self._reactor.callLater(
                duration_s, proxy.set_mode, proxies.Mode.PASS
            )
            self.disturbances.add_node(name, now_s, now_s + duration_s)
            self.note(f"{name} to store {mode.value} {duration_s:.1f} s")

    def silence_store_connections(self) -> None:
        """Let open connections of some nodes to the store fall silent."""
        now_s = self._reactor.seconds()
        for node in self._choose_touched():
            name = node.endpoints.name
            self._deployment.store_proxies[name].silence_open_connections()
            self.disturbances.add_node(name, now_s, now_s)
            self.note(f"{name} to store: open connections silent")

    def signal_node(self) -> None:
        """Stop, kill, suspend or reload a node."""
        node = self._random.choice(self.touched)
        number = self._random.choice(SIGNALS)
        name = node.endpoints.name
        now_s = self._reactor.seconds()
        sent = faults.send_signal(node, number)
        self.note(sent.description)
        if number is signal.SIGSTOP:
            duration_s = self._random.uniform(*FAULT_S)
            self._reactor.callLater(duration_s, sent.undo)
            self.disturbances.add_node(name, now_s, now_s + duration_s)
        elif number is not signal.SIGHUP:
            self._stopping[name] = len(node.exit_codes)
            self._ongoing.observe(name, now_s)

    # For all nodes ------------------------------------------------------

    def change_configuration(self) -> None:
        """Store one configuration, or three in a row."""
        for _ in range(self._random.choice((1, 1, 3))):
            self._deployment.change_configuration()
            self.note_configuration()
        self.note(f"configuration {self._deployment.configuration_number}")

    def note_configuration(self) -> None:
        """Note when the newest configuration was confirmed."""
        self.confirmations.configurations.append(
            (self._reactor.seconds(), self._deployment.configuration_number)
        )

    def replace_upstream(self) -> None:
        """Let an upstream drain, and start another."""
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
        self.confirmations.withdrawn_at_s[name] = now_s
        self.note(f"{name} replaced")

    def _report_again(self) -> None:
        """Let upstreams write entries, as those do that become warm."""
        deployment = self._deployment
        count = self._random.randint(0, MAX_REPORTS)
        for name in self._random.choices(list(deployment.upstreams), k=count):
            deployment.register(name, deployment.upstreams[name].state)

    async def restore_store(self) -> None:
        """Change things, and lose some of the changes in a restore."""
        start_s = self._reactor.seconds()
        for _ in range(self._random.randint(1, 4)):
            self.change_configuration()
            self.replace_upstream()
            self._report_again()
            await task.deferLater(
                self._reactor, self._random.uniform(0.2, 1.0)
            )
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
        await task.deferLater(self._reactor, away_s)
        self._deployment.restore_store(backup[1])
        for proxy in proxies_of_all:
            proxy.set_mode(proxies.Mode.PASS)
        end_s = self._reactor.seconds()
        self.disturbances.add_store(now_s, end_s)
        self.restore_count += 1
        self.note(
            f"store away {away_s:.1f} s, restored to"
            f" {now_s - backup[0]:.1f} s before"
        )
