"""Runs three nodes on the platform's protocol and prints what they do.

The demo shows a complete answer; a request that is served though an
upstream is lost, and one that is refused while all want no calls; a partial
answer while a shard does not respond; and the stop of a node. What the logs
say explains each of them.
"""

import pathlib
import random
import signal
import tempfile
import time
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.cli import explanation
from godwitflow.soak import callers
from godwitflow.soak import deployment as deployments
from godwitflow.soak import history as histories
from godwitflow.soak import proxies
from godwitflow.standins import fake_upstream

NODE_COUNT = 3
SERVICE = "solo"
SILENT_SHARD = "shard-b"
PAUSE_S = "2"
MAX_QUERIES = 40
SETTLE_S = 1.5
READY_TIMEOUT_S = 60.0

Kind = histories.Kind


class Demo:
    """Runs a deployment with one caller and prints what happens."""

    def __init__(self, reactor: typing.Any, folder: pathlib.Path) -> None:
        self._reactor = reactor
        self._folder = folder
        self._deployment = deployments.Deployment(
            reactor, NODE_COUNT, folder, random.Random(1)
        )
        self._caller = callers.Caller(
            reactor,
            "demo",
            random.Random(2),
            self._deployment.current_processes,
            self._deployment.history,
            lambda: self._deployment.configuration_number,
        )

    async def run(self) -> None:
        """Run all steps, then kill the nodes."""
        self._reactor.addSystemEventTrigger(
            "before", "shutdown", self._kill_nodes
        )
        try:
            await self._start()
            await self._show_complete()
            await self._show_lost_upstream()
            await self._show_refused()
            await self._show_partial()
            await self._show_stop()
        finally:
            self._kill_nodes()

    def _kill_nodes(self) -> None:
        for node in self._deployment.nodes:
            node.kill()

    async def _start(self) -> None:
        print(f"Starting {NODE_COUNT} nodes")
        started_at_s = time.monotonic()
        for node in self._deployment.nodes:
            node.start()
        for node in self._deployment.nodes:
            while not await callers.is_ready(self._reactor, node.endpoints):
                if time.monotonic() - started_at_s > READY_TIMEOUT_S:
                    raise SystemExit(f"{node.endpoints.name} is not ready")
                await task.deferLater(self._reactor, 0.05)
        print(
            f"{NODE_COUNT} nodes are ready; their logs are in {self._folder}"
        )

    async def _send(self, kind: Kind) -> histories.RequestRecord:
        endpoints, process = self._deployment.current_processes()[0]
        return await self._caller.send_request(endpoints, process, kind)

    async def _send_until(
        self,
        kind: Kind,
        found: typing.Callable[[histories.RequestRecord], bool],
    ) -> histories.RequestRecord:
        """Send requests until one is as wanted; return the last one."""
        for _ in range(MAX_QUERIES):
            record = await self._send(kind)
            if found(record):
                break
        return record

    def _upstreams_of(
        self, service: str
    ) -> list[deployments.RegisteredUpstream]:
        return [
            registered
            for registered in self._deployment.upstreams.values()
            if registered.upstream.service == service
        ]

    async def _show_complete(self) -> None:
        record = await self._send(Kind.GATHER)
        print(f"\nA query over {len(deployments.SHARDS)} shards:")
        self._print_record(record)

    async def _show_lost_upstream(self) -> None:
        domain = self._deployment.nodes[0].endpoints.failure_domain
        lost = next(
            registered
            for registered in self._upstreams_of(SERVICE)
            if registered.failure_domain == domain
        )
        lost.proxy.set_mode(proxies.Mode.RESET)
        record = await self._send_until(
            Kind.IDEMPOTENT, lambda sent: bool(self._log_lines(sent))
        )
        lost.proxy.set_mode(proxies.Mode.PASS)
        print(f"\nA request while {lost.upstream.name} of {SERVICE} is lost:")
        self._print_record(record)
        self._print_log_lines(record)

    async def _show_refused(self) -> None:
        upstreams = [
            registered.upstream for registered in self._upstreams_of(SERVICE)
        ]
        for upstream in upstreams:
            upstream.fault = fake_upstream.Fault.REJECT
            upstream.fault_share = 1.0
            upstream.retry_after = PAUSE_S
        record = await self._send_until(Kind.IDEMPOTENT, self._is_paused)
        for upstream in upstreams:
            upstream.fault_share = 0.0
        print(f"\nA request while all of {SERVICE} want no calls:")
        self._print_record(record)
        self._print_log_lines(record)

    def _is_paused(self, record: histories.RequestRecord) -> bool:
        return any("paused" in line for line in self._log_lines(record))

    async def _show_partial(self) -> None:
        for registered in self._upstreams_of(SILENT_SHARD):
            registered.proxy.set_mode(proxies.Mode.DROP_BOTH)
        record = await self._send_until(
            Kind.GATHER, lambda sent: sent.missing_parts > 0
        )
        print(f"\nA query while {SILENT_SHARD} is silent:")
        self._print_record(record)
        self._print_log_lines(record)

    async def _show_stop(self) -> None:
        leaving, remaining = (
            self._deployment.nodes[2],
            self._deployment.nodes[0],
        )
        leaving.stop()
        await task.deferLater(self._reactor, SETTLE_S)
        addresses = await self._caller.resolve_addresses(remaining.endpoints)
        address = leaving.endpoints.address(leaving.endpoints.front_port)
        print(f"\nA {signal.SIGTERM.name} to {leaving.endpoints.name}:")
        print(f"  still named to callers: {address in addresses}")
        while leaving.running:
            await task.deferLater(self._reactor, 0.1)
        print(f"  ended with {leaving.exit_codes[-1]}")
        for line in self._event_lines(
            leaving.endpoints.name, ("stopping", "stopped")
        ):
            print(f"  {line}")

    def _print_record(self, record: histories.RequestRecord) -> None:
        took_ms = (record.ended_at_s - record.sent_at_s) * 1_000.0
        print(
            f"  {record.request}: status {record.status} in {took_ms:.0f} ms,"
            f" {len(record.signatures)} parts, {record.missing_parts} missing"
        )

    def _print_log_lines(self, record: histories.RequestRecord) -> None:
        for line in self._log_lines(record):
            print(f"  {line}")

    def _log_lines(self, record: histories.RequestRecord) -> list[str]:
        """Return what the logs of all nodes say of a request."""
        lines = [
            line
            for path in sorted(self._folder.glob("*.log"))
            for line in path.read_text().splitlines()
        ]
        return explanation.explain(record.request, lines)

    def _event_lines(self, node: str, events: tuple[str, ...]) -> list[str]:
        text = (self._folder / f"{node}.log").read_text()
        return [
            line
            for line in text.splitlines()
            if any(f'"event":"{event}"' in line for event in events)
        ]


def main() -> None:
    """Run the demo."""
    from twisted.internet import reactor  # noqa: PLC0415

    folder = pathlib.Path(tempfile.mkdtemp(prefix="godwitflow-demo-"))
    demo = Demo(reactor, folder)
    task.react(lambda _: defer.ensureDeferred(demo.run()))


if __name__ == "__main__":
    main()
