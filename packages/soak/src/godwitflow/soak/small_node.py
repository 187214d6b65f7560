"""One node on a small VM, for what exceeds its memory or descriptors."""

import dataclasses
import json
import pathlib
import random
import tempfile
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.soak import callers
from godwitflow.soak import deployment as deployments
from godwitflow.soak import history as histories

POLL_S = 0.1
ANSWER_TIMEOUT_S = 60.0  # for an answer that comes, however slow the machine


class SmallNode:
    """A deployment with one node, whose VM has the limits given.

    ``vm_limits`` and ``caller_limits`` are those of
    :class:`deployments.Deployment`.
    """

    def __init__(
        self,
        reactor: typing.Any,
        folder: pathlib.Path,
        vm_limits: dict[str, int],
        caller_limits: dict[str, int] | None = None,
    ) -> None:
        self.deployment = deployments.Deployment(
            reactor, 1, folder, random.Random(1), vm_limits, caller_limits
        )
        self.process = self.deployment.nodes[0]
        self.endpoints = self.process.endpoints
        self._reactor = reactor

    async def start(self) -> None:
        """Start the node and wait until it is ready."""
        self._reactor.addSystemEventTrigger(
            "before", "shutdown", self.process.kill
        )
        self.process.start()
        while not await callers.is_ready(self._reactor, self.endpoints):
            await task.deferLater(self._reactor, POLL_S)

    async def ask(
        self, name: str, kind: histories.Kind, body: bytes = b""
    ) -> int:
        """Send one request on a new connection; return its status."""
        caller = callers.Caller(
            self._reactor,
            name,
            random.Random(name),
            self.deployment.current_processes,
            self.deployment.history,
            lambda: self.deployment.configuration_number,
            ANSWER_TIMEOUT_S,
        )
        record = await caller.send_request(
            self.endpoints, self.endpoints.name, kind, body
        )
        return record.status

    def peak_mb(self) -> float:
        """Return the most memory that the node has taken; 0 if it ended."""
        if self.process.exit_codes:
            return 0.0
        return round(self.process.peak_memory_mb(), 1)


def print_report(
    run: typing.Callable[[typing.Any, pathlib.Path], typing.Any],
) -> None:
    """Play a run in a temporary folder and print its report.

    ``run`` gets the reactor and the folder; it is a coroutine that returns
    a data class.
    """

    async def play(reactor: typing.Any) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = await run(reactor, pathlib.Path(folder))
        print(json.dumps(dataclasses.asdict(report)), flush=True)

    task.react(lambda reactor: defer.ensureDeferred(play(reactor)))
