"""Asks for and issues permits for calls to upstreams with a rate limit.

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
from godwitflow.tier import limit_watch as limit_watching
from godwitflow.tier import log as logs
from godwitflow.tier import metrics
from godwitflow.tier import services
from godwitflow.wire import messages

REPLY_TIMEOUT_MS = 60.0
UNANSWERED_WAIT_MS = 50.0
SILENT_AFTER_TIMEOUTS = 2
SILENT_MS = 1_000.0
WANTS_PER_DATAGRAM = 16
MS_PER_S = 1_000.0

OnDecision = typing.Callable[[bool], None]
FindUpstream = typing.Callable[[ids.UpstreamId, int], services.Upstream | None]


class Members(typing.Protocol):
    """What permits need from the membership protocol."""

    def live_nodes(self) -> list[ids.NodeId]:
        """Return the nodes that are alive, this one included."""
        ...

    def node_count(self) -> int:
        """Return the number of known nodes, including dead ones."""
        ...

    def send_to(
        self, nodes: typing.Iterable[ids.NodeId], message: messages.Message
    ) -> None:
        """Send a message to some members."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A request that awaits the issuer's reply."""

    upstream: services.Upstream
    urgent: bool
    on_decision: OnDecision
    issuer: ids.NodeId
    asked_at_ms: float


class Permits:
    """One node's requests for permits, and its part as an issuer."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: typing.Callable[[], float],
        node: ids.NodeId,
        members: Members,
        find_upstream: FindUpstream,
        limit_watch: limit_watching.LimitWatch,
        log: logs.Log,
    ) -> None:
        self._reactor = reactor
        self._now_ms = now_ms
        self._node = node
        self._members = members
        self._find_upstream = find_upstream
        self._limit_watch = limit_watch
        self._log = log
        self._issuer = policy.PermitIssuer()
        self._pending: dict[int, _Pending] = {}
        self._unsent: dict[
            tuple[ids.NodeId, policy.Role], list[messages.PermitWant]
        ] = {}
        self._last_ticket = 0
        self._rankings: dict[policy.Group, list[ids.NodeId]] = {}
        self._issuers: dict[policy.Group, ids.NodeId] = {}
        self._timeouts: dict[ids.NodeId, int] = {}
        self._silent_until_ms: dict[ids.NodeId, float] = {}

    # Asking -------------------------------------------------------------

    def on_members_changed(self) -> None:
        """Choose the issuers anew."""
        self._rankings.clear()

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
        issuer, role = self._choose_issuer(
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

    def _choose_issuer(
        self, group: policy.Group, now_ms: float
    ) -> tuple[ids.NodeId, policy.Role]:
        ranking = self._ranking(group)
        if not ranking:
            return self._node, policy.Role.STANDBY
        silent_until_ms = self._silent_until_ms.get(ranking[0], 0.0)
        if now_ms < silent_until_ms and len(ranking) > 1:
            return ranking[1], policy.Role.STANDBY
        return ranking[0], policy.Role.PRIMARY

    def _ranking(self, group: policy.Group) -> list[ids.NodeId]:
        ranking = self._rankings.get(group)
        if ranking is None:
            ranking = policy.rank_issuers(self._members.live_nodes(), group)
            self._rankings[group] = ranking
            self._log_issuer(group, ranking)
        return ranking

    def _log_issuer(
        self, group: policy.Group, ranking: list[ids.NodeId]
    ) -> None:
        issuer = ranking[0] if ranking else None
        previous = self._issuers.get(group)
        if issuer is None or issuer == previous:
            return
        self._issuers[group] = issuer
        self._log.limited_event(
            "issuer", group=group, issuer=issuer, previous=previous
        )

    def lines(self) -> list[str]:
        """Return the issuers asked so far as metrics, one line each."""
        return [
            metrics.gauge_line(
                "permit_issuer", 1.0, group=str(group), issuer=issuer
            )
            for group, issuer in sorted(self._issuers.items())
        ]

    def _send_requests(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for (issuer, role), wants in unsent.items():
            if issuer == self._node:
                for want in wants:
                    self._on_answer(self._decide(want, role), issuer)
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
        self._count_timeout(issuer, now_ms)
        for pending in unanswered:
            self._deny(pending, UNANSWERED_WAIT_MS, "unanswered", now_ms)

    def _count_timeout(self, issuer: ids.NodeId, now_ms: float) -> None:
        timeouts = self._timeouts.get(issuer, 0) + 1
        self._timeouts[issuer] = timeouts
        if timeouts >= SILENT_AFTER_TIMEOUTS:
            self._timeouts[issuer] = 0
            self._silent_until_ms[issuer] = now_ms + SILENT_MS
            self._log.limited_event(
                "issuer_silent", issuer=issuer, for_ms=SILENT_MS
            )

    def on_reply(
        self, sender: ids.NodeId, message: messages.PermitReply
    ) -> None:
        """Process the answers of an issuer."""
        self._timeouts.pop(sender, None)
        self._silent_until_ms.pop(sender, None)
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
        role = policy.Role.STANDBY if message.standby else policy.Role.PRIMARY
        self._apply_wants(sender, message.wants)
        answers = tuple(self._decide(want, role) for want in message.wants)
        self._members.send_to([sender], messages.PermitReply(answers))

    def _apply_wants(
        self, sender: ids.NodeId, wants: typing.Iterable[messages.PermitWant]
    ) -> None:
        """Learn the limits that the sender knows."""
        now_ms = self._now_ms()
        for want in wants:
            upstream = self._find_upstream(want.upstream, want.started_at_ms)
            if upstream is not None and want.calls_per_s > 0.0:
                news = rate_limits.LimitNews(
                    want.calls_per_s, now_ms - want.age_ms, sender
                )
                self._limit_watch.apply(upstream, news, now_ms)

    def _decide(
        self, want: messages.PermitWant, role: policy.Role
    ) -> messages.PermitAnswer:
        """Decide on one permit.

        A node whose peers take it for the issuer by an outdated view
        denies, or two nodes would issue the same limit.
        """
        now_ms = self._now_ms()
        calls_per_s: float | None = max(
            rate_limits.MIN_CALLS_PER_S, want.calls_per_s
        )
        age_ms = None
        upstream = self._find_upstream(want.upstream, want.started_at_ms)
        if upstream is not None and upstream.limit.news is not None:
            calls_per_s = upstream.limit.calls_per_s
            age_ms = now_ms - upstream.limit.news.heard_at_ms
        if calls_per_s is None:
            return messages.PermitAnswer(want.ticket, True, 0.0, None, age_ms)
        if upstream is not None and not self._issues_for(upstream, role):
            return messages.PermitAnswer(
                want.ticket, False, policy.MIN_WAIT_MS, calls_per_s, age_ms
            )
        decision = self._issuer.decide(
            policy.Instance(want.upstream, want.started_at_ms),
            calls_per_s,
            role,
            self._live_share(),
            want.urgent,
            now_ms,
        )
        match decision:
            case policy.Issued():
                issued, wait_ms = True, 0.0
            case policy.Denied(wait_ms):
                issued = False
        return messages.PermitAnswer(
            want.ticket, issued, round(wait_ms, 1), calls_per_s, age_ms
        )

    def _issues_for(
        self, upstream: services.Upstream, role: policy.Role
    ) -> bool:
        ranking = self._ranking(policy.group_of(upstream.registration.service))
        match role:
            case policy.Role.PRIMARY:
                return ranking[:1] == [self._node]
            case policy.Role.STANDBY:
                return not ranking or self._node in ranking[:2]

    def _live_share(self) -> float:
        live = max(1, len(self._members.live_nodes()))
        return min(1.0, live / max(1, self._members.node_count()))


def _want(
    ticket: int, upstream: services.Upstream, urgent: bool, now_ms: float
) -> messages.PermitWant:
    news = upstream.limit.news
    age_ms = 0.0 if news is None else round(now_ms - news.heard_at_ms, 1)
    return messages.PermitWant(
        ticket,
        upstream.name,
        upstream.registration.started_at_ms,
        urgent,
        upstream.limit.calls_per_s or rate_limits.MIN_CALLS_PER_S,
        age_ms,
    )
