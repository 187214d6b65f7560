"""Shows three nodes on the platform's protocol, and what their logs say.

A whole answer, an answer in part while a shard is silent, and a stop.
"""

import pathlib
import random
import signal
import tempfile
import time
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.cli import commands
from godwitflow.soak import callers
from godwitflow.soak import deployment as stages
from godwitflow.soak import history as ledgers
from godwitflow.soak import proxies

NODES = 3
SILENT_SHARD = "shard-b"
QUERIES = 40
SETTLE_S = 1.5
READY_LIMIT_S = 60.0

Kind = ledgers.Kind


class Demo:
    """The deployment, one caller, and what is shown of them."""

    def __init__(self, reactor: typing.Any, folder: pathlib.Path) -> None:
        self._reactor = reactor
        self._folder = folder
        self._stage = stages.Stage(reactor, NODES, folder, random.Random(1))
        self._caller = callers.Caller(
            reactor,
            "demo",
            random.Random(2),
            self._stage.lives,
            self._stage.ledger,
            lambda: self._stage.turn,
        )

    async def run(self) -> None:
        """Show everything in order, and end the nodes."""
        self._reactor.addSystemEventTrigger("before", "shutdown", self._end)
        try:
            await self._start()
            await self._show_whole()
            await self._show_partial()
            await self._show_stop()
        finally:
            self._end()

    def _end(self) -> None:
        for node in self._stage.nodes:
            node.kill()

    async def _start(self) -> None:
        began_s = time.monotonic()
        for node in self._stage.nodes:
            node.start()
        for node in self._stage.nodes:
            while not await callers.ready(self._reactor, node.place):
                if time.monotonic() - began_s > READY_LIMIT_S:
                    raise SystemExit(f"{node.place.name} is not ready")
                await task.deferLater(self._reactor, 0.05)
        print(f"{NODES} nodes are ready; their logs are in {self._folder}")

    async def _query(self) -> ledgers.Sent:
        place, life = self._stage.lives()[0]
        return await self._caller.ask(place, life, Kind.ALL)

    async def _show_whole(self) -> None:
        sent = await self._query()
        print(f"\nA query over {len(stages.SHARDS)} shards:")
        self._show(sent)

    async def _show_partial(self) -> None:
        for placed in self._stage.placed.values():
            if placed.upstream.service == SILENT_SHARD:
                placed.proxy.set_mode(proxies.Mode.SILENT)
        for _ in range(QUERIES):
            sent = await self._query()
            if sent.missing:
                break
        print(f"\nThe same while {SILENT_SHARD} is silent:")
        self._show(sent)
        self._explain(sent)

    async def _show_stop(self) -> None:
        leaving, asked = self._stage.nodes[2], self._stage.nodes[0]
        leaving.stop_for_good()
        await task.deferLater(self._reactor, SETTLE_S)
        named = await self._caller.named(asked.place)
        address = leaving.place.address(leaving.place.front_port)
        print(f"\nA {signal.SIGTERM.name} to {leaving.place.name}:")
        print(f"  still named to callers: {address in named}")
        while leaving.running:
            await task.deferLater(self._reactor, 0.1)
        print(f"  ended with {leaving.lives[-1]}")
        for line in self._lines(leaving.place.name, ("stopping", "stopped")):
            print(f"  {line}")

    def _show(self, sent: ledgers.Sent) -> None:
        took_ms = (sent.ended_at_s - sent.sent_at_s) * 1_000.0
        print(
            f"  {sent.request}: status {sent.status} in {took_ms:.0f} ms,"
            f" {len(sent.signatures)} parts, {sent.missing} missing"
        )

    def _explain(self, sent: ledgers.Sent) -> None:
        lines = [
            line
            for path in sorted(self._folder.glob("*.log"))
            for line in path.read_text().splitlines()
        ]
        for line in commands.explain(sent.request, lines):
            print(f"  {line}")

    def _lines(self, node: str, events: tuple[str, ...]) -> list[str]:
        text = (self._folder / f"{node}.log").read_text()
        return [
            line
            for line in text.splitlines()
            if any(f'"event":"{event}"' in line for event in events)
        ]


def main() -> None:
    """Play the demo."""
    from twisted.internet import reactor  # noqa: PLC0415

    folder = pathlib.Path(tempfile.mkdtemp(prefix="godwitflow-demo-"))
    demo = Demo(reactor, folder)
    task.react(lambda _: defer.ensureDeferred(demo.run()))


if __name__ == "__main__":
    main()
