"""Handles requests that are sent to every shard (scatter-gather).

A shard's response is called a part. When a few shards of a query are
slow, paused or down, slow calls are hedged. After a cutoff time the
response is merged from the parts that have arrived, if they suffice.
"""

import heapq

from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import request_timing
from godwitflow.policy import routing
from godwitflow.tier import request_handler
from godwitflow.tier import results
from godwitflow.tier import subrequest as subrequests

RECORD_BYTES = 16
UNAVAILABLE_RETRY_AFTER_S = 0.4


class GatherHandler(request_handler.RequestHandler):
    """Sends a request to every shard and merges their responses."""

    def start(self, gather: routing.Gather) -> None:
        """Send the request to all shards."""
        self._gather = gather
        self._parts: list[tuple[ids.ServiceName, messages.Response]] = []
        self._failed_count = 0
        self._past_cutoff = False
        self._subrequests: list[subrequests.Subrequest] = []
        if self._refuse_if_unavailable():
            return
        self._times = self._plan()
        for shard in gather.shards:
            subrequest = subrequests.Subrequest(
                self.dispatcher,
                self.outbound,
                shard,
                self._is_valid_part,
                self._on_result,
                self._times.cutoff_at_ms,
                skip_unavailable=True,
            )
            self._subrequests.append(subrequest)
        for subrequest in self._subrequests:
            if not self.finished:
                subrequest.start()
        if not self.finished:
            self._schedule(
                self._times.first_hedge_at_ms, self._on_first_hedge_time
            )

    def _refuse_if_unavailable(self) -> bool:
        """Refuse the request if too many shards are already unavailable."""
        now_ms = self.dispatcher.now_ms()
        shards = self._gather.shards
        unavailable = [
            shard
            for shard in shards
            if self.dispatcher.service(shard).unavailable(now_ms)
        ]
        self._unavailable_count = len(unavailable)
        callable_count = sum(
            self.dispatcher.service(shard).callable(
                self.outbound.urgent, now_ms
            )
            for shard in shards
        )
        if self._gather.is_sufficient(callable_count):
            return False
        text = (
            f"{len(shards) - callable_count} of {len(shards)} shards are "
            "down or take no more calls"
        )
        retry_after_s = self._retry_after_s(UNAVAILABLE_RETRY_AFTER_S)
        self._refuse(503, text, retry_after_s)
        return True

    def _retry_after_s(self, default_s: float) -> float:
        """Return when enough shards are back, by the times that they named."""
        now_ms = self.dispatcher.now_ms()
        shards = [
            self.dispatcher.service(shard) for shard in self._gather.shards
        ]
        count = sum(
            shard.callable(self.outbound.urgent, now_ms) for shard in shards
        )
        pauses_ms = sorted(
            back_in_ms
            for shard in shards
            if (back_in_ms := shard.back_in_ms(now_ms)) is not None
        )
        for back_in_ms in pauses_ms:
            count += 1
            if self._gather.is_sufficient(count):
                return self._spread_return_s(back_in_ms)
        return default_s

    def _plan(self) -> request_timing.GatherTimes:
        outbound = self.outbound
        return request_timing.plan_gather(
            outbound.received_at_ms,
            outbound.deadline_at_ms,
            outbound.route.target_ms,
            self.dispatcher.latencies.of(outbound.route).hedge_delay.value,
            self.exchange.request.first_on_connection,
        )

    def _is_valid_part(self, response: messages.Response) -> bool:
        names = self.dispatcher.header_names
        return (
            response.status in request_handler.SUCCESS_STATUSES
            and messages.find_header(response.headers, names.signature)
            is not None
            and not request_handler.has_content_coding(response)
        )

    def _crash_count(self) -> int:
        if self._succeeded():
            return 0
        return sum(subrequest.crash_count for subrequest in self._subrequests)

    def _succeeded(self) -> bool:
        return bool(self._parts)

    # Timers -------------------------------------------------------------

    def _on_first_hedge_time(self) -> None:
        self._hedge_pending(require_headroom=True)
        self._schedule(self._times.last_hedge_at_ms, self._on_last_hedge_time)

    def _on_last_hedge_time(self) -> None:
        self._hedge_pending(require_headroom=False)
        self._schedule(self._times.cutoff_at_ms, self._on_cutoff)

    def _hedge_pending(self, require_headroom: bool) -> None:
        for subrequest in self._subrequests:
            if subrequest.result is None and not subrequest.unavailable:
                subrequest.hedge(require_headroom)

    def _on_cutoff(self) -> None:
        self._past_cutoff = True
        self._schedule(self._times.give_up_at_ms, self.give_up)
        self._finish_if_decided()

    def give_up(self) -> None:
        """Answer with the parts that are in, or refuse."""
        if self._gather.is_sufficient(len(self._parts)):
            self._respond_with_parts()
            return
        possibly_executed = any(
            subrequest.possibly_executed for subrequest in self._subrequests
        )
        for subrequest in self._subrequests:
            subrequest.cancel()
        if possibly_executed:
            self._refuse(504, "too few shards answered in time")
        else:
            self._refuse(
                503, "no shard had room in time", request_handler.RETRY_AFTER_S
            )

    # Parts --------------------------------------------------------------

    def _on_result(
        self, subrequest: subrequests.Subrequest, result: results.Result
    ) -> None:
        match result:
            case results.Responded(response) if self._is_valid_part(response):
                self._parts.append((subrequest.service.name, response))
            case _:
                self._failed_count += 1
        self._finish_if_decided()

    def _finish_if_decided(self) -> None:
        """Respond or refuse as soon as further parts need not be awaited."""
        if self.finished:
            return
        completed = len(self._parts) + self._failed_count
        all_completed = completed == len(self._gather.shards)
        stop_waiting = (
            all_completed
            or self._past_cutoff
            or self._only_unavailable_pending()
        )
        if stop_waiting and self._gather.is_sufficient(len(self._parts)):
            self._respond_with_parts()
        elif not self._gather.is_sufficient(self._attainable_count()):
            self._refuse_insufficient()

    def _attainable_count(self) -> int:
        """Return how many shards may still contribute a part.

        After the cutoff, pending shards that have yet to pass a trial
        call are not counted.
        """
        not_failed = len(self._gather.shards) - self._failed_count
        if not self._past_cutoff:
            return not_failed
        now_ms = self.dispatcher.now_ms()
        return not_failed - sum(
            subrequest.result is None
            and subrequest.service.needs_trial(now_ms)
            for subrequest in self._subrequests
        )

    def _only_unavailable_pending(self) -> bool:
        """Return whether all pending shards are unavailable."""
        pending = (
            len(self._gather.shards) - len(self._parts) - self._failed_count
        )
        if pending > self._unavailable_count:
            return False
        return all(
            subrequest.unavailable
            for subrequest in self._subrequests
            if not subrequest.result
        )

    def _refuse_insufficient(self) -> None:
        total = len(self._gather.shards)
        text = (
            f"{total - self._attainable_count()} of {total} "
            "shards cannot be had"
        )
        possibly_executed = any(
            subrequest.possibly_executed for subrequest in self._subrequests
        )
        for subrequest in self._subrequests:
            subrequest.cancel()
        if possibly_executed:
            self._refuse(502, text)
        else:
            retry_after_s = self._retry_after_s(request_handler.RETRY_AFTER_S)
            self._refuse(503, text, retry_after_s)

    def _respond_with_parts(self) -> None:
        names = self.dispatcher.header_names
        missing = len(self._gather.shards) - len(self._parts)
        signatures = [
            messages.find_header(response.headers, names.signature) or b""
            for _, response in self._parts
        ]
        headers: messages.Headers = [
            (names.part_signatures_out, b", ".join(signatures)),
            (names.missing_parts_out, b"%d" % missing),
        ]
        if self.outbound.request_id is not None:
            headers.append((names.request_id_out, self.outbound.request_id))
        bodies = [response.body for _, response in self._parts]
        body = top_records(bodies, self._gather.top_count)
        if missing:
            self.dispatcher.metrics.count("partial_answers")
            self._log_partial()
        elif self._past_cutoff:
            self._log_late()
        for subrequest in self._subrequests:
            if subrequest.result is None:
                subrequest.detach()
        self._respond(messages.Response(200, b"OK", headers, body))

    def _log_partial(self) -> None:
        answered = {shard for shard, _ in self._parts}
        missing = {
            str(subrequest.service.name): _why_missing(subrequest.result)
            for subrequest in self._subrequests
            if subrequest.service.name not in answered
        }
        self.log.limited_event(
            "partial_answer",
            request=self.outbound.request_id_text,
            route=self.outbound.route.name,
            missing=missing,
            elapsed_ms=round(self._elapsed_ms(), 1),
            version=self.outbound.configuration_version,
        )

    def _log_late(self) -> None:
        """Log the last shard of a complete answer sent after the cutoff."""
        last = self._parts[-1][0]
        calls = next(
            subrequest.sent_count
            for subrequest in self._subrequests
            if subrequest.service.name == last
        )
        self.log.limited_event(
            "late_answer",
            request=self.outbound.request_id_text,
            route=self.outbound.route.name,
            last=last,
            calls=calls,
            elapsed_ms=round(self._elapsed_ms(), 1),
            version=self.outbound.configuration_version,
        )

    def _abandon_calls(self) -> None:
        for subrequest in self._subrequests:
            subrequest.cancel()


def _why_missing(result: results.Result | None) -> str:
    match result:
        case None:
            return "pending"
        case results.NoResponse(reason, _):
            return reason.value
        case results.Responded(response):
            return f"status {response.status}"


def top_records(bodies: list[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records of all bodies, descending.

    Trailing bytes that do not fill a record are ignored.

    >>> top_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"z"], 2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(count, records))
