"""Which nodes issue permits, as far as this node knows."""

import typing

from godwitflow.model import ids
from godwitflow.policy import permits as policy
from godwitflow.tier import log as logs
from godwitflow.tier import metrics
from godwitflow.wire import messages

SILENT_AFTER_TIMEOUTS = 2
SILENT_MS = 1_000.0


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


class Issuers:
    """Ranks the issuers of each group, and notices which are silent."""

    def __init__(
        self, node: ids.NodeId, members: Members, log: logs.Log
    ) -> None:
        self._node = node
        self._members = members
        self._log = log
        self._rankings: dict[policy.Group, list[ids.NodeId]] = {}
        self._issuers: dict[policy.Group, ids.NodeId] = {}
        self._timeouts: dict[ids.NodeId, int] = {}
        self._silent_until_ms: dict[ids.NodeId, float] = {}

    def on_members_changed(self) -> None:
        """Choose the issuers anew."""
        self._rankings.clear()

    def choose(
        self, group: policy.Group, now_ms: float
    ) -> tuple[ids.NodeId, policy.Role]:
        """Return the node to ask for permits of a group, and as what."""
        ranking = self.ranking(group)
        if not ranking:
            return self._node, policy.Role.STANDBY
        silent_until_ms = self._silent_until_ms.get(ranking[0], 0.0)
        if now_ms < silent_until_ms and len(ranking) > 1:
            return ranking[1], policy.Role.STANDBY
        return ranking[0], policy.Role.PRIMARY

    def ranking(self, group: policy.Group) -> list[ids.NodeId]:
        """Return the live members as issuers of a group, the first first."""
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

    def on_timeout(self, issuer: ids.NodeId, now_ms: float) -> None:
        """Count a request without an answer; two make an issuer silent."""
        timeouts = self._timeouts.get(issuer, 0) + 1
        self._timeouts[issuer] = timeouts
        if timeouts >= SILENT_AFTER_TIMEOUTS:
            self._timeouts[issuer] = 0
            self._silent_until_ms[issuer] = now_ms + SILENT_MS
            self._log.limited_event(
                "issuer_silent", issuer=issuer, for_ms=SILENT_MS
            )

    def on_reply(self, issuer: ids.NodeId) -> None:
        """Record that a node answers."""
        self._timeouts.pop(issuer, None)
        self._silent_until_ms.pop(issuer, None)
