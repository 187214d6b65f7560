"""A caller's request from its route to its answer.

:class:`SingleRun` passes a request on to one service.
:class:`GatherRun` sends it to every shard, and answers with all parts,
or with what is in once waiting is worth less. It answers the load in
which a few shards of a wide query are slow, paused or down.
"""

import heapq
import typing

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import gather_times
from godwitflow.policy import routing
from godwitflow.policy import strikes
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import log as logs
from godwitflow.tier import piece as pieces

MS_PER_S = 1_000.0
RECORD_BYTES = 16
SINGLE_LATE_MAX_SHARE = 0.6
RETRY_AFTER_S = 0.15
DARK_RETRY_AFTER_S = 0.4
SUCCESS = range(200, 300)


def _encoded(response: messages.Response) -> bool:
    coding = messages.find(response.headers, b"content-encoding")
    return coding is not None and coding.lower() != b"identity"


class Run:
    """What both kinds of run share: the answer, the timer, the end."""

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
        exchange.on_gone = self._on_gone

    def _at(self, at_ms: float, action: typing.Callable[[], None]) -> None:
        """Run an action at a time, in place of the one planned before."""
        self._stop_timer()
        wait_s = max(0.0, at_ms - self.dispatcher.now_ms()) / MS_PER_S
        self._timer = self.dispatcher.reactor.callLater(wait_s, action)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _answer(self, response: messages.Response) -> None:
        self.done = True
        self._stop_timer()
        self._note_crashes()
        figures = self.dispatcher.metrics
        figures.count("answers", status=str(response.status))
        route = self.work.route
        elapsed_ms = self.dispatcher.now_ms() - self.work.received_at_ms
        figures.record(route.name, str(route.priority), "query", elapsed_ms)
        self.exchange.answer(response)

    def _on_gone(self) -> None:
        raise NotImplementedError

    def _crashes(self) -> int:
        """Return the upstreams that broke off, 0 if any answered well."""
        raise NotImplementedError

    def _note_crashes(self) -> None:
        crashes = self._crashes()
        strikes_seen = self.dispatcher.strikes
        if not crashes and not strikes_seen.any:
            return
        request = self.exchange.request
        mark = strikes.fingerprint(
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
        elapsed_ms = self.dispatcher.now_ms() - self.work.received_at_ms
        self.log.decision(
            "caller_gone",
            request=self.work.request_text,
            route=self.work.route.name,
            elapsed_ms=round(elapsed_ms, 1),
        )

    def _refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        elapsed_ms = self.dispatcher.now_ms() - self.work.received_at_ms
        self.log.decision(
            "refused",
            request=self.work.request_text,
            route=self.work.route.name,
            attempts=self.work.route.attempts,
            status=status,
            reason=reason,
            elapsed_ms=round(elapsed_ms, 1),
            version=self.work.version,
        )
        self._answer(messages.own_response(status, reason, retry_after_s))


class SingleRun(Run):
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
            late_ms = self.dispatcher.pace(self.work.route).late.value
            target_ms = self.work.route.target_ms
            late_ms = min(late_ms, SINGLE_LATE_MAX_SHARE * target_ms)
            now_ms = self.dispatcher.now_ms()
            late_at_ms = min(now_ms + late_ms, self._final_at_ms())
            self._at(late_at_ms, self._on_late)
        else:
            self._at(self._final_at_ms(), self._on_final)

    def _good(self, response: messages.Response) -> bool:
        return response.status < 500 and self._proven(response)

    def _proven(self, response: messages.Response) -> bool:
        """Tell whether a response is whole and signed, if a success."""
        if _encoded(response):
            return False
        signature = self.dispatcher.names.signature
        signed = messages.find(response.headers, signature) is not None
        return signed or response.status not in SUCCESS

    def _crashes(self) -> int:
        return 0 if self._ran_well() else self._piece.crashes

    def _ran_well(self) -> bool:
        return isinstance(self._piece.result, pieces.Got)

    def _final_at_ms(self) -> float:
        return self.work.deadline_at_ms - gather_times.FINAL_MARGIN_MS

    def _on_late(self) -> None:
        self._piece.hedge()
        self._at(self._final_at_ms(), self._on_final)

    def _on_final(self) -> None:
        ran = self._piece.exposed
        self._piece.cancel()
        if ran:
            self._refuse(504, "the request timed out")
        else:
            self._refuse(503, "no upstream had room in time", RETRY_AFTER_S)

    def _on_result(self, piece: pieces.Piece, result: pieces.Result) -> None:
        match result:
            case pieces.Got(response, _) if not self._proven(response):
                self._refuse(502, "the upstream's answer was malformed")
            case pieces.Got(response, _):
                headers = messages.end_to_end(response.headers)
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
                    self._refuse(503, f"not run: {lack.value}", RETRY_AFTER_S)

    def _on_gone(self) -> None:
        self._note_gone()
        if self.work.idempotent:
            self._piece.cancel()
        else:
            self._piece.abandon()


class GatherRun(Run):
    """Sends a request to every shard and merges the parts."""

    def start(self, gather: routing.Gather) -> None:
        """Send the request to all shards."""
        self._gather = gather
        self._parts: list[tuple[ids.ServiceName, messages.Response]] = []
        self._failed = 0
        self._past_cutoff = False
        self._pieces: list[pieces.Piece] = []
        if self._refuse_dark():
            return
        for shard in gather.shards:
            piece = pieces.Piece(
                self.dispatcher,
                self.work,
                shard,
                self._good_part,
                self._on_result,
                skip_dark=True,
            )
            self._pieces.append(piece)
        for piece in self._pieces:
            if not self.done:
                piece.start()
        if not self.done:
            self._plan()

    def _refuse_dark(self) -> bool:
        """Refuse at once where too many shards are known to be dark."""
        now_ms = self.dispatcher.now_ms()
        shards = self._gather.shards
        dark = [
            shard
            for shard in shards
            if self.dispatcher.service(shard).dark(now_ms)
        ]
        self._dark = len(dark)
        lit = len(shards) - len(dark)
        if lit > 0 and lit >= self._gather.least_share * len(shards):
            return False
        text = f"{len(dark)} of {len(shards)} shards are down"
        self._refuse(503, text, DARK_RETRY_AFTER_S)
        return True

    def _plan(self) -> None:
        work = self.work
        self._times = gather_times.plan(
            work.received_at_ms,
            work.deadline_at_ms,
            work.route.target_ms,
            self.dispatcher.pace(work.route).late.value,
            self.exchange.request.first_on_connection,
        )
        self._at(self._times.first_hedge_at_ms, self._on_late)

    def _good_part(self, response: messages.Response) -> bool:
        names = self.dispatcher.names
        return (
            response.status in SUCCESS
            and messages.find(response.headers, names.signature) is not None
            and not _encoded(response)
        )

    def _crashes(self) -> int:
        if self._ran_well():
            return 0
        return sum(piece.crashes for piece in self._pieces)

    def _ran_well(self) -> bool:
        return bool(self._parts)

    # Time ---------------------------------------------------------------

    def _on_late(self) -> None:
        self._hedge(sparing=True)
        self._at(self._times.last_hedge_at_ms, self._on_very_late)

    def _on_very_late(self) -> None:
        self._hedge(sparing=False)
        self._at(self._times.cutoff_at_ms, self._on_cutoff)

    def _hedge(self, sparing: bool) -> None:
        for piece in self._pieces:
            if piece.result is None and not piece.dark:
                piece.hedge(sparing)

    def _on_cutoff(self) -> None:
        self._past_cutoff = True
        self._at(self._times.final_at_ms, self._on_final)
        self._check()

    def _on_final(self) -> None:
        ran = any(piece.exposed for piece in self._pieces)
        for piece in self._pieces:
            piece.cancel()
        if ran:
            self._refuse(504, "too few shards answered in time")
        else:
            self._refuse(503, "no shard had room in time", RETRY_AFTER_S)

    # Parts --------------------------------------------------------------

    def _on_result(self, piece: pieces.Piece, result: pieces.Result) -> None:
        match result:
            case pieces.Got(response, _) if self._good_part(response):
                self._parts.append((piece.service.name, response))
            case _:
                self._failed += 1
        self._check()

    def _check(self) -> None:
        """Answer or refuse as soon as that is settled."""
        if self.done:
            return
        total = len(self._gather.shards)
        enough = len(self._parts) >= self._gather.least_share * total
        enough = enough and len(self._parts) > 0
        settled = len(self._parts) + self._failed == total
        ripe = settled or self._past_cutoff or self._rest_is_dark()
        if enough and ripe:
            self._answer_parts()
        elif self._hopeful() < self._gather.least_share * total:
            self._give_up()

    def _hopeful(self) -> int:
        """Return how many shards may be in, in the end.

        Shards that are tried only to see whether they are back count
        until the cutoff.
        """
        hopeful = len(self._gather.shards) - self._failed
        if not self._past_cutoff:
            return hopeful
        now_ms = self.dispatcher.now_ms()
        return hopeful - sum(
            piece.result is None and piece.service.doubtful(now_ms)
            for piece in self._pieces
        )

    def _rest_is_dark(self) -> bool:
        """Tell whether only dark shards are still out."""
        out = len(self._gather.shards) - len(self._parts) - self._failed
        if out > self._dark:
            return False
        return all(piece.dark for piece in self._pieces if not piece.result)

    def _give_up(self) -> None:
        total = len(self._gather.shards)
        text = f"{total - self._hopeful()} of {total} shards cannot be had"
        ran = any(piece.exposed for piece in self._pieces)
        for piece in self._pieces:
            piece.cancel()
        if ran:
            self._refuse(502, text)
        else:
            self._refuse(503, text, RETRY_AFTER_S)

    def _answer_parts(self) -> None:
        names = self.dispatcher.names
        missing = len(self._gather.shards) - len(self._parts)
        signatures = [
            messages.find(response.headers, names.signature) or b""
            for _, response in self._parts
        ]
        headers: messages.Headers = [
            (names.parts_out, b", ".join(signatures)),
            (names.missing_out, b"%d" % missing),
        ]
        if self.work.request_id is not None:
            headers.append((names.request_id_out, self.work.request_id))
        bodies = [response.body for _, response in self._parts]
        body = greatest(bodies, self._gather.top_count)
        if missing:
            self.dispatcher.metrics.count("partial_answers")
            self._log_partial()
        elif self._past_cutoff:
            self._log_late()
        for piece in self._pieces:
            if piece.result is None:
                piece.abandon()
        self._answer(messages.Response(200, b"OK", headers, body))

    def _log_partial(self) -> None:
        missing = [
            piece.service.name
            for piece in self._pieces
            if not isinstance(piece.result, pieces.Got)
        ]
        elapsed_ms = self.dispatcher.now_ms() - self.work.received_at_ms
        self.log.decision(
            "partial_answer",
            request=self.work.request_text,
            route=self.work.route.name,
            missing=missing,
            elapsed_ms=round(elapsed_ms, 1),
            version=self.work.version,
        )

    def _log_late(self) -> None:
        """Name the shard that a whole answer waited for past its target."""
        last = self._parts[-1][0]
        calls = next(
            piece.sends for piece in self._pieces if piece.service.name == last
        )
        elapsed_ms = self.dispatcher.now_ms() - self.work.received_at_ms
        self.log.decision(
            "late_answer",
            request=self.work.request_text,
            route=self.work.route.name,
            last=last,
            calls=calls,
            elapsed_ms=round(elapsed_ms, 1),
            version=self.work.version,
        )

    def _on_gone(self) -> None:
        self._note_gone()
        for piece in self._pieces:
            piece.cancel()


def greatest(bodies: list[bytes], count: int) -> bytes:
    """Return the greatest records of all bodies, falling.

    A remainder shorter than a record is none.

    >>> greatest([b"a" * 16 + b"c" * 16, b"b" * 16 + b"z"], 2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(count, records))


def _length(response: messages.Response) -> messages.Headers:
    length = messages.find(response.headers, b"content-length")
    return [] if length is None else [(b"Content-Length", length)]
