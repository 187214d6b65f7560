"""Says where a request would go now, and why, without sending it.

The same functions decide as for a request that is sent: the route table,
the customers, ``untried_upstreams`` and ``preferred_upstreams``.
"""

import typing
import urllib.parse

import msgspec

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import customers
from godwitflow.policy import routing
from godwitflow.policy import work_estimates
from godwitflow.tier import front
from godwitflow.tier import request_router
from godwitflow.tier import services

PATH = b"/where"


class Replica(msgspec.Struct, frozen=True):
    """An upstream that a call may go to, or why it may not.

    A call now goes to one of those that are ``preferred``, drawn by
    ``cost_ms``. ``excluded`` is empty if it may get calls at all.
    ``last_response_ms`` is the age of what is known, None if nothing is.
    """

    upstream: str
    preferred: bool
    excluded: str
    cost_ms: float
    work_left_ms: float
    in_flight: int
    same_domain: bool
    last_response_ms: float | None


class ServicePlan(msgspec.Struct, frozen=True):
    """Where a call to one service would go; ``waiting`` calls are queued."""

    service: str
    weight: float
    expected_work_ms: float
    waiting: int
    replicas: tuple[Replica, ...]


class Plan(msgspec.Struct, frozen=True):
    """What would happen to a request now.

    ``status`` is that of the refusal; 0 if the request would be sent.
    """

    node: str
    status: int
    reason: str
    version: int = 0
    route: str = ""
    customer: str | None = None
    tokens_in_reserve: int | None = None
    services: tuple[ServicePlan, ...] = ()


class Where:
    """Answers where requests would go; ``router`` is what routes them."""

    def __init__(
        self,
        node: ids.NodeId,
        router: request_router.RequestRouter,
        now_ms: typing.Callable[[], float],
    ) -> None:
        self._node = node
        self._router = router
        self._now_ms = now_ms

    def handle(self, exchange: callers.Exchange) -> None:
        """Respond with the plan for the request that the query describes.

        The query holds ``method``, ``host``, ``target`` and ``body_bytes``;
        a key comes in the header in which callers send it.
        """
        _, _, query = exchange.request.target.partition(b"?")
        fields = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
        size = fields.get("body_bytes", "0")
        plan = self.plan(
            messages.Request(
                fields.get("method", "GET").encode("latin-1", "replace"),
                fields.get("target", "/").encode("latin-1", "replace"),
                [
                    (b"host", fields.get("host", "").encode("latin-1")),
                    *_credentials(exchange.request, self._credentials_name),
                ],
                None,
                True,
                self._now_ms(),
            ),
            int(size) if size.isdecimal() and len(size) < 10 else 0,
        )
        exchange.respond(front.json_response(msgspec.to_builtins(plan)))

    @property
    def _credentials_name(self) -> bytes:
        return self._router.dispatcher.header_names.credentials

    def plan(self, request: messages.Request, body_bytes: int = 0) -> Plan:
        """Return what would happen to a request now."""
        table = self._router.route_table
        if table is None or not self._router.registrations_known:
            return Plan(self._node, 503, "this node is not ready")
        version = table.configuration.version
        host = routing.host_name(
            messages.find_header(request.headers, b"host")
        )
        route = table.match(host, request.path)
        if route is None:
            return Plan(self._node, 404, "no such route", version)
        customer = self._router.customers.identify(request)
        if isinstance(customer, customers.KeyDefect):
            if not route.public:
                return Plan(
                    self._node, 401, customer.value, version, route.name
                )
            customer = None
        name = None if customer is None else customer.name
        features = work_estimates.features_of(
            route.name, request.target, name, body_bytes
        )
        return Plan(
            self._node,
            0,
            "would be sent",
            version,
            route.name,
            name,
            self._tokens_in_reserve(customer),
            tuple(
                self._service_plan(route, service, weight, features)
                for service, weight in _targets(route.target)
            ),
        )

    def _tokens_in_reserve(
        self, customer: customers.Customer | None
    ) -> int | None:
        quotas = self._router.customers.quotas
        if customer is None or customer.quota is None or quotas is None:
            return None
        return quotas.tokens_in_reserve(customer.name)

    def _service_plan(
        self,
        route: routing.Route,
        name: ids.ServiceName,
        weight: float,
        features: work_estimates.Features,
    ) -> ServicePlan:
        dispatcher = self._router.dispatcher
        service = dispatcher.service(name)
        ratio = dispatcher.work_estimates.ratio(features)
        work_ms = dispatcher.latencies.of(route).median.value * ratio
        eligible = dispatcher.untried_upstreams(service, set())
        preferred = dispatcher.preferred_upstreams(eligible, work_ms)
        replicas = [
            self._replica(upstream, eligible, preferred, work_ms)
            for upstream in service.upstreams
        ]
        replicas.sort(key=lambda item: (not item.preferred, item.cost_ms))
        return ServicePlan(
            name,
            weight,
            round(work_ms, 2),
            len(service.queue),
            tuple(replicas),
        )

    def _replica(
        self,
        upstream: services.Upstream,
        eligible: list[services.Upstream],
        preferred: set[ids.UpstreamId],
        work_ms: float,
    ) -> Replica:
        now_ms = self._now_ms()
        health = upstream.health
        heard_at_ms = health.last_response_at_ms
        cost_ms = health.cost(now_ms, work_ms, upstream.other_domain)
        return Replica(
            upstream.name,
            upstream.name in preferred,
            _exclusion(upstream, upstream in eligible, now_ms),
            round(cost_ms, 2),
            round(health.work_left_ms(now_ms), 2),
            health.in_flight,
            not upstream.other_domain,
            round(now_ms - heard_at_ms, 1) if heard_at_ms else None,
        )


def _credentials(request: messages.Request, name: bytes) -> messages.Headers:
    return [
        (key, value) for key, value in request.headers if key.lower() == name
    ]


def _targets(
    target: routing.Target,
) -> typing.Iterator[tuple[ids.ServiceName, float]]:
    """Return the services of a route, each with its share of requests."""
    match target:
        case routing.WeightedSplit(names, weights):
            yield from zip(names, weights)
        case _:
            for name in routing.services_of(target):
                yield name, 1.0


def _exclusion(
    upstream: services.Upstream, eligible: bool, now_ms: float
) -> str:
    """Return why an upstream gets no calls, or not at once."""
    if upstream.evacuated:
        return "evacuated"
    if upstream.misdirected:
        return "replaced"
    if not eligible:
        return "leaves or wants no calls"
    if upstream.health.unavailable(now_ms):
        return "does not answer"
    if upstream.denied(False, now_ms):
        return "its limit is used up"
    if not upstream.pool.has_capacity:
        return "all connections are busy"
    return ""
