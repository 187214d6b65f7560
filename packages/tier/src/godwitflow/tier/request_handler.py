"""Base class of the handlers that answer callers' requests."""

import typing

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import crash_history
from godwitflow.policy import request_timing
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import log as logs
from godwitflow.tier import outbound_request

MS_PER_S = 1_000.0
RETRY_AFTER_S = 0.15
RETURN_SPREAD_S = 0.3
SUCCESS_STATUSES = range(200, 300)


def has_content_coding(response: messages.Response) -> bool:
    """Return whether a response body is encoded, for example with gzip.

    Upstreams are not expected to encode it and this node cannot decode
    it, so such a response is not accepted.
    """
    coding = messages.find_header(response.headers, b"content-encoding")
    return coding is not None and coding.lower() != b"identity"


class RequestHandler:
    """Handles one request until its response or the caller's disconnect.

    ``service`` is set if the request goes to one service only.
    """

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        log: logs.Log,
        exchange: callers.Exchange,
        outbound: outbound_request.OutboundRequest,
    ) -> None:
        self.dispatcher = dispatcher
        self.log = log
        self.exchange = exchange
        self.outbound = outbound
        self.finished = False
        self.service: ids.ServiceName | None = None
        self._timer: typing.Any = None
        exchange.on_disconnect = self._on_disconnect

    def _schedule(
        self, at_ms: float, action: typing.Callable[[], None]
    ) -> None:
        """Call ``action`` at ``at_ms``, replacing the previous timer."""
        self._stop_timer()
        wait_s = max(0.0, at_ms - self.dispatcher.now_ms()) / MS_PER_S
        self._timer = self.dispatcher.reactor.callLater(
            wait_s, self._run, action
        )

    def _run(self, action: typing.Callable[[], None]) -> None:
        """Run a timer's action; if it fails, answer the request now."""
        try:
            action()
        except Exception as error:
            self.log.limited_event(
                "request_failed",
                request=self.outbound.request_id_text,
                route=self.outbound.route.name,
                error=repr(error),
            )
            self.finished = True
            self._stop_timer()
            self.exchange.respond(
                messages.text_response(500, "internal error")
            )
            self._abandon_calls()

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _elapsed_ms(self) -> float:
        """Return the time since the request was received."""
        return self.dispatcher.now_ms() - self.outbound.received_at_ms

    def _give_up_at_ms(self) -> float:
        """Return when to give up, early enough for the caller to be told."""
        return request_timing.give_up_at_ms(self.outbound.deadline_at_ms)

    def _respond(self, response: messages.Response) -> None:
        self.finished = True
        self._stop_timer()
        self._update_crash_history()
        metrics = self.dispatcher.metrics
        metrics.count("answers", status=str(response.status))
        route = self.outbound.route
        metrics.record_latency(
            route.name, str(route.priority), "query", self._elapsed_ms()
        )
        self.exchange.respond(response)

    def give_up(self) -> None:
        """Answer the request now; nothing is waited for any longer."""
        raise NotImplementedError

    def _on_disconnect(self) -> None:
        self._end_without_response()
        self._abandon_calls()

    def _abandon_calls(self) -> None:
        """End the calls of a request that is over."""
        raise NotImplementedError

    def _crash_count(self) -> int:
        """Return how many upstreams crashed; 0 if any call succeeded."""
        raise NotImplementedError

    def _update_crash_history(self) -> None:
        crashes = self._crash_count()
        history = self.dispatcher.crash_history
        if not crashes and not history.has_records:
            return
        request = self.exchange.request
        fingerprint = crash_history.fingerprint(
            request.method, request.target, request.body
        )
        if crashes:
            self.dispatcher.record_crashes(self.outbound, fingerprint, crashes)
        elif self._succeeded():
            history.clear(fingerprint)

    def _succeeded(self) -> bool:
        raise NotImplementedError

    def _end_without_response(self) -> None:
        """Finish a request whose caller has disconnected."""
        self.finished = True
        self._stop_timer()
        self._update_crash_history()
        self.dispatcher.metrics.count("callers_gone")
        self.log.limited_event(
            "caller_gone",
            request=self.outbound.request_id_text,
            route=self.outbound.route.name,
            elapsed_ms=round(self._elapsed_ms(), 1),
        )

    def _spread_return_s(self, back_in_ms: float) -> float:
        """Return when a caller may come back once a pause is over.

        Callers are spread, so that they do not return all at once.
        """
        spread_s = self.dispatcher.random.random() * RETURN_SPREAD_S
        return back_in_ms / MS_PER_S + spread_s

    def _refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        self.log.limited_event(
            "refused",
            request=self.outbound.request_id_text,
            route=self.outbound.route.name,
            service=self.service,
            attempts=self.outbound.route.attempts,
            status=status,
            reason=reason,
            elapsed_ms=round(self._elapsed_ms(), 1),
            version=self.outbound.configuration_version,
        )
        self._respond(messages.text_response(status, reason, retry_after_s))
