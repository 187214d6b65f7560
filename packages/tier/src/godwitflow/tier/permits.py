"""Asks for permits for calls to upstreams with a rate limit.

Requests of one turn of the event loop that go to the same issuer share a
datagram. A request that is not answered in time counts as denied: its
caller is better served by another upstream, or without this part, than by
waiting. What nodes know of the limits travels with requests and replies.
"""

import dataclasses
import typing

from godwitflow.model import ids
from godwitflow.policy import permits as policy
from godwitflow.policy import rate_limits
from godwitflow.tier import issuers as issuer_ranking
from godwitflow.tier import limit_watch as limit_watching
from godwitflow.tier import log as logs
from godwitflow.tier import permit_issuing
from godwitflow.tier import services
from godwitflow.wire import messages

REPLY_TIMEOUT_MS = 60.0
UNANSWERED_WAIT_MS = 50.0
WANTS_PER_DATAGRAM = 16
MS_PER_S = 1_000.0

OnDecision = typing.Callable[[bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A request that awaits the issuer's reply."""

    upstream: services.Upstream
    urgent: bool
    on_decision: OnDecision
    issuer: ids.NodeId
    asked_at_ms: float


class Permits:
    """One node's requests for permits, and its answers to those of peers."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: typing.Callable[[], float],
        node: ids.NodeId,
        members: issuer_ranking.Members,
        find_upstream: permit_issuing.FindUpstream,
        limit_watch: limit_watching.LimitWatch,
        log: logs.Log,
    ) -> None:
        self._reactor = reactor
        self._now_ms = now_ms
        self._node = node
        self._members = members
        self._limit_watch = limit_watch
        self._issuers = issuer_ranking.Issuers(node, members, log)
        self._issuing = permit_issuing.PermitIssuing(
            now_ms, node, members, self._issuers, find_upstream, limit_watch
        )
        self._pending: dict[int, _Pending] = {}
        self._unsent: dict[
            tuple[ids.NodeId, policy.Role], list[messages.PermitWant]
        ] = {}
        self._last_ticket = 0

    # Asking -------------------------------------------------------------

    def on_members_changed(self) -> None:
        """Choose the issuers anew."""
        self._issuers.on_members_changed()

    def lines(self) -> list[str]:
        """Return the issuers asked so far as metrics, one line each."""
        return self._issuers.lines()

    def request(
        self,
        upstream: services.Upstream,
        urgent: bool,
        on_decision: OnDecision,
    ) -> None:
        """Ask for a permit for one call to a limited upstream.

        ``on_decision`` is called later, and once, with whether the call
        may be made.
        """
        now_ms = self._now_ms()
        issuer, role = self._issuers.choose(
            policy.group_of(upstream.registration.service), now_ms
        )
        self._last_ticket += 1
        self._pending[self._last_ticket] = _Pending(
            upstream, urgent, on_decision, issuer, now_ms
        )
        if not self._unsent:
            self._reactor.callLater(0, self._send_requests)
        self._unsent.setdefault((issuer, role), []).append(
            _want(self._last_ticket, upstream, urgent, now_ms)
        )

    def _send_requests(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for (issuer, role), wants in unsent.items():
            if issuer == self._node:
                for want in wants:
                    answer = self._issuing.decide(want, role)
                    self._on_answer(answer, issuer)
                continue
            self._send_to_issuer(issuer, role, wants)

    def _send_to_issuer(
        self,
        issuer: ids.NodeId,
        role: policy.Role,
        wants: list[messages.PermitWant],
    ) -> None:
        standby = role is policy.Role.STANDBY
        for start in range(0, len(wants), WANTS_PER_DATAGRAM):
            chunk = tuple(wants[start : start + WANTS_PER_DATAGRAM])
            self._members.send_to(
                [issuer], messages.PermitRequest(standby, chunk)
            )
        self._reactor.callLater(
            REPLY_TIMEOUT_MS / MS_PER_S,
            self._on_timeout,
            issuer,
            [want.ticket for want in wants],
        )

    def _on_timeout(self, issuer: ids.NodeId, tickets: list[int]) -> None:
        unanswered = [
            pending
            for ticket in tickets
            if (pending := self._pending.pop(ticket, None)) is not None
        ]
        if not unanswered:
            return
        now_ms = self._now_ms()
        self._issuers.on_timeout(issuer, now_ms)
        for pending in unanswered:
            self._deny(pending, UNANSWERED_WAIT_MS, "unanswered", now_ms)

    def on_reply(
        self, sender: ids.NodeId, message: messages.PermitReply
    ) -> None:
        """Process the answers of an issuer."""
        self._issuers.on_reply(sender)
        for answer in message.answers:
            self._on_answer(answer, sender)

    def _on_answer(
        self, answer: messages.PermitAnswer, issuer: ids.NodeId
    ) -> None:
        """Process an answer; an unexpected one is ignored.

        After a pause of this node, an answer may be read late but before
        the timeout is noticed. Its permit has expired.
        """
        pending = self._pending.get(answer.ticket)
        if pending is None or pending.issuer != issuer:
            return
        del self._pending[answer.ticket]
        now_ms = self._now_ms()
        if now_ms - pending.asked_at_ms > REPLY_TIMEOUT_MS:
            self._deny(pending, UNANSWERED_WAIT_MS, "expired", now_ms)
            return
        if answer.age_ms is not None:
            news = rate_limits.LimitNews(
                answer.calls_per_s, now_ms - answer.age_ms, issuer
            )
            self._limit_watch.apply(pending.upstream, news, now_ms)
        if answer.issued:
            pending.on_decision(True)
        else:
            self._deny(pending, answer.wait_ms, "denied", now_ms)

    def _deny(
        self, pending: _Pending, wait_ms: float, reason: str, now_ms: float
    ) -> None:
        pending.upstream.on_denied(pending.urgent, now_ms + wait_ms)
        self._limit_watch.on_turned_away(pending.upstream, reason)
        pending.on_decision(False)

    # Issuing ------------------------------------------------------------

    def on_request(
        self, sender: ids.NodeId, message: messages.PermitRequest
    ) -> None:
        """Decide on the permits that a peer asks for, and reply."""
        reply = self._issuing.answer(sender, message)
        self._members.send_to([sender], reply)


def _want(
    ticket: int, upstream: services.Upstream, urgent: bool, now_ms: float
) -> messages.PermitWant:
    news = upstream.limit.news
    cold_limit = upstream.cold_limit(now_ms)
    age_ms = 0.0 if news is None else round(now_ms - news.heard_at_ms, 1)
    return messages.PermitWant(
        ticket,
        upstream.name,
        upstream.registration.started_at_ms,
        urgent,
        upstream.calls_per_s(now_ms) or rate_limits.MIN_CALLS_PER_S,
        age_ms,
        cold_limit is not None,
    )
