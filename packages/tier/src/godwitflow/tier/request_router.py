"""Routes callers' requests, and starts a handler for each."""

import functools
import weakref

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import crash_history
from godwitflow.policy import customers
from godwitflow.policy import routing
from godwitflow.policy import stop_plan
from godwitflow.policy import work_estimates
from godwitflow.tier import customer_gate
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import gather_handler
from godwitflow.tier import log as logs
from godwitflow.tier import outbound_request
from godwitflow.tier import quotas
from godwitflow.tier import request_handler
from godwitflow.tier import single_handler

NOT_READY_RETRY_S = 0.3
BLOCKED_RETRY_S = 30.0
STOPPING_RETRY_S = 0.05
MAX_CALLER_DEADLINE_MS = 3_600_000.0


class RequestRouter:
    """Matches requests to routes and starts a handler for each.

    A request is handled under the configuration that it was matched under,
    even if that is replaced meanwhile.
    """

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        log: logs.Log,
        seed: int,
    ) -> None:
        self.dispatcher = dispatcher
        self.log = log
        self.route_table: routing.RouteTable | None = None
        self.registrations_known = False
        self.stop_plan: stop_plan.StopPlan | None = None
        self.customers = customer_gate.CustomerGate(
            dispatcher.header_names, log, dispatcher.metrics
        )
        self._seed = seed
        self._handlers: weakref.WeakSet[request_handler.RequestHandler] = (
            weakref.WeakSet()
        )

    def apply_configuration(
        self, configuration: routing.Configuration
    ) -> None:
        """Route later requests by a new configuration."""
        self.route_table = routing.RouteTable(configuration, self._seed)
        self.customers.apply_customers(configuration.customers)

    def handle(self, exchange: callers.Exchange) -> None:
        """Start the handler of a request, or refuse the request."""
        if self.route_table is None or not self.registrations_known:
            exchange.respond(
                messages.text_response(
                    503, "this node is not ready", NOT_READY_RETRY_S
                )
            )
            return
        request = exchange.request
        host = routing.host_name(
            messages.find_header(request.headers, b"host")
        )
        route = self.route_table.match(host, request.path)
        if route is None:
            self.log.limited_event(
                "no_route",
                request=customer_gate.request_id_text(
                    request, self.dispatcher.header_names.request_id
                ),
                host=host,
                path=request.path.decode("latin-1"),
                version=self.route_table.configuration.version,
            )
            exchange.respond(messages.text_response(404, "no such route"))
            return
        customer = self.customers.identify(request)
        if isinstance(customer, customers.KeyDefect):
            if not route.public:
                self.customers.reject(exchange, route, customer)
                return
            customer = None
        version = self.route_table.configuration.version
        outbound = self._outbound_request(request, route, version, customer)
        if not self._takes(outbound):
            self._refuse(
                exchange, outbound, "this node is stopping", STOPPING_RETRY_S
            )
            return
        if self._is_blocked(request):
            self._refuse(
                exchange,
                outbound,
                "the request crashes its upstreams",
                BLOCKED_RETRY_S,
            )
            return
        if customer is None:
            self._start(exchange, outbound, self.route_table)
            return
        self.customers.admit(
            customer,
            functools.partial(
                self._on_admission, exchange, outbound, self.route_table
            ),
        )

    def _on_admission(
        self,
        exchange: callers.Exchange,
        outbound: outbound_request.OutboundRequest,
        route_table: routing.RouteTable,
        admission: quotas.Admission,
    ) -> None:
        """Start a request within its customer's quota, refuse any other."""
        if not exchange.open:
            return
        match admission:
            case quotas.Admitted():
                self._start_safely(exchange, outbound, route_table)
            case quotas.OverQuota(retry_after_s):
                self._refuse(
                    exchange,
                    outbound,
                    "the customer is over its quota",
                    retry_after_s,
                    status=429,
                )
            case quotas.Unverified(retry_after_s):
                self._refuse(
                    exchange,
                    outbound,
                    "the customer's quota cannot be verified",
                    retry_after_s,
                )

    def _start_safely(
        self,
        exchange: callers.Exchange,
        outbound: outbound_request.OutboundRequest,
        route_table: routing.RouteTable,
    ) -> None:
        """Start a request; if that fails, answer it."""
        try:
            self._start(exchange, outbound, route_table)
        except Exception as error:
            self.log.limited_event(
                "request_failed",
                request=outbound.request_id_text,
                route=outbound.route.name,
                error=repr(error),
            )
            exchange.respond(messages.text_response(500, "internal error"))

    def _start(
        self,
        exchange: callers.Exchange,
        outbound: outbound_request.OutboundRequest,
        route_table: routing.RouteTable,
    ) -> None:
        """Start the handler of a request that is admitted."""
        route = outbound.route
        match route.target:
            case routing.Gather() as gather:
                handler = gather_handler.GatherHandler(
                    self.dispatcher, self.log, exchange, outbound
                )
                self._handlers.add(handler)
                handler.start(gather)
            case routing.WeightedSplit() as split:
                service = route_table.choose_service(route, split)
                self._start_single(exchange, outbound, service)
            case routing.Single(service):
                self._start_single(exchange, outbound, service)

    def give_up_all(self) -> None:
        """Answer all requests in flight, as this node is about to end."""
        for handler in list(self._handlers):
            if not handler.finished:
                handler.give_up()

    def _takes(self, outbound: outbound_request.OutboundRequest) -> bool:
        """Return whether a request should end before this node stops."""
        return self.stop_plan is None or self.stop_plan.takes(
            self.dispatcher.now_ms(),
            outbound.route.target_ms,
            outbound.idempotent,
        )

    def _is_blocked(self, request: messages.Request) -> bool:
        if not self.dispatcher.crash_history.has_records:
            return False
        fingerprint = crash_history.fingerprint(
            request.method, request.target, request.body
        )
        now_ms = self.dispatcher.now_ms()
        return self.dispatcher.crash_history.is_blocked(fingerprint, now_ms)

    def _refuse(
        self,
        exchange: callers.Exchange,
        outbound: outbound_request.OutboundRequest,
        reason: str,
        retry_after_s: float,
        status: int = 503,
    ) -> None:
        """Refuse a request before it is sent to any upstream."""
        self.log.limited_event(
            "refused",
            request=outbound.request_id_text,
            route=outbound.route.name,
            customer=outbound.customer_name,
            status=status,
            reason=reason,
        )
        exchange.respond(messages.text_response(status, reason, retry_after_s))

    def _start_single(
        self,
        exchange: callers.Exchange,
        outbound: outbound_request.OutboundRequest,
        service: ids.ServiceName,
    ) -> None:
        handler = single_handler.SingleHandler(
            self.dispatcher, self.log, exchange, outbound
        )
        self._handlers.add(handler)
        handler.start(service)

    def _outbound_request(
        self,
        request: messages.Request,
        route: routing.Route,
        version: int,
        customer: customers.Customer | None,
    ) -> outbound_request.OutboundRequest:
        names = self.dispatcher.header_names
        deadline_ms = route.timeout_ms
        value = messages.find_header(request.headers, names.deadline)
        if value is not None:
            deadline_ms = min(deadline_ms, _parse_deadline_ms(value))
        replaced = {names.deadline, names.expect_upstream}
        replaced |= self.customers.replaced_headers
        headers = [
            header
            for header in messages.end_to_end_headers(request.headers)
            if header[0].lower() not in replaced
        ]
        if customer is not None:
            headers.append((names.customer_out, customer.name.encode()))
        data = messages.serialize_request(
            request.method, request.target, headers, None
        )
        tail = b"\r\n"
        if request.body is not None:
            tail = b"Content-Length: %d\r\n\r\n" % len(request.body)
        body = request.body or b""
        features = work_estimates.features_of(
            route.name,
            request.target,
            None if customer is None else customer.name,
            len(body),
        )
        return outbound_request.OutboundRequest(
            messages.find_header(request.headers, names.request_id),
            request.method,
            data[:-2],
            tail,
            body,
            route,
            request.received_at_ms,
            request.received_at_ms + deadline_ms,
            version,
            features,
            self.dispatcher.work_estimates.ratio(features),
            customer,
        )


def _parse_deadline_ms(value: bytes) -> float:
    """Parse a caller's deadline in milliseconds.

    An invalid value yields ``MAX_CALLER_DEADLINE_MS``, so that only the
    route's timeout applies.
    """
    try:
        parsed = float(value)
    except ValueError:
        return MAX_CALLER_DEADLINE_MS
    if not 0 <= parsed <= MAX_CALLER_DEADLINE_MS:
        return MAX_CALLER_DEADLINE_MS
    return parsed
