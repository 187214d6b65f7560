"""The real programs as processes of their own, and signals to them."""

import os
import pathlib
import signal
import sys
import typing

from twisted.internet import error
from twisted.internet import protocol

from godwitflow.standins import fixtures

PROGRAM = "godwitflow.adapter"
RESTART_S = 0.3
LOADING_S = 5.0  # SIGTERM ends a program that has not loaded yet


class NodeProcess(protocol.ProcessProtocol):
    """One node's program, started again whenever it ends.

    Its log goes to a file; ``lives`` holds the exit of each life, as a
    code or as the negated signal.
    """

    def __init__(
        self,
        reactor: typing.Any,
        place: fixtures.NodeEndpoints,
        settings: typing.Callable[[bool], bytes],
        folder: pathlib.Path,
    ) -> None:
        self.place = place
        self.running = False
        self.lives: list[int] = []
        self._started_at_s = 0.0
        self._reactor = reactor
        self._settings = settings
        self._path = folder / f"{place.name}.json"
        self._log = (folder / f"{place.name}.log").open("ab")
        self._wanted = True
        self._process: typing.Any = None

    def start(self) -> None:
        """Start the program with the settings of this moment."""
        self.write_settings()
        self.running = True
        self._started_at_s = self._reactor.seconds()
        self._process = self._reactor.spawnProcess(
            self,
            sys.executable,
            [sys.executable, "-m", PROGRAM],
            env={
                "GODWITFLOW_SETTINGS": str(self._path),
                "PATH": os.environ.get("PATH", ""),
            },
        )

    def write_settings(self) -> None:
        """Write the settings file anew."""
        self._path.write_bytes(self._settings(not self.lives))

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the program runs.

        It may have ended a moment ago, with its output still unread.
        """
        if not self.running:
            return
        try:
            self._process.signalProcess(number)
        except error.ProcessExitedAlready:
            self.running = False

    def stop_for_good(self) -> None:
        """Ask the program to stop; it is not started again."""
        self._wanted = False
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)

    def kill(self) -> None:
        """End the program at once; it is not started again."""
        self._wanted = False
        self.send(signal.SIGKILL)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep the program's log."""
        self._log.write(data)
        self._log.flush()

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep what the program says besides."""
        self._log.write(data)

    def processEnded(self, reason: typing.Any) -> None:  # noqa: N802
        """Note how the life ended, and start the next one."""
        self.running = False
        code = 0
        if reason.check(error.ProcessTerminated):
            found = reason.value
            code = -found.signal if found.signal else found.exitCode
        lived_s = self._reactor.seconds() - self._started_at_s
        if code == -signal.SIGTERM and lived_s < LOADING_S:
            code = 0
        self.lives.append(code)
        self._log.flush()
        if self._wanted:
            self._reactor.callLater(RESTART_S, self._start_again)

    def _start_again(self) -> None:
        if self._wanted:
            self.start()
