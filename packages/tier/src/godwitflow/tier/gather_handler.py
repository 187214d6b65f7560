"""A request that is sent to every shard, and its answer from their parts.

It answers the load in which a few shards of a wide query are slow,
paused or down: with all parts, or with what is in once waiting is worth
less.
"""

import heapq

from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import request_timing
from godwitflow.policy import routing
from godwitflow.tier import request_handler
from godwitflow.tier import subrequest as pieces

RECORD_BYTES = 16
UNAVAILABLE_RETRY_AFTER_S = 0.4


class GatherRun(request_handler.Run):
    """Sends a request to every shard and merges the parts."""

    def start(self, gather: routing.Gather) -> None:
        """Send the request to all shards."""
        self._gather = gather
        self._parts: list[tuple[ids.ServiceName, messages.Response]] = []
        self._failed = 0
        self._past_cutoff = False
        self._pieces: list[pieces.Piece] = []
        if self._refuse_unavailable():
            return
        for shard in gather.shards:
            piece = pieces.Piece(
                self.dispatcher,
                self.work,
                shard,
                self._good_part,
                self._on_result,
                skip_unavailable=True,
            )
            self._pieces.append(piece)
        for piece in self._pieces:
            if not self.done:
                piece.start()
        if not self.done:
            self._plan()

    def _refuse_unavailable(self) -> bool:
        """Refuse at once where too many shards are known to be unavailable."""
        now_ms = self.dispatcher.now_ms()
        shards = self._gather.shards
        unavailable = [
            shard
            for shard in shards
            if self.dispatcher.service(shard).unavailable(now_ms)
        ]
        self._unavailable = len(unavailable)
        if self._gather.is_sufficient(len(shards) - len(unavailable)):
            return False
        text = f"{len(unavailable)} of {len(shards)} shards are down"
        self._refuse(503, text, UNAVAILABLE_RETRY_AFTER_S)
        return True

    def _plan(self) -> None:
        work = self.work
        self._times = request_timing.plan_gather(
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
            response.status in request_handler.SUCCESS
            and messages.find_header(response.headers, names.signature)
            is not None
            and not request_handler.encoded(response)
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
            if piece.result is None and not piece.unavailable:
                piece.hedge(sparing)

    def _on_cutoff(self) -> None:
        self._past_cutoff = True
        self._at(self._times.give_up_at_ms, self._on_final)
        self._check()

    def _on_final(self) -> None:
        ran = any(piece.exposed for piece in self._pieces)
        for piece in self._pieces:
            piece.cancel()
        if ran:
            self._refuse(504, "too few shards answered in time")
        else:
            self._refuse(
                503, "no shard had room in time", request_handler.RETRY_AFTER_S
            )

    # Parts --------------------------------------------------------------

    def _on_result(self, piece: pieces.Piece, result: pieces.Result) -> None:
        match result:
            case pieces.Got(response) if self._good_part(response):
                self._parts.append((piece.service.name, response))
            case _:
                self._failed += 1
        self._check()

    def _check(self) -> None:
        """Answer or refuse as soon as that is settled."""
        if self.done:
            return
        done = len(self._parts) + self._failed
        settled = done == len(self._gather.shards)
        ripe = settled or self._past_cutoff or self._rest_is_unavailable()
        if ripe and self._gather.is_sufficient(len(self._parts)):
            self._answer_parts()
        elif not self._gather.is_sufficient(self._hopeful()):
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

    def _rest_is_unavailable(self) -> bool:
        """Tell whether only unavailable shards are still out."""
        out = len(self._gather.shards) - len(self._parts) - self._failed
        if out > self._unavailable:
            return False
        return all(
            piece.unavailable for piece in self._pieces if not piece.result
        )

    def _give_up(self) -> None:
        total = len(self._gather.shards)
        text = f"{total - self._hopeful()} of {total} shards cannot be had"
        ran = any(piece.exposed for piece in self._pieces)
        for piece in self._pieces:
            piece.cancel()
        if ran:
            self._refuse(502, text)
        else:
            self._refuse(503, text, request_handler.RETRY_AFTER_S)

    def _answer_parts(self) -> None:
        names = self.dispatcher.names
        missing = len(self._gather.shards) - len(self._parts)
        signatures = [
            messages.find_header(response.headers, names.signature) or b""
            for _, response in self._parts
        ]
        headers: messages.Headers = [
            (names.part_signatures_out, b", ".join(signatures)),
            (names.missing_parts_out, b"%d" % missing),
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
        self.log.decision(
            "partial_answer",
            request=self.work.request_text,
            route=self.work.route.name,
            missing=missing,
            elapsed_ms=round(self._elapsed_ms(), 1),
            version=self.work.version,
        )

    def _log_late(self) -> None:
        """Name the shard that a whole answer waited for past its target."""
        last = self._parts[-1][0]
        calls = next(
            piece.sends for piece in self._pieces if piece.service.name == last
        )
        self.log.decision(
            "late_answer",
            request=self.work.request_text,
            route=self.work.route.name,
            last=last,
            calls=calls,
            elapsed_ms=round(self._elapsed_ms(), 1),
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
