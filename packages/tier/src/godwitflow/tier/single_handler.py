"""Handles requests that are forwarded to one service."""

from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import request_timing
from godwitflow.tier import request_handler
from godwitflow.tier import results
from godwitflow.tier import subrequest as subrequests

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
RATE_LIMITED_RETRY_AFTER_S = 0.4


class SingleHandler(request_handler.RequestHandler):
    """Forwards a request to one service and its response to the caller."""

    def start(self, service: ids.ServiceName) -> None:
        """Send the request to a service."""
        self.service = service
        self._subrequest = subrequests.Subrequest(
            self.dispatcher,
            self.outbound,
            service,
            self._is_acceptable,
            self._on_result,
            self._give_up_at_ms(),
        )
        self._subrequest.start()
        if self.finished:
            return
        if self.outbound.idempotent:
            hedge_at_ms = request_timing.single_hedge_at_ms(
                self.dispatcher.now_ms(),
                self.outbound.deadline_at_ms,
                self.outbound.route.target_ms,
                self.dispatcher.latencies.of(
                    self.outbound.route
                ).hedge_delay.value,
            )
            self._schedule(hedge_at_ms, self._on_hedge_time)
        else:
            self._schedule(self._give_up_at_ms(), self.give_up)

    def _is_acceptable(self, response: messages.Response) -> bool:
        return response.status < 500 and self._is_forwardable(response)

    def _is_forwardable(self, response: messages.Response) -> bool:
        """Return whether a response may be forwarded to the caller.

        A successful response must have a signature. A status that tells
        the caller that the request was not executed is not forwarded:
        the upstream did not mark the response as not executed, or it
        would have been handled as a rejection before.
        """
        if (
            request_handler.has_content_coding(response)
            or response.status in NOT_EXECUTED_STATUSES
        ):
            return False
        signature = self.dispatcher.header_names.signature
        signed = messages.find_header(response.headers, signature) is not None
        return (
            signed or response.status not in request_handler.SUCCESS_STATUSES
        )

    def _crash_count(self) -> int:
        return 0 if self._succeeded() else self._subrequest.crash_count

    def _succeeded(self) -> bool:
        return isinstance(self._subrequest.result, results.Responded)

    def _on_hedge_time(self) -> None:
        self._subrequest.hedge()
        self._schedule(self._give_up_at_ms(), self.give_up)

    def give_up(self) -> None:
        """Cancel the calls, and say whether the request may have run."""
        possibly_executed = self._subrequest.possibly_executed
        self._subrequest.cancel()
        if possibly_executed:
            self._refuse(504, "the request timed out")
        else:
            self._refuse(
                503,
                "no upstream had room in time",
                request_handler.RETRY_AFTER_S,
            )

    def _on_result(
        self, subrequest: subrequests.Subrequest, result: results.Result
    ) -> None:
        match result:
            case results.Responded(response) if not self._is_forwardable(
                response
            ):
                self._refuse(502, "the upstream's answer was malformed")
            case results.Responded(response):
                headers = messages.end_to_end_headers(response.headers)
                if self.exchange.request.method == b"HEAD":
                    headers += _content_length(response)
                self._respond(
                    messages.Response(
                        response.status,
                        response.reason,
                        headers,
                        response.body,
                    )
                )
            case results.NoResponse(results.NoResponseReason.TIMED_OUT, True):
                self._refuse(504, "the request timed out")
            case results.NoResponse(reason, may_have_run):
                if may_have_run:
                    self._refuse(502, f"upstream call failed: {reason.value}")
                else:
                    self._refuse(
                        503,
                        f"not run: {reason.value}",
                        self._retry_after_s(reason),
                    )

    def _abandon_calls(self) -> None:
        if self.outbound.idempotent:
            self._subrequest.cancel()
        else:
            self._subrequest.detach()

    def _retry_after_s(self, reason: results.NoResponseReason) -> float:
        """Return when the caller may come back."""
        now_ms = self.dispatcher.now_ms()
        back_in_ms = self._subrequest.service.back_in_ms(now_ms)
        match reason:
            case results.NoResponseReason.PAUSED if back_in_ms is not None:
                return self._spread_return_s(back_in_ms)
            case results.NoResponseReason.RATE_LIMITED:
                return RATE_LIMITED_RETRY_AFTER_S
            case _:
                return request_handler.RETRY_AFTER_S


def _content_length(response: messages.Response) -> messages.Headers:
    length = messages.find_header(response.headers, b"content-length")
    return [] if length is None else [(b"Content-Length", length)]
