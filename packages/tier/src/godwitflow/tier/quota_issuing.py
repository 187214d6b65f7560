"""Issues quotas to this node and its peers, where it is the issuer."""

import typing

from godwitflow.model import ids
from godwitflow.policy import customers
from godwitflow.policy import permits
from godwitflow.policy import quotas as policy
from godwitflow.tier import issuers as issuer_ranking
from godwitflow.tier import log as logs
from godwitflow.wire import messages

# A node that has just started knows few of its peers at first.
START_MS = 10_000.0
UNLISTED_START_MS = 700.0
LONE_START_MS = 300.0
# Shorter than peers take to declare this node dead and take over.
PAUSE_MS = 2_000.0
MAX_LOGGED = 10


class Members(issuer_ranking.Members, typing.Protocol):
    """What quotas need from the membership protocol."""

    def listed_count(self) -> int:
        """Return how many nodes the store listed; 0 if it is not known."""
        ...

    def started_together(self) -> bool:
        """Return whether all live nodes have started at about one time."""
        ...


class QuotaIssuing:
    """Decides on the tokens that nodes ask for."""

    def __init__(
        self,
        now_ms: typing.Callable[[], float],
        node: ids.NodeId,
        members: Members,
        issuers: issuer_ranking.Issuers,
        bounds: policy.QuotaBounds,
        log: logs.Log,
    ) -> None:
        self._now_ms = now_ms
        self._node = node
        self._members = members
        self._issuers = issuers
        self._log = log
        self._issuer = policy.QuotaIssuer(bounds)
        self._customers: dict[ids.CustomerName, customers.Customer] = {}
        self._primary_since_ms: dict[permits.Group, float] = {}
        self._standby_since_ms: dict[permits.Group, float] = {}
        self._started_at_ms = now_ms()
        self._settled_groups: set[permits.Group] = set()
        self._ticked_at_ms = now_ms()

    def apply_customers(
        self, limited: dict[ids.CustomerName, customers.Customer]
    ) -> None:
        """Apply the customers that have a quota."""
        previous, self._customers = self._customers, limited
        changed = {
            name: _quota_text(customer)
            for name, customer in limited.items()
            if name in previous and previous[name].quota != customer.quota
        }
        if changed:
            names = sorted(changed)[:MAX_LOGGED]
            self._log.event(
                "quotas_changed",
                count=len(changed),
                quotas={name: changed[name] for name in names},
            )

    def apply_bounds(self, bounds: policy.QuotaBounds) -> None:
        """Apply changed bounds."""
        self._issuer.bounds = bounds

    def tick(self) -> None:
        """Notice a pause, and the groups that this node issues for.

        Others have issued during a pause, so all buckets start anew.
        """
        now_ms = self._now_ms()
        paused = now_ms - self._ticked_at_ms > PAUSE_MS
        self._ticked_at_ms = now_ms
        if not self._customers:
            return
        if paused:
            self._issuer.forget_all()
            self._primary_since_ms.clear()
            self._standby_since_ms.clear()
            self._settled_groups.clear()
            self._log.event("quota_issuing_paused")
        for group in policy.all_groups():
            ranking = self._issuers.ranking(group)
            if ranking[:1] == [self._node]:
                self._on_primary(group, paused, now_ms)
            elif self._primary_since_ms.pop(group, None) is not None:
                self._settled_groups.discard(group)
                self._issuer.forget(group)

    def _on_primary(
        self, group: permits.Group, paused: bool, now_ms: float
    ) -> None:
        """Record since when this node is the issuer of a group.

        A node that has just started takes over from one that knows of it.
        """
        if group in self._primary_since_ms:
            return
        self._primary_since_ms[group] = now_ms
        if not paused and now_ms - self._started_at_ms < START_MS:
            self._settled_groups.add(group)

    def decide(
        self, node: ids.NodeId, want: messages.QuotaWant, role: permits.Role
    ) -> messages.QuotaAnswer:
        """Decide on one request.

        A node whose peers take it for the issuer by an outdated view
        denies without a time, or two nodes would issue the same quota.
        """
        customer = self._customers.get(want.customer)
        authority = self._authority(policy.group_of(want.customer), role)
        if customer is None or authority is None:
            return messages.QuotaAnswer(want.ticket, False, 0, 0.0)
        decision = self._issuer.decide(
            customer,
            authority,
            node,
            want.held,
            want.needed,
            self._now_ms(),
        )
        match decision:
            case policy.Grant(reserve):
                return messages.QuotaAnswer(want.ticket, True, reserve, 0.0)
            case policy.Denial(wait_ms):
                return messages.QuotaAnswer(
                    want.ticket, False, 0, round(wait_ms, 1)
                )

    def _authority(
        self, group: permits.Group, role: permits.Role
    ) -> policy.Authority | None:
        """Return what part of a quota this node may issue; None if none."""
        now_ms = self._now_ms()
        if now_ms - self._ticked_at_ms > PAUSE_MS:
            self.tick()
        if self._is_lone_start(now_ms):
            return None
        ranking = self._issuers.ranking(group)
        match role:
            case permits.Role.STANDBY if self._node in ranking[:2]:
                since_ms = self._standby_since_ms.setdefault(group, now_ms)
                return policy.Authority(
                    policy.Role.STANDBY, self._live_share(now_ms), since_ms
                )
            case permits.Role.PRIMARY if ranking[:1] == [self._node]:
                return self._primary_authority(group, now_ms)
            case _:
                return None

    def _primary_authority(
        self, group: permits.Group, now_ms: float
    ) -> policy.Authority:
        since_ms = self._primary_since_ms.setdefault(group, now_ms)
        settled = now_ms - since_ms >= policy.TAKEOVER_MS or (
            group in self._settled_groups and not self._is_unlisted(now_ms)
        )
        return policy.Authority(
            policy.Role.PRIMARY if settled else policy.Role.NEW_PRIMARY,
            self._live_share(now_ms),
            since_ms,
            policy.RESTART_PART
            if self._is_fleet_restart(now_ms)
            else policy.START_PART,
        )

    def _is_fleet_restart(self, now_ms: float) -> bool:
        """Return whether all nodes have just started, as far as is known."""
        return (
            now_ms - self._started_at_ms < START_MS
            and not self._is_unlisted(now_ms)
            and len(self._members.live_nodes()) > 1
            and self._members.started_together()
        )

    def _is_unlisted(self, now_ms: float) -> bool:
        """Return whether this node may not have heard of most peers yet."""
        uptime_ms = now_ms - self._started_at_ms
        return (
            uptime_ms < UNLISTED_START_MS and not self._members.listed_count()
        )

    def _is_lone_start(self, now_ms: float) -> bool:
        """Return whether this node has just started and knows no peer."""
        return (
            now_ms - self._started_at_ms < LONE_START_MS
            and len(self._members.live_nodes()) <= 1
        )

    def _live_share(self, now_ms: float) -> float:
        """Return the share of the fleet's nodes that are known to live.

        Soon after its start a node has not heard of all peers; the list in
        the store tells how many there are.
        """
        known = self._members.node_count()
        if now_ms - self._started_at_ms < START_MS:
            known = max(known, self._members.listed_count())
        live = max(1, len(self._members.live_nodes()))
        return min(1.0, live / max(1, known))


def _quota_text(customer: customers.Customer) -> str:
    quota = customer.quota
    return f"{quota.rate_per_s:g}/s + {quota.burst:g}" if quota else "none"
