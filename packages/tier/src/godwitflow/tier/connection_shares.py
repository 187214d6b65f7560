"""Applies this node's share of the connections that upstreams take."""

import typing

from godwitflow.model import ids
from godwitflow.policy import connection_shares
from godwitflow.policy import ownership
from godwitflow.tier import services


class ConnectionShares:
    """Limits the connections of each service's upstreams.

    Where a service's upstreams take fewer connections than there are
    nodes, this node is assigned some of them. That is worked out when the
    service is used, because a change of the members concerns all services.
    """

    def __init__(self, node: ids.NodeId) -> None:
        self._node = node
        self._members: tuple[ownership.Candidate, ...] = ()
        self._recent_start = False

    @property
    def node_count(self) -> int:
        """The number of nodes that share caps and budgets."""
        return max(1, len(self._members))

    def apply_members(
        self, members: typing.Iterable[ownership.Candidate]
    ) -> bool:
        """Set the nodes that share the connections; False if unchanged."""
        ordered = tuple(sorted(members, key=lambda member: member.node))
        if ordered == self._members:
            return False
        self._members = ordered
        return True

    def apply_recent_start(self, recent: bool) -> None:
        """Halve the limits while ``recent`` is set."""
        self._recent_start = recent

    def limit(self, service: services.Service) -> int:
        """Return how many connections to an upstream may be open."""
        return connection_shares.connection_limit(
            service.connection_cap, self.node_count, self._recent_start
        )

    def update(self, service: services.Service) -> None:
        """Apply changed members, upstreams or caps to a service."""
        limit = self.limit(service)
        for upstream in service.upstreams:
            upstream.pool.max_connections = limit
        service.assignment_due = self.node_count > service.connection_cap
        if not service.assignment_due:
            for upstream in service.upstreams:
                upstream.set_assigned(True)

    def assign_if_due(self, service: services.Service) -> None:
        """Work out which upstreams of a service this node is assigned."""
        if not service.assignment_due:
            return
        service.assignment_due = False
        assigned = connection_shares.assign(
            service.name,
            self._node,
            self._members,
            [upstream.replica for upstream in service.upstreams],
            service.connection_cap,
        )
        for upstream in service.upstreams:
            upstream.set_assigned(upstream.name in assigned)
