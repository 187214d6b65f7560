"""One request's calls to one service: first try, retries and hedge.

A piece ends once: with a response, or with why there is none. A request
that is not idempotent is sent again only where the earlier call is known
not to have run.
"""

import dataclasses
import enum
import functools
import typing

from godwitflow.http1 import messages
from godwitflow.http1 import upstreams
from godwitflow.model import ids
from godwitflow.policy import routing
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import services

LINGER_MS = 600.0
MS_PER_S = 1_000.0


@dataclasses.dataclass(slots=True)
class Work:
    """A caller's request in the form that goes to upstreams.

    ``head`` and ``tail`` enclose the headers that differ by call;
    ``version`` is that of the configuration that the route is from.
    """

    request_id: bytes | None
    method: bytes
    head: bytes
    tail: bytes
    route: routing.Route
    received_at_ms: float
    deadline_at_ms: float
    version: int

    @property
    def request_text(self) -> str:
        """The request's id for logs."""
        if self.request_id is None:
            return ""
        return self.request_id.decode("latin-1")

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.retry_policy is routing.RetryPolicy.IDEMPOTENT


class Lack(enum.Enum):
    """Why a piece has no response."""

    NO_UPSTREAM = "no_upstream"
    UNAVAILABLE = "unavailable"
    REJECTED = "rejected"
    NO_BUDGET = "no_budget"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Got:
    """The response of an upstream, whatever its status."""

    response: messages.Response


@dataclasses.dataclass(frozen=True, slots=True)
class Nothing:
    """No response; ``ran`` tells whether the request may have run."""

    lack: Lack
    ran: bool


Result = Got | Nothing


@dataclasses.dataclass(slots=True, eq=False)
class _Live:
    upstream: services.Upstream
    started_at_ms: float
    connection: upstreams.UpstreamConnection | None = None


class Piece:
    """Runs a request on one upstream of a service."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        work: Work,
        service: ids.ServiceName,
        wanted: typing.Callable[[messages.Response], bool],
        on_result: typing.Callable[["Piece", Result], None],
        skip_unavailable: bool = False,
    ) -> None:
        self.dispatcher = dispatcher
        self.work = work
        self.service = dispatcher.service(service)
        self.result: Result | None = None
        self.sends = 0
        self.crashes = 0
        self.may_have_run = False
        self.waiting = False
        self._wanted = wanted
        self._on_result = on_result
        self._skip_unavailable = skip_unavailable
        self._pace = dispatcher.pace(work.route)
        self._used: set[ids.UpstreamId] = set()
        self._live: dict[int, _Live] = {}
        self._failure: messages.Response | None = None
        self._lack = Lack.NO_UPSTREAM
        self._lingering = False

    @property
    def exposed(self) -> bool:
        """Whether the request may have run, or may yet."""
        return self.may_have_run or bool(self._live)

    @property
    def unavailable(self) -> bool:
        """Whether the service cannot be expected to answer."""
        return self.service.unavailable(self.dispatcher.now_ms())

    def start(self) -> None:
        """Send the request, or queue it until a place is free.

        A shard that is unavailable is left out at once; the answer of a
        service on its own is worth a try.
        """
        self.service.budget.on_request(self.dispatcher.now_ms())
        if self._skip_unavailable and self.unavailable:
            self._lack = Lack.UNAVAILABLE
            self._settle()
            return
        self._send_or_wait()

    # Sending ------------------------------------------------------------

    def _send_or_wait(self) -> None:
        usable = self.dispatcher.usable(self.service, self._used)
        if not usable:
            self._settle()
        elif not self._send(usable):
            self.waiting = True
            self.dispatcher.wait(self.service, self.work.route.priority, self)

    def _send(self, usable: list[services.Upstream]) -> bool:
        upstream = self.dispatcher.choose(usable, self._pace.usual.value)
        if upstream is None:
            return False
        now_ms = self.dispatcher.now_ms()
        trial = upstream.health.needs_trial(now_ms)
        key = self.dispatcher.new_key()
        live = _Live(upstream, now_ms)
        call = upstreams.Call(
            self._bytes(upstream, now_ms),
            self.work.request_id,
            self.work.method == b"HEAD",
            functools.partial(self._on_outcome, key),
        )
        self._live[key] = live
        self._used.add(upstream.name)
        self.sends += 1
        upstream.note_start(key, now_ms)
        live.connection = upstream.pool.start(call)
        if live.connection is None:
            self._withdraw(key, upstream)
            return False
        if trial and self.work.idempotent:
            self.hedge()  # a trial must not cost its request time
        return True

    def _withdraw(self, key: int, upstream: services.Upstream) -> None:
        """Undo a start whose place was taken by another call meanwhile."""
        del self._live[key]
        self._used.discard(upstream.name)
        self.sends -= 1
        upstream.note_end(key)

    def _bytes(self, upstream: services.Upstream, now_ms: float) -> bytes:
        names = self.dispatcher.names
        left_ms = max(1, int(self.work.deadline_at_ms - now_ms))
        return b"%b%b: %d\r\n%b: %b\r\n%b" % (
            self.work.head,
            names.deadline_out,
            left_ms,
            names.expect_upstream_out,
            upstream.name.encode("latin-1", "replace"),
            self.work.tail,
        )

    def resume(self) -> bool:
        """Send after a wait; False while there is still no place."""
        if self.result is not None or not self.waiting:
            return True
        usable = self.dispatcher.usable(self.service, self._used)
        if usable and not self._send(usable):
            return False
        self.waiting = False
        if not usable:
            self._settle()
        return True

    def hedge(self, sparing: bool = False) -> bool:
        """Send the request to a second upstream, if that may help.

        ``sparing`` leaves what is left of a budget that runs low.
        """
        if self.result is not None or self.waiting or not self._may_repeat():
            return False
        if sparing and not self._budget_is_ample():
            return False
        usable = [
            upstream
            for upstream in self.dispatcher.usable(self.service, self._used)
            if upstream.pool.has_room
        ]
        if not usable or not self._take_budget():
            return False
        self.dispatcher.note_repeat(self.work, self.service.name, "late")
        return self._send(usable)

    def _may_repeat(self) -> bool:
        if self.sends >= self.work.route.attempts:
            return False
        return self.work.idempotent or not self.may_have_run

    def _budget_is_ample(self) -> bool:
        return self.service.budget.has_headroom(
            self.dispatcher.now_ms(),
            self.dispatcher.nodes,
            self.work.route.priority,
        )

    def _take_budget(self) -> bool:
        return self.service.budget.try_acquire(
            self.dispatcher.now_ms(),
            self.dispatcher.nodes,
            self.work.route.priority,
        )

    # Outcomes -----------------------------------------------------------

    def _on_outcome(self, key: int, outcome: upstreams.Outcome) -> None:
        live = self._live.pop(key)
        live.upstream.note_end(key)
        elapsed_ms = self.dispatcher.now_ms() - live.started_at_ms
        rejected = self._rejected(outcome)
        self.dispatcher.learn(
            live.upstream, self._pace, elapsed_ms, outcome, rejected
        )
        if self.result is not None:
            return
        self._log_bad(live, elapsed_ms, outcome)
        match outcome:
            case upstreams.Replied(response) if rejected:
                self._lack = Lack.REJECTED
                self._again(arrived=True)
            case upstreams.Replied(response):
                self.may_have_run = True
                self._take_response(response)
            case upstreams.Failed(fault, sent):
                if sent and fault is upstreams.FailureReason.CONNECTION_LOST:
                    self.crashes += 1
                self.may_have_run = self.may_have_run or sent
                self._lack = Lack.FAILED
                self._again(arrived=sent)

    def _log_bad(
        self, live: _Live, elapsed_ms: float, outcome: upstreams.Outcome
    ) -> None:
        """Log a call that brought no good response."""
        match outcome:
            case upstreams.Replied(response) if self._wanted(response):
                if not self._rejected(outcome):
                    return
                what = f"status {response.status}"
            case upstreams.Replied(response):
                what = f"status {response.status}"
            case upstreams.Failed(fault, _):
                what = fault.value
        self.dispatcher.log.decision(
            "call_failed",
            request=self.work.request_text,
            service=self.service.name,
            upstream=live.upstream.name,
            outcome=what,
            elapsed_ms=round(elapsed_ms, 1),
        )

    def _rejected(self, outcome: upstreams.Outcome) -> bool:
        match outcome:
            case upstreams.Replied(response):
                if response.status == messages.MISDIRECTED:
                    return True
                mark = self.dispatcher.names.not_executed
                return messages.find_header(response.headers, mark) is not None
            case _:
                return False

    def _take_response(self, response: messages.Response) -> None:
        if self._wanted(response):
            self._finish(Got(response))
            return
        self._lack = Lack.FAILED
        if self._failure is None:
            self._failure = response
        self._again(arrived=True)

    def _again(self, arrived: bool) -> None:
        """Try another upstream, unless a call is still under way."""
        if not arrived:
            self.sends -= 1
        if self._live or self.waiting:
            return
        if not self._may_repeat():
            self._settle()
        elif arrived and not self._take_budget():
            self._lack = Lack.NO_BUDGET
            self._settle()
        else:
            self.dispatcher.note_repeat(
                self.work, self.service.name, self._lack.value
            )
            self._send_or_wait()

    def _settle(self) -> None:
        """End without a good response, unless a call is under way."""
        if self._live or self.result is not None:
            return
        if self._failure is not None:
            self._finish(Got(self._failure))
        else:
            self._finish(Nothing(self._lack, self.may_have_run))

    def _finish(self, result: Result) -> None:
        self.result = result
        self.waiting = False
        if self._live:
            self._linger()
        self._on_result(self, result)

    # Ending -------------------------------------------------------------

    def abandon(self) -> None:
        """End with no result; calls under way may run on for a while.

        Their connections stay whole that way, and what they tell of
        their upstreams is learnt.
        """
        if self.result is None:
            self.result = Nothing(self._lack, self.may_have_run)
            self.waiting = False
        self._linger()

    def cancel(self) -> None:
        """End with no result, and stop the calls under way."""
        if self.result is None:
            self.result = Nothing(self._lack, self.may_have_run)
            self.waiting = False
        self._cut()

    def _linger(self) -> None:
        if not self._live or self._lingering:
            return
        self._lingering = True
        wait_s = LINGER_MS / MS_PER_S
        self.dispatcher.reactor.callLater(wait_s, self._cut)

    def _cut(self) -> None:
        """Stop calls that linger."""
        for live in list(self._live.values()):
            if live.connection is not None:
                live.connection.cancel()
