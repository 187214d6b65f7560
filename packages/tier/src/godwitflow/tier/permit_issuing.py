"""Issues permits to this node and its peers, where it is the issuer."""

import typing

from godwitflow.model import ids
from godwitflow.policy import permits as policy
from godwitflow.policy import rate_limits
from godwitflow.tier import issuers as issuer_ranking
from godwitflow.tier import limit_watch as limit_watching
from godwitflow.tier import services
from godwitflow.wire import messages

FindUpstream = typing.Callable[[ids.UpstreamId, int], services.Upstream | None]


class PermitIssuing:
    """Decides on the permits that nodes ask for."""

    def __init__(
        self,
        now_ms: typing.Callable[[], float],
        node: ids.NodeId,
        members: issuer_ranking.Members,
        issuers: issuer_ranking.Issuers,
        find_upstream: FindUpstream,
        limit_watch: limit_watching.LimitWatch,
    ) -> None:
        self._now_ms = now_ms
        self._node = node
        self._members = members
        self._issuers = issuers
        self._find_upstream = find_upstream
        self._limit_watch = limit_watch
        self._issuer = policy.PermitIssuer()

    def answer(
        self, sender: ids.NodeId, message: messages.PermitRequest
    ) -> messages.PermitReply:
        """Decide on the permits that a peer asks for."""
        role = policy.Role.STANDBY if message.standby else policy.Role.PRIMARY
        self._apply_wants(sender, message.wants)
        return messages.PermitReply(
            tuple(self.decide(want, role) for want in message.wants)
        )

    def _apply_wants(
        self, sender: ids.NodeId, wants: typing.Iterable[messages.PermitWant]
    ) -> None:
        """Learn the limits that the sender knows."""
        now_ms = self._now_ms()
        for want in wants:
            if want.cold:
                continue
            upstream = self._find_upstream(want.upstream, want.started_at_ms)
            if upstream is not None and want.calls_per_s > 0.0:
                news = rate_limits.LimitNews(
                    want.calls_per_s, now_ms - want.age_ms, sender
                )
                self._limit_watch.apply(upstream, news, now_ms)

    def decide(
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
        stated_per_s = None
        upstream = self._find_upstream(want.upstream, want.started_at_ms)
        if upstream is not None and upstream.limit.news is not None:
            calls_per_s = upstream.calls_per_s(now_ms)
            stated_per_s = upstream.limit.calls_per_s
            age_ms = now_ms - upstream.limit.news.heard_at_ms
        if calls_per_s is None:
            return messages.PermitAnswer(want.ticket, True, 0.0, None, age_ms)
        if upstream is not None and not self._issues_for(upstream, role):
            return messages.PermitAnswer(
                want.ticket, False, policy.MIN_WAIT_MS, stated_per_s, age_ms
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
            want.ticket, issued, round(wait_ms, 1), stated_per_s, age_ms
        )

    def _issues_for(
        self, upstream: services.Upstream, role: policy.Role
    ) -> bool:
        ranking = self._issuers.ranking(
            policy.group_of(upstream.registration.service)
        )
        match role:
            case policy.Role.PRIMARY:
                return ranking[:1] == [self._node]
            case policy.Role.STANDBY:
                return not ranking or self._node in ranking[:2]

    def _live_share(self) -> float:
        live = max(1, len(self._members.live_nodes()))
        return min(1.0, live / max(1, self._members.node_count()))
