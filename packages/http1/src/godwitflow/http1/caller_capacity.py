"""Bounds the memory and the descriptors that callers take in one process.

Callers may send many large requests at once and never finish them. When
the requests that are being received take too much, the oldest incomplete
ones are refused; when there are too many connections, those with the least
to lose are closed. Small requests are never refused for what others send.
"""

import dataclasses
import enum
import typing

SMALL_REQUEST_BYTES = 4_096
REQUEST_OVERHEAD_BYTES = 600  # objects that hold one request
EVICTED_SHARE = 0.05  # of the connections, so that a search serves several


class EvictionOrder(enum.IntEnum):
    """What a connection is doing, in the order in which it is evicted.

    ``UNREAD`` has an answer that its caller has left unread for long.
    ``ANSWERING`` has one on its way, and is evicted only if there is no
    other: its request has been run.
    """

    UNREAD = 0
    CLOSING = 1
    READING = 2
    IDLE = 3
    ANSWERING = 4


_LAST_RESORT = EvictionOrder.ANSWERING


class EvictionRank(typing.NamedTuple):
    """Where a connection stands among those that may be evicted.

    At the same order, the one that is there for longest comes first.
    """

    order: EvictionOrder
    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityLimits:
    """What the requests and connections of all callers may take.

    ``request_bytes`` bounds the headers and bodies of requests that are
    received, queued or handled. ``incomplete_requests`` bounds how many
    requests that are not small are received at the same time: reading many
    at once delays the requests of all others.
    """

    request_bytes: int = 67_108_864
    incomplete_requests: int = 256
    connections: int = 2_925


class Connection(typing.Protocol):
    """A caller's connection, as far as capacity is concerned."""

    held_bytes: int

    def refuse_incomplete(self) -> None:
        """Drop the request that is being received and refuse it."""
        ...

    def eviction_rank(self) -> EvictionRank | None:
        """Return the order in which to close it, None while it serves."""
        ...

    def evict(self) -> None:
        """Close the connection at once."""
        ...


class CallerCapacity:
    """Counts what callers' connections hold, and makes room.

    ``refused_count`` and ``evicted_count`` count the requests and the
    connections that were ended to make room.
    """

    def __init__(self, limits: CapacityLimits | None = None) -> None:
        self.limits = limits or CapacityLimits()
        self.held_bytes = 0
        self.refused_count = 0
        self.evicted_count = 0
        self._making_room = False
        self._connections: set[Connection] = set()
        # Incomplete requests that are not small, the oldest first.
        self._receiving: dict[Connection, None] = {}

    def add(self, connection: Connection) -> None:
        """Count a new connection, and close others if there are too many."""
        self._connections.add(connection)
        if len(self._connections) > self.limits.connections:
            self._evict()

    def remove(self, connection: Connection) -> None:
        """Discount a connection that has ended."""
        self._connections.discard(connection)
        self.hold(connection, 0)
        self._receiving.pop(connection, None)

    def hold(self, connection: Connection, count: int) -> None:
        """Record that a connection's requests take ``count`` bytes."""
        self.held_bytes += count - connection.held_bytes
        connection.held_bytes = count

    def on_received(self, connection: Connection, incomplete: bool) -> None:
        """Make room after a connection has received a part of a request.

        ``incomplete`` is whether more of the request is to come.
        """
        if not incomplete or connection.held_bytes <= SMALL_REQUEST_BYTES:
            self._receiving.pop(connection, None)
        else:
            self._receiving.setdefault(connection)
        if self._making_room:
            return  # a refused request that frees its bytes ends up here
        self._making_room = True
        try:
            while self._receiving and self._is_full():
                self._refuse(next(iter(self._receiving)))
        finally:
            self._making_room = False

    def _is_full(self) -> bool:
        return (
            self.held_bytes > self.limits.request_bytes
            or len(self._receiving) > self.limits.incomplete_requests
        )

    def has_room(self, connection: Connection) -> bool:
        """Return whether a request that is complete may be handled."""
        return (
            connection.held_bytes <= SMALL_REQUEST_BYTES
            or self.held_bytes <= self.limits.request_bytes
        )

    def _refuse(self, connection: Connection) -> None:
        del self._receiving[connection]
        self.refused_count += 1
        connection.refuse_incomplete()

    def _evict(self) -> None:
        ranked = sorted(
            (rank, index, connection)
            for index, connection in enumerate(self._connections)
            if (rank := connection.eviction_rank()) is not None
        )
        spare = [row for row in ranked if row[0].order < _LAST_RESORT]
        count = max(1, int(self.limits.connections * EVICTED_SHARE))
        for _, _, connection in spare[:count] or ranked[:1]:
            self.evicted_count += 1
            connection.evict()
