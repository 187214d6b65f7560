"""HTTP listeners of a node."""

import typing

import msgspec
from twisted.internet import protocol

from godwitflow.http1 import caller_capacity
from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.tier import log as logs


class Listener(protocol.ServerFactory):
    """Accepts connections and passes their requests to one handler.

    A request whose handler fails is answered, so that its caller need not
    wait, and the connection goes on.
    """

    noisy = False

    def __init__(
        self,
        now_ms: typing.Callable[[], float],
        handler: typing.Callable[[callers.Exchange], None],
        log: logs.Log,
        capacity: caller_capacity.CallerCapacity,
    ) -> None:
        self.limits = callers.Limits()
        self.capacity = capacity
        self.closing = False
        self.connections: set[callers.CallerConnection] = set()
        self.now_ms = now_ms
        self._handler = handler
        self._log = log

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Return the protocol of a new connection."""
        return callers.CallerConnection(self)

    def handle(self, exchange: callers.Exchange) -> None:
        """Pass a complete request to the handler."""
        try:
            self._handler(exchange)
        except Exception as error:
            self._log.limited_event(
                "request_failed",
                path=exchange.request.path.decode("latin-1"),
                error=repr(error),
            )
            exchange.respond(messages.text_response(500, "internal error"))

    def check_timeouts(self) -> None:
        """Close connections that exceed a header or idle timeout."""
        now_ms = self.now_ms()
        for connection in list(self.connections):
            connection.check_timeouts(now_ms)

    def close_idle(self) -> None:
        """Close connections that carry no request."""
        for connection in list(self.connections):
            if connection.state is callers.State.IDLE:
                connection.start_lingering_close()


def json_response(value: typing.Any) -> messages.Response:
    """Return a JSON document as a response."""
    headers = [(b"Content-Type", b"application/json")]
    return messages.Response(200, b"OK", headers, msgspec.json.encode(value))
