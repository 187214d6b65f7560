"""A caller's request from its route to its answer: what all kinds share."""

import typing

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.policy import crash_history
from godwitflow.policy import request_timing
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import log as logs
from godwitflow.tier import subrequest as pieces

MS_PER_S = 1_000.0
RETRY_AFTER_S = 0.15
SUCCESS = range(200, 300)


def encoded(response: messages.Response) -> bool:
    """Tell whether a body came in a coding that nobody asked for."""
    coding = messages.find_header(response.headers, b"content-encoding")
    return coding is not None and coding.lower() != b"identity"


class Run:
    """One request: its answer, its timer and its end."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        log: logs.Log,
        exchange: callers.Exchange,
        work: pieces.Work,
    ) -> None:
        self.dispatcher = dispatcher
        self.log = log
        self.exchange = exchange
        self.work = work
        self.done = False
        self._timer: typing.Any = None
        exchange.on_disconnect = self._on_gone

    def _at(self, at_ms: float, action: typing.Callable[[], None]) -> None:
        """Run an action at a time, in place of the one planned before."""
        self._stop_timer()
        wait_s = max(0.0, at_ms - self.dispatcher.now_ms()) / MS_PER_S
        self._timer = self.dispatcher.reactor.callLater(wait_s, action)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _elapsed_ms(self) -> float:
        """Return how long the request has been here."""
        return self.dispatcher.now_ms() - self.work.received_at_ms

    def _final_at_ms(self) -> float:
        """Return when the request is given up, in time for its caller."""
        return request_timing.give_up_at_ms(self.work.deadline_at_ms)

    def _answer(self, response: messages.Response) -> None:
        self.done = True
        self._stop_timer()
        self._note_crashes()
        figures = self.dispatcher.metrics
        figures.count("answers", status=str(response.status))
        route = self.work.route
        figures.record_latency(
            route.name, str(route.priority), "query", self._elapsed_ms()
        )
        self.exchange.respond(response)

    def _on_gone(self) -> None:
        raise NotImplementedError

    def _crashes(self) -> int:
        """Return the upstreams that broke off, 0 if any answered well."""
        raise NotImplementedError

    def _note_crashes(self) -> None:
        crashes = self._crashes()
        strikes_seen = self.dispatcher.strikes
        if not crashes and not strikes_seen.has_records:
            return
        request = self.exchange.request
        mark = crash_history.fingerprint(
            request.method, request.target, request.body
        )
        if crashes:
            self.dispatcher.note_strike(self.work, mark, crashes)
        elif self._ran_well():
            strikes_seen.clear(mark)

    def _ran_well(self) -> bool:
        raise NotImplementedError

    def _note_gone(self) -> None:
        """End without an answer, as the caller has left."""
        self.done = True
        self._stop_timer()
        self._note_crashes()
        self.dispatcher.metrics.count("callers_gone")
        self.log.decision(
            "caller_gone",
            request=self.work.request_text,
            route=self.work.route.name,
            elapsed_ms=round(self._elapsed_ms(), 1),
        )

    def _refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        self.log.decision(
            "refused",
            request=self.work.request_text,
            route=self.work.route.name,
            attempts=self.work.route.attempts,
            status=status,
            reason=reason,
            elapsed_ms=round(self._elapsed_ms(), 1),
            version=self.work.version,
        )
        self._answer(messages.text_response(status, reason, retry_after_s))
