"""The connections to one upstream and the state of each."""

import dataclasses
import itertools


@dataclasses.dataclass(slots=True)
class Connection:
    """One open connection.

    ``last_active_ms`` is when it was opened or last carried a complete
    reply. An ``unverified`` connection may be dead and must be probed
    before it is used.
    """

    id: int
    opened_at_ms: float
    last_active_ms: float
    busy: bool = False
    unverified: bool = False


class ConnectionPoolState:
    """Tracks the open connections to one upstream, at most ``cap``.

    The most recently active connection is reused first.
    """

    def __init__(self, cap: int) -> None:
        self.cap = cap
        self.open: dict[int, Connection] = {}
        self.opened_count = 0
        self.unresponsive_count = 0
        self._ids = itertools.count(1)

    def acquire(self, now_ms: float) -> Connection | None:
        """Return an idle or a new connection, or None at the cap.

        The transport opens a new connection when it is first used.
        """
        idle = [
            item
            for item in self.open.values()
            if not item.busy and not item.unverified
        ]
        if idle:
            chosen = max(idle, key=_last_active_ms)
        elif len(self.open) < self.cap:
            chosen = Connection(next(self._ids), now_ms, now_ms)
            self.open[chosen.id] = chosen
            self.opened_count += 1
        else:
            return None
        chosen.busy = True
        return chosen

    def release(self, now_ms: float, connection: Connection) -> None:
        """Make a connection available again after a complete reply."""
        connection.busy = False
        connection.unverified = False
        connection.last_active_ms = now_ms

    def close(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self.open.pop(connection.id, None)

    def on_unresponsive(
        self, connection: Connection, sent_at_ms: float
    ) -> list[Connection]:
        """Remove an unresponsive connection; return the ones to probe.

        ``sent_at_ms`` is when the unanswered call was sent. The same fault
        may have cut the idle connections that have not been active since
        then. None of them is used until its probe succeeds.
        """
        self.close(connection)
        self.unresponsive_count += 1
        unverified = [
            item
            for item in self.open.values()
            if not item.busy and item.last_active_ms < sent_at_ms
        ]
        for item in unverified:
            item.unverified = True
        return unverified


def _last_active_ms(connection: Connection) -> float:
    return connection.last_active_ms
