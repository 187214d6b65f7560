"""Listeners of a node: callers, readiness and addresses."""

import typing

import msgspec
from twisted.internet import protocol

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import crash_history
from godwitflow.policy import routing
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import gather_handler
from godwitflow.tier import log as logs
from godwitflow.tier import single_handler
from godwitflow.tier import subrequest as pieces

UNREADY_RETRY_S = 0.3
CONDEMNED_RETRY_S = 30.0
MAX_CALLER_DEADLINE_MS = 3_600_000.0


class Listener(protocol.ServerFactory):
    """A listening address whose requests go to one handler."""

    noisy = False

    def __init__(
        self,
        now_ms: typing.Callable[[], float],
        handler: typing.Callable[[callers.Exchange], None],
    ) -> None:
        self.limits = callers.Limits()
        self.closing = False
        self.connections: set[callers.CallerConnection] = set()
        self.now_ms = now_ms
        self._handler = handler

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Return the protocol of a new connection."""
        return callers.CallerConnection(self)

    def handle(self, exchange: callers.Exchange) -> None:
        """Pass a whole request to the handler."""
        self._handler(exchange)

    def sweep(self) -> None:
        """End connections whose callers took or idled too long."""
        now_ms = self.now_ms()
        for connection in list(self.connections):
            connection.check_timeouts(now_ms)

    def close_idle(self) -> None:
        """End connections on which no request is under way."""
        for connection in list(self.connections):
            if connection.state is callers.State.IDLE:
                connection.start_lingering_close()


class Front:
    """Turns callers' requests into runs under the newest configuration."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        log: logs.Log,
        seed: int,
    ) -> None:
        self.dispatcher = dispatcher
        self.log = log
        self.table: routing.RouteTable | None = None
        self.registrations_known = False
        self._seed = seed

    def apply(self, configuration: routing.Configuration) -> None:
        """Put a configuration in force."""
        self.table = routing.RouteTable(configuration, self._seed)

    def handle(self, exchange: callers.Exchange) -> None:
        """Start the run of one request."""
        if self.table is None or not self.registrations_known:
            exchange.respond(
                messages.text_response(
                    503, "this node is not ready", UNREADY_RETRY_S
                )
            )
            return
        request = exchange.request
        host = routing.host_name(
            messages.find_header(request.headers, b"host")
        )
        route = self.table.match(host, request.path)
        if route is None:
            self.log.decision(
                "no_route",
                request=_id_text(request, self.dispatcher.names.request_id),
                host=host,
                path=request.path.decode("latin-1"),
                version=self.table.configuration.version,
            )
            exchange.respond(messages.text_response(404, "no such route"))
            return
        version = self.table.configuration.version
        work = self._work(request, route, version)
        if self._condemned(request):
            self._refuse_condemned(exchange, work)
            return
        match route.target:
            case routing.Gather() as gather:
                gather_handler.GatherRun(
                    self.dispatcher, self.log, exchange, work
                ).start(gather)
            case routing.WeightedSplit() as split:
                service = self.table.choose_service(route, split)
                self._single(exchange, work, service)
            case routing.Single(service):
                self._single(exchange, work, service)

    def _condemned(self, request: messages.Request) -> bool:
        if not self.dispatcher.strikes.has_records:
            return False
        mark = crash_history.fingerprint(
            request.method, request.target, request.body
        )
        now_ms = self.dispatcher.now_ms()
        return self.dispatcher.strikes.is_blocked(mark, now_ms)

    def _refuse_condemned(
        self, exchange: callers.Exchange, work: pieces.Work
    ) -> None:
        self.log.decision(
            "refused",
            request=work.request_text,
            route=work.route.name,
            status=503,
            reason="the request crashes its upstreams",
        )
        exchange.respond(
            messages.text_response(
                503, "the request crashes its upstreams", CONDEMNED_RETRY_S
            )
        )

    def _single(
        self,
        exchange: callers.Exchange,
        work: pieces.Work,
        service: ids.ServiceName,
    ) -> None:
        run = single_handler.SingleRun(
            self.dispatcher, self.log, exchange, work
        )
        run.start(service)

    def _work(
        self, request: messages.Request, route: routing.Route, version: int
    ) -> pieces.Work:
        names = self.dispatcher.names
        deadline_ms = route.timeout_ms
        stated = messages.find_header(request.headers, names.deadline)
        if stated is not None:
            deadline_ms = min(deadline_ms, _milliseconds(stated))
        own = (names.deadline, names.expect_upstream)
        headers = [
            header
            for header in messages.end_to_end_headers(request.headers)
            if header[0].lower() not in own
        ]
        data = messages.serialize_request(
            request.method, request.target, headers, None
        )
        tail = b"\r\n"
        if request.body is not None:
            tail = b"Content-Length: %d\r\n\r\n" % len(request.body)
            tail += request.body
        return pieces.Work(
            messages.find_header(request.headers, names.request_id),
            request.method,
            data[:-2],
            tail,
            route,
            request.received_at_ms,
            request.received_at_ms + deadline_ms,
            version,
        )


def _id_text(request: messages.Request, name: bytes) -> str:
    value = messages.find_header(request.headers, name)
    return "" if value is None else value.decode("latin-1")


def _milliseconds(value: bytes) -> float:
    """Parse a caller's deadline; one that is no number binds nothing."""
    try:
        parsed = float(value)
    except ValueError:
        return MAX_CALLER_DEADLINE_MS
    if not 0 <= parsed <= MAX_CALLER_DEADLINE_MS:
        return MAX_CALLER_DEADLINE_MS
    return parsed


def json_response(value: typing.Any) -> messages.Response:
    """Return a JSON document as a response."""
    headers = [(b"Content-Type", b"application/json")]
    return messages.Response(200, b"OK", headers, msgspec.json.encode(value))
