"""One request's calls to one service: first attempt, retries and hedges.

A subrequest ends exactly once, with a response or with the reason why
there is none. A request that is not idempotent is sent again only if the
upstream is known not to have executed the earlier call.
"""

import dataclasses
import functools
import typing

from godwitflow.http1 import messages
from godwitflow.http1 import upstreams
from godwitflow.model import ids
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import limit_watch
from godwitflow.tier import outbound_request
from godwitflow.tier import results
from godwitflow.tier import services

DETACHED_CALL_TIMEOUT_MS = 600.0
MS_PER_S = 1_000.0


@dataclasses.dataclass(slots=True, eq=False)
class _InFlightCall:
    upstream: services.Upstream
    started_at_ms: float
    work_ms: float
    connection: upstreams.UpstreamConnection | None = None


class Subrequest:
    """Sends a request to one service, retrying and hedging within limits.

    ``is_acceptable`` decides whether a response ends the subrequest.
    After any other response another upstream is tried; if none of them
    sends an acceptable response, the result is the first response, if
    any, that was not a rejection. A response is most useful until
    ``useful_until_ms``. With ``skip_unavailable`` nothing is sent to a
    service that is unavailable.
    """

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        outbound: outbound_request.OutboundRequest,
        service: ids.ServiceName,
        is_acceptable: typing.Callable[[messages.Response], bool],
        on_result: typing.Callable[["Subrequest", results.Result], None],
        useful_until_ms: float,
        skip_unavailable: bool = False,
    ) -> None:
        self.dispatcher = dispatcher
        self.outbound = outbound
        self.service = dispatcher.service(service)
        self.result: results.Result | None = None
        self.sent_count = 0
        self.crash_count = 0
        self.may_have_run = False
        self.queued = False
        self._is_acceptable = is_acceptable
        self._on_result = on_result
        self._useful_until_ms = useful_until_ms
        self._skip_unavailable = skip_unavailable
        self._latency = dispatcher.latencies.of(outbound.route)
        self._tried: set[ids.UpstreamId] = set()
        self._in_flight: dict[int, _InFlightCall] = {}
        self._awaiting_permit = 0
        self._permit_denied = False
        self._error_response: messages.Response | None = None
        self._reason = results.NoResponseReason.NO_UPSTREAM
        self._detached = False
        self._call_kind = limit_watch.CallKind.FIRST

    @property
    def possibly_executed(self) -> bool:
        """Whether the request may have run, or may be running now."""
        return self.may_have_run or bool(self._in_flight)

    def expected_work_ms(self) -> float:
        """Return the work that is expected of one call."""
        return self._latency.median.value * self.outbound.work_ratio

    @property
    def unavailable(self) -> bool:
        """Whether no upstream of the service is expected to answer."""
        return self.service.unavailable(self.dispatcher.now_ms())

    def start(self) -> None:
        """Send the request, or queue it until an upstream has capacity.

        With ``skip_unavailable``, as for a shard, the subrequest of an
        unavailable service ends immediately. The only service of a
        request is tried even if it is unavailable.
        """
        self.service.retry_budget.on_request(self.dispatcher.now_ms())
        if self._skip_unavailable and self.unavailable:
            self._reason = self._unavailable_reason()
            self._finish_if_idle()
            return
        self._send_or_enqueue()

    def _unavailable_reason(self) -> results.NoResponseReason:
        if self.service.back_in_ms(self.dispatcher.now_ms()) is None:
            return results.NoResponseReason.UNAVAILABLE
        return results.NoResponseReason.PAUSED

    # Sending ------------------------------------------------------------

    def _send_or_enqueue(self) -> None:
        eligible = self._eligible_upstreams()
        if not eligible:
            self._finish_if_idle()
        elif not self._try_send(eligible):
            self.queued = True
            self.dispatcher.enqueue(
                self.service,
                self.outbound.priority,
                self,
                self.outbound.customer_name,
                self.expected_work_ms(),
            )

    def _eligible_upstreams(self) -> list[services.Upstream]:
        """Return the untried upstreams that a call may be made to.

        There are none after the deadline. After a denied permit, limited
        upstreams are the last choice. The others take over their calls only
        as far as they have room.
        """
        now_ms = self.dispatcher.now_ms()
        if now_ms >= self.outbound.deadline_at_ms:
            self._reason = results.NoResponseReason.TIMED_OUT
            return []
        untried = self.dispatcher.untried_upstreams(self.service, self._tried)
        permitted = [
            upstream
            for upstream in untried
            if not upstream.denied(self.outbound.urgent, now_ms)
        ]
        if self._permit_denied or len(permitted) < len(untried):
            permitted = [
                upstream
                for upstream in permitted
                if upstream.limited(now_ms) or self._has_room(upstream, now_ms)
            ]
        if untried and not permitted:
            self._reason = results.NoResponseReason.RATE_LIMITED
        if not untried and self.service.back_in_ms(now_ms) is not None:
            self._reason = results.NoResponseReason.PAUSED
        unlimited = [item for item in permitted if not item.limited(now_ms)]
        return (self._permit_denied and unlimited) or permitted

    def _has_room(self, upstream: services.Upstream, now_ms: float) -> bool:
        """Return whether an upstream is likely to answer in time.

        Urgent calls are few and short, and always sent.
        """
        if self.outbound.urgent:
            return True
        end_at_ms = self._useful_until_ms
        if now_ms >= end_at_ms:
            end_at_ms = self.outbound.deadline_at_ms
        return upstream.health.has_room(
            now_ms,
            self.expected_work_ms(),
            end_at_ms - now_ms,
            self.dispatcher.random.random(),
        )

    def _try_send(self, eligible: list[services.Upstream]) -> bool:
        """Send to one of the upstreams, or ask for a permit to do so.

        Returns False if none of them has capacity.
        """
        upstream = self.dispatcher.choose_upstream(
            eligible, self.expected_work_ms()
        )
        if upstream is None:
            return False
        if not upstream.limited(self.dispatcher.now_ms()):
            return self._send_to(upstream, self._call_kind)
        self._awaiting_permit += 1
        self._tried.add(upstream.name)
        self.dispatcher.permits.request(
            upstream,
            self.outbound.urgent,
            functools.partial(self._on_permit, upstream, self._call_kind),
        )
        return True

    def _on_permit(
        self,
        upstream: services.Upstream,
        kind: limit_watch.CallKind,
        issued: bool,
    ) -> None:
        """Send the call that a permit was asked for, or another one.

        If other calls are in flight, only a hedge is sent elsewhere: its
        retry budget has been charged.
        """
        self._awaiting_permit -= 1
        self._tried.discard(upstream.name)
        if self.result is not None:
            return
        if not issued:
            self._on_permit_denied(upstream, kind)
        usable = upstream.takes_calls(self.dispatcher.now_ms())
        if issued and usable and self._send_to(upstream, kind):
            return
        waiting = bool(self._in_flight or self._awaiting_permit)
        if waiting and kind is not limit_watch.CallKind.HEDGE:
            return
        if not self._may_resend():
            self._finish_if_idle()
        elif waiting:
            self._send_hedge(self._eligible_with_capacity())
        else:
            self._send_or_enqueue()

    def _on_permit_denied(
        self, upstream: services.Upstream, kind: limit_watch.CallKind
    ) -> None:
        self._permit_denied = True
        self.dispatcher.log.limited_event(
            "permit_denied",
            request=self.outbound.request_id_text,
            service=self.service.name,
            upstream=upstream.name,
            call=kind.value,
        )

    def _send_to(
        self, upstream: services.Upstream, kind: limit_watch.CallKind
    ) -> bool:
        now_ms = self.dispatcher.now_ms()
        trial = upstream.health.needs_trial(now_ms)
        key = self.dispatcher.next_call_key()
        work_ms = self.expected_work_ms()
        in_flight_call = _InFlightCall(upstream, now_ms, work_ms)
        call = upstreams.Call(
            self._serialize(upstream, now_ms),
            self.outbound.request_id,
            self.outbound.method == b"HEAD",
            functools.partial(self._on_outcome, key),
            self.outbound.body,
        )
        self._in_flight[key] = in_flight_call
        self._tried.add(upstream.name)
        self.sent_count += 1
        upstream.on_call_start(key, now_ms, work_ms)
        in_flight_call.connection = upstream.pool.try_send(call)
        if in_flight_call.connection is None:
            self._undo_send(key, upstream)
            return False
        self.dispatcher.limit_watch.on_call(
            upstream, limit_watch.CallKind.TRIAL if trial else kind
        )
        if trial and self.outbound.idempotent:
            self.hedge()  # a failing trial call must not delay the request
        return True

    def _undo_send(self, key: int, upstream: services.Upstream) -> None:
        """Roll back a send if another call took the last connection."""
        del self._in_flight[key]
        self._tried.discard(upstream.name)
        self.sent_count -= 1
        upstream.on_call_end(key)

    def _serialize(self, upstream: services.Upstream, now_ms: float) -> bytes:
        names = self.dispatcher.header_names
        left_ms = max(1, int(self.outbound.deadline_at_ms - now_ms))
        return b"%b%b: %d\r\n%b: %b\r\n%b" % (
            self.outbound.head,
            names.deadline_out,
            left_ms,
            names.expect_upstream_out,
            upstream.name.encode("latin-1", "replace"),
            self.outbound.tail,
        )

    def resume(self) -> bool:
        """Send a queued request; False if there is still no capacity."""
        if self.result is not None or not self.queued:
            return True
        eligible = self._eligible_upstreams()
        if eligible and not self._try_send(eligible):
            return False
        self.queued = False
        if not eligible:
            self._finish_if_idle()
        return True

    def hedge(self, require_headroom: bool = False) -> bool:
        """Send the request to another upstream without awaiting the first.

        Returns False without sending if the subrequest has ended or is
        queued, if the request must not be sent again, or if no untried
        upstream has capacity or no retry budget is left. With
        ``require_headroom`` it also does so if the retry budget is low.
        """
        if self.result is not None or self.queued or not self._may_resend():
            return False
        if require_headroom and not self._has_budget_headroom():
            return False
        eligible = self._eligible_with_capacity()
        if not eligible or not self._try_acquire_budget():
            return False
        self.dispatcher.record_repeated_call(
            self.outbound, self.service.name, "late"
        )
        return self._send_hedge(eligible)

    def _eligible_with_capacity(self) -> list[services.Upstream]:
        return [
            upstream
            for upstream in self._eligible_upstreams()
            if upstream.pool.has_capacity
        ]

    def _send_hedge(self, eligible: list[services.Upstream]) -> bool:
        self._call_kind = limit_watch.CallKind.HEDGE
        return self._try_send(eligible)

    def _may_resend(self) -> bool:
        calls = self.sent_count + self._awaiting_permit
        if calls >= self.outbound.route.attempts:
            return False
        return self.outbound.idempotent or not self.may_have_run

    def _has_budget_headroom(self) -> bool:
        return self.service.retry_budget.has_headroom(
            self.dispatcher.now_ms(),
            self.dispatcher.node_count,
            self.outbound.priority,
        )

    def _try_acquire_budget(self) -> bool:
        return self.service.retry_budget.try_acquire(
            self.dispatcher.now_ms(),
            self.dispatcher.node_count,
            self.outbound.priority,
        )

    # Outcomes -----------------------------------------------------------

    def _on_outcome(self, key: int, outcome: upstreams.Outcome) -> None:
        in_flight_call = self._in_flight.pop(key)
        in_flight_call.upstream.on_call_end(key)
        elapsed_ms = self.dispatcher.now_ms() - in_flight_call.started_at_ms
        rejected = self._is_rejection(outcome)
        self._learn_work(in_flight_call, elapsed_ms, outcome, rejected)
        self.dispatcher.outcomes.record(
            in_flight_call.upstream,
            self._latency,
            elapsed_ms,
            outcome,
            rejected,
            in_flight_call.work_ms,
        )
        if self.result is not None:
            return
        self._log_failure(in_flight_call, elapsed_ms, outcome)
        match outcome:
            case upstreams.Replied(response) if rejected:
                self._reason = results.NoResponseReason.REJECTED
                self._retry(sent=True)
            case upstreams.Replied(response):
                self.may_have_run = True
                self._on_response(response)
            case upstreams.Failed(reason, sent):
                if sent and reason is upstreams.FailureReason.CONNECTION_LOST:
                    self.crash_count += 1
                self.may_have_run = self.may_have_run or sent
                self._reason = results.NoResponseReason.FAILED
                self._retry(sent=sent)

    def _learn_work(
        self,
        in_flight_call: _InFlightCall,
        elapsed_ms: float,
        outcome: upstreams.Outcome,
        rejected: bool,
    ) -> None:
        """Learn how much work the request was, if it was run.

        A slow upstream says nothing of the request. Its slowness is not
        divided out, as it is itself relative to the expected work: both
        would drift away from each other.
        """
        if in_flight_call.upstream.health.degraded:
            return
        match outcome:
            case upstreams.Replied(response) if (
                not rejected and response.status < 500
            ):
                self.dispatcher.work_estimates.record(
                    self.outbound.features,
                    elapsed_ms,
                    self._latency.median.value,
                )

    def _log_failure(
        self,
        in_flight_call: _InFlightCall,
        elapsed_ms: float,
        outcome: upstreams.Outcome,
    ) -> None:
        """Log a call whose outcome is not an acceptable response."""
        match outcome:
            case upstreams.Replied(response) if self._is_acceptable(response):
                if not self._is_rejection(outcome):
                    return
                text = f"status {response.status}"
            case upstreams.Replied(response):
                text = f"status {response.status}"
            case upstreams.Failed(reason, _):
                text = reason.value
        self.dispatcher.log.limited_event(
            "call_failed",
            request=self.outbound.request_id_text,
            service=self.service.name,
            upstream=in_flight_call.upstream.name,
            outcome=text,
            elapsed_ms=round(elapsed_ms, 1),
        )

    def _is_rejection(self, outcome: upstreams.Outcome) -> bool:
        match outcome:
            case upstreams.Replied(response):
                if response.status == messages.MISDIRECTED:
                    return True
                name = self.dispatcher.header_names.not_executed
                return messages.find_header(response.headers, name) is not None
            case _:
                return False

    def _on_response(self, response: messages.Response) -> None:
        if self._is_acceptable(response):
            self._finish(results.Responded(response))
            return
        self._reason = results.NoResponseReason.FAILED
        if self._error_response is None:
            self._error_response = response
        self._retry(sent=True)

    def _retry(self, sent: bool) -> None:
        """Try another upstream unless a call is in flight or queued.

        A call that was not sent counts as no attempt and needs no budget.
        """
        if not sent:
            self.sent_count -= 1
        if self._in_flight or self.queued or self._awaiting_permit:
            return
        if not self._may_resend():
            self._finish_if_idle()
        elif sent and not self._try_acquire_budget():
            self._reason = results.NoResponseReason.NO_BUDGET
            self._finish_if_idle()
        else:
            self.dispatcher.record_repeated_call(
                self.outbound, self.service.name, self._reason.value
            )
            self._call_kind = limit_watch.CallKind.RETRY
            self._send_or_enqueue()

    def _finish_if_idle(self) -> None:
        """Finish without an acceptable response if no call is in flight."""
        if self._in_flight or self._awaiting_permit or self.result is not None:
            return
        if self._error_response is not None:
            self._finish(results.Responded(self._error_response))
        else:
            self._finish(results.NoResponse(self._reason, self.may_have_run))

    def _finish(self, result: results.Result) -> None:
        self.result = result
        self._leave_queue()
        if self._in_flight:
            self._detach_calls()
        self._on_result(self, result)

    # Ending -------------------------------------------------------------

    def detach(self) -> None:
        """End without a result, letting calls in flight complete.

        This keeps their connections reusable and still records their
        outcomes. Calls are cancelled after ``DETACHED_CALL_TIMEOUT_MS``.
        """
        if self.result is None:
            self.result = results.NoResponse(self._reason, self.may_have_run)
            self._leave_queue()
        self._detach_calls()

    def cancel(self) -> None:
        """End without a result and cancel the calls in flight."""
        if self.result is None:
            self.result = results.NoResponse(self._reason, self.may_have_run)
            self._leave_queue()
        self._cancel_calls()

    def _leave_queue(self) -> None:
        if self.queued:
            self.queued = False
            self.service.queue.remove(self)

    def _detach_calls(self) -> None:
        if not self._in_flight or self._detached:
            return
        self._detached = True
        wait_s = DETACHED_CALL_TIMEOUT_MS / MS_PER_S
        self.dispatcher.reactor.callLater(wait_s, self._cancel_calls)

    def _cancel_calls(self) -> None:
        for in_flight_call in list(self._in_flight.values()):
            if in_flight_call.connection is not None:
                in_flight_call.connection.cancel()
