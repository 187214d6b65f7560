"""What all runs with a seed have in common: their start, end and report."""

import dataclasses
import json
import pathlib
import sys
import tempfile
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.soak import callers
from godwitflow.soak import processes

START_TIMEOUT_S = 60.0
READY_INTERVAL_S = 0.1


class Report(typing.Protocol):
    """The result of one run, a data class; it passed without problems."""

    __dataclass_fields__: typing.ClassVar[dict[str, typing.Any]]
    problems: list[str]


Play = typing.Callable[
    [typing.Any, int, pathlib.Path], typing.Awaitable[Report]
]


async def wait_until_ready(
    reactor: typing.Any, nodes: list[processes.NodeProcess]
) -> list[str]:
    """Wait until all nodes are ready; return a problem if one is not."""
    timeout_at_s = reactor.seconds() + START_TIMEOUT_S
    for node in nodes:
        while not await callers.is_ready(reactor, node.endpoints):
            if reactor.seconds() > timeout_at_s:
                return [f"unready: {node.endpoints.name}"]
            await task.deferLater(reactor, READY_INTERVAL_S)
    return []


async def kill_after(
    reactor: typing.Any,
    nodes: list[processes.NodeProcess],
    running: typing.Awaitable[None],
) -> None:
    """Wait for a run, and kill the nodes, also if it fails."""

    def kill() -> None:
        for node in nodes:
            node.kill()

    reactor.addSystemEventTrigger("before", "shutdown", kill)
    try:
        await running
    finally:
        kill()


def play_seeds(
    seeds: tuple[int, ...], folder: pathlib.Path | None, play: Play
) -> None:
    """Play runs in sequence and print a report of each.

    Exits with 1 if one has problems. ``folder`` is for the nodes' logs and
    settings, a new temporary one if it is None; ``play`` gets the reactor,
    the seed and a folder of its own in it.
    """

    async def play_all(reactor: typing.Any) -> None:
        failed = False
        for seed in seeds or (1,):
            run_folder = pathlib.Path(folder or tempfile.mkdtemp()) / str(seed)
            run_folder.mkdir(parents=True, exist_ok=True)
            report = await play(reactor, seed, run_folder)
            print(json.dumps(dataclasses.asdict(report)), flush=True)
            if report.problems:
                failed = True
                print(f"logs: {run_folder}", file=sys.stderr)
        if failed:
            raise SystemExit(1)

    task.react(lambda reactor: defer.ensureDeferred(play_all(reactor)))
