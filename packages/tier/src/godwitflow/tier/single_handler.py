"""A request that is passed on to one service."""

from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import request_timing
from godwitflow.tier import request_handler
from godwitflow.tier import subrequest as pieces

NOT_RUN_STATUSES = (408, 421, 429, 503)


class SingleRun(request_handler.Run):
    """Passes a request on to one service."""

    def start(self, service: ids.ServiceName) -> None:
        """Send the request."""
        self._piece = pieces.Piece(
            self.dispatcher,
            self.work,
            service,
            self._good,
            self._on_result,
        )
        self._piece.start()
        if self.done:
            return
        if self.work.idempotent:
            late_at_ms = request_timing.single_hedge_at_ms(
                self.dispatcher.now_ms(),
                self.work.deadline_at_ms,
                self.work.route.target_ms,
                self.dispatcher.pace(self.work.route).late.value,
            )
            self._at(late_at_ms, self._on_late)
        else:
            self._at(self._final_at_ms(), self._on_final)

    def _good(self, response: messages.Response) -> bool:
        return response.status < 500 and self._proven(response)

    def _proven(self, response: messages.Response) -> bool:
        """Tell whether a response may be passed on.

        A success must be signed. A status that promises that nothing ran
        is kept only where the upstream says so; such responses are taken
        as rejections before they come here.
        """
        if (
            request_handler.encoded(response)
            or response.status in NOT_RUN_STATUSES
        ):
            return False
        signature = self.dispatcher.names.signature
        signed = messages.find_header(response.headers, signature) is not None
        return signed or response.status not in request_handler.SUCCESS

    def _crashes(self) -> int:
        return 0 if self._ran_well() else self._piece.crashes

    def _ran_well(self) -> bool:
        return isinstance(self._piece.result, pieces.Got)

    def _on_late(self) -> None:
        self._piece.hedge()
        self._at(self._final_at_ms(), self._on_final)

    def _on_final(self) -> None:
        ran = self._piece.exposed
        self._piece.cancel()
        if ran:
            self._refuse(504, "the request timed out")
        else:
            self._refuse(
                503,
                "no upstream had room in time",
                request_handler.RETRY_AFTER_S,
            )

    def _on_result(self, piece: pieces.Piece, result: pieces.Result) -> None:
        match result:
            case pieces.Got(response) if not self._proven(response):
                self._refuse(502, "the upstream's answer was malformed")
            case pieces.Got(response):
                headers = messages.end_to_end_headers(response.headers)
                if self.exchange.request.method == b"HEAD":
                    headers += _length(response)
                self._answer(
                    messages.Response(
                        response.status,
                        response.reason,
                        headers,
                        response.body,
                    )
                )
            case pieces.Nothing(lack, ran):
                if ran:
                    self._refuse(502, f"upstream call failed: {lack.value}")
                else:
                    self._refuse(
                        503,
                        f"not run: {lack.value}",
                        request_handler.RETRY_AFTER_S,
                    )

    def _on_gone(self) -> None:
        self._note_gone()
        if self.work.idempotent:
            self._piece.cancel()
        else:
            self._piece.abandon()


def _length(response: messages.Response) -> messages.Headers:
    length = messages.find_header(response.headers, b"content-length")
    return [] if length is None else [(b"Content-Length", length)]
