"""Runs nodes as child processes, and sends them signals."""

import os
import pathlib
import re
import resource
import signal
import sys
import typing

from twisted.internet import error
from twisted.internet import protocol

from godwitflow.standins import fixtures

MODULE = "godwitflow.adapter"
RESTART_DELAY_S = 0.3
BYTES_PER_KIB = 1_024
BYTES_PER_MB = 1e6
STARTUP_S = 5.0  # SIGTERM kills a node until its modules are imported


class NodeProcess(protocol.ProcessProtocol):
    """One node's process, restarted whenever it exits.

    Its output goes to a log file. ``exit_codes`` has an entry for each
    run of the program: its exit code, or the negated number of the signal
    that killed it. A kill by SIGTERM within ``STARTUP_S`` counts as 0.
    """

    def __init__(
        self,
        reactor: typing.Any,
        endpoints: fixtures.NodeEndpoints,
        make_settings: typing.Callable[[bool], bytes],
        folder: pathlib.Path,
    ) -> None:
        self.endpoints = endpoints
        self.running = False
        self.exit_codes: list[int] = []
        self._started_at_s = 0.0
        self._reactor = reactor
        self._make_settings = make_settings
        self._path = folder / f"{endpoints.name}.json"
        self._log = (folder / f"{endpoints.name}.log").open("ab")
        self._should_restart = True
        self._process: typing.Any = None

    def start(self) -> None:
        """Write the current settings and start the program."""
        self.write_settings()
        self.running = True
        self._started_at_s = self._reactor.seconds()
        self._process = self._reactor.spawnProcess(
            self,
            sys.executable,
            [sys.executable, "-m", MODULE],
            env={
                "GODWITFLOW_SETTINGS": str(self._path),
                "PATH": os.environ.get("PATH", ""),
            },
        )

    def write_settings(self) -> None:
        """Rewrite the settings file.

        Until the program has exited once, it is that of a first start.
        """
        self._path.write_bytes(self._make_settings(not self.exit_codes))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the program is running.

        It may have exited while its output is still unread; the signal
        is then ignored.
        """
        if not self.running:
            return
        try:
            self._process.signalProcess(number)
        except error.ProcessExitedAlready:
            self.running = False

    def resident_mb(self) -> float:
        """Return the memory that the program takes; 0 if it is not running."""
        if not self.running:
            return 0.0
        try:
            text = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * resource.getpagesize() / BYTES_PER_MB

    def peak_memory_mb(self) -> float:
        """Return the most memory that the running program has taken."""
        text = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        (kib,) = re.findall(r"^VmHWM:\s+(\d+) kB$", text, re.MULTILINE)
        return int(kib) * BYTES_PER_KIB / BYTES_PER_MB

    def descriptor_count(self) -> int:
        """Return how many descriptors the running program has open."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def stop(self) -> None:
        """Send SIGTERM, also to a suspended program; do not restart it."""
        self._should_restart = False
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the program; do not restart it."""
        self._should_restart = False
        self.send_signal(signal.SIGKILL)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Write the program's output to the log file."""
        self._log.write(data)
        self._log.flush()

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Write the program's error output to the log file."""
        self._log.write(data)

    def processEnded(self, reason: typing.Any) -> None:  # noqa: N802
        """Record the exit code, and restart the program after a delay."""
        self.running = False
        code = 0
        if reason.check(error.ProcessTerminated):
            ended = reason.value
            code = -ended.signal if ended.signal else ended.exitCode
        lived_s = self._reactor.seconds() - self._started_at_s
        if code == -signal.SIGTERM and lived_s < STARTUP_S:
            code = 0
        self.exit_codes.append(code)
        self._log.flush()
        if self._should_restart:
            self._reactor.callLater(RESTART_DELAY_S, self._restart)

    def _restart(self) -> None:
        if self._should_restart:
            self.start()
