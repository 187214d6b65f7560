"""The operators' HTTP interface: health, readiness, metrics, status."""

import typing

import klein
import msgspec

from godwitflow.daemon import control as control_module
from godwitflow.daemon import dispatch as dispatch_module
from godwitflow.tier import metrics as metrics_module
from godwitflow.wire import links

TEXT = "text/plain; charset=utf-8"
JSON = "application/json"


class MemberStatus(msgspec.Struct):
    """A member as listed in this node's member table."""

    node: str
    failure_domain: str
    state: str
    joined: bool
    incarnation: int
    operator: str


class UpstreamStatus(msgspec.Struct):
    """State of an upstream in this node's dispatcher."""

    upstream: str
    service: str
    replica_set: str
    breaker: str
    leaving: bool
    limit: int
    in_flight: int
    average_ms: float


class Status(msgspec.Struct):
    """State of a node and of its members and upstreams."""

    node: str
    failure_domain: str
    state: str
    joined: bool
    generation: int
    snapshots: dict[str, int]
    members: list[MemberStatus]
    owned: dict[str, int]
    upstreams: list[UpstreamStatus]
    store_failures: int
    refused_objects: int


class Operators:
    """The routes of the operators' HTTP interface."""

    app = klein.Klein()

    def __init__(
        self,
        control: control_module.Control,
        dispatch: dispatch_module.Dispatcher,
        metrics: metrics_module.Metrics,
        node_links: links.Links,
        state: typing.Callable[[], str],
    ) -> None:
        self.control = control
        self.dispatch = dispatch
        self.metrics = metrics
        self.links = node_links
        self.state = state

    def resource(self) -> typing.Any:
        """Return the root resource for a site."""
        return self.app.resource()

    @app.route("/healthz")
    def healthz(self, request: typing.Any) -> bytes:
        """Return status 200 while the process runs."""
        return b"ok\n"

    @app.route("/readyz")
    def readyz(self, request: typing.Any) -> bytes:
        """Return status 200 while callers may be sent here, else 503."""
        if self.control.table.me.joined:
            return b"ready\n"
        request.setResponseCode(503)
        return f"{self.state()}\n".encode()

    @app.route("/metrics")
    def metrics_page(self, request: typing.Any) -> bytes:
        """Return counters, gauges and quantiles as text."""
        request.setHeader("Content-Type", TEXT)
        lines = self.metrics.lines() + self._gauges() + self._policy_lines()
        return ("\n".join(lines) + "\n").encode()

    def _gauges(self) -> list[str]:
        counters = vars(self.links.counters)
        lines = [
            metrics_module.gauge_line(f"links_{name}", value)
            for name, value in sorted(counters.items())
        ]
        head = self.control.catalog.head
        generation = head.generation if head else 0
        lines.append(metrics_module.gauge_line("generation", generation))
        members = len(self.control.table.live_members())
        lines.append(metrics_module.gauge_line("members_alive", members))
        return lines

    def _policy_lines(self) -> list[str]:
        totals: dict[tuple[str, str], int] = {}
        for (service, _), dispatcher in self.dispatch.set_dispatchers.items():
            for name, count in dispatcher.counts.items():
                key = (service, name)
                totals[key] = totals.get(key, 0) + count
        return [
            metrics_module.gauge_line(
                "dispatcher_events_total", count, service=service, event=name
            )
            for (service, name), count in sorted(totals.items())
        ]

    @app.route("/status")
    def status(self, request: typing.Any) -> bytes:
        """Return this node's state as JSON."""
        request.setHeader("Content-Type", JSON)
        return msgspec.json.encode(self._status())

    def _status(self) -> Status:
        control = self.control
        me = control.table.me
        head = control.catalog.head
        return Status(
            me.node,
            me.failure_domain,
            self.state(),
            me.joined,
            head.generation if head else 0,
            {
                index.service: index.snapshot
                for index in control.catalog.indexes.values()
            },
            self._members(),
            self._owned(),
            self._upstreams(),
            control.store_failures,
            control.catalog.refused_count,
        )

    def _members(self) -> list[MemberStatus]:
        return [
            MemberStatus(
                update.node,
                update.failure_domain,
                update.state.name.lower(),
                update.joined,
                update.incarnation,
                update.operator_address,
            )
            for update in self.control.table.all_members()
        ]

    def _owned(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for index in self.control.catalog.indexes.values():
            for set_id in index.replica_sets:
                owner = self.control.route(f"{index.service}/{set_id}")[0]
                counts[owner] = counts.get(owner, 0) + 1
        return counts

    def _upstreams(self) -> list[UpstreamStatus]:
        return [
            UpstreamStatus(
                upstream.id,
                service,
                set_id,
                upstream.breaker.value,
                upstream.leaving,
                upstream.limit,
                upstream.in_flight,
                round(upstream.average_latency.value_ms, 2),
            )
            for (
                service,
                set_id,
            ), dispatcher in self.dispatch.set_dispatchers.items()
            for upstream in dispatcher.replicas.by_id.values()
        ]
