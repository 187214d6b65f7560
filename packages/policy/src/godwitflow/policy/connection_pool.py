"""The connections to one upstream, and which of them have gone silent."""

import dataclasses
import itertools


@dataclasses.dataclass(slots=True)
class Connection:
    """One open connection; ``proven_at_ms`` is its last sign of life."""

    id: int
    opened_at_ms: float
    proven_at_ms: float
    busy: bool = False
    doubtful: bool = False


class ConnectionPoolState:
    """Hands out connections, the one proven last first, up to a cap."""

    def __init__(self, cap: int) -> None:
        self.cap = cap
        self.open: dict[int, Connection] = {}
        self.opened_count = 0
        self.unresponsive_count = 0
        self._ids = itertools.count(1)

    def acquire(self, now_ms: float) -> Connection | None:
        """Return a connection to use, new if need be; None at the cap."""
        idle = [
            item
            for item in self.open.values()
            if not item.busy and not item.doubtful
        ]
        if idle:
            chosen = max(idle, key=_proven)
        elif len(self.open) < self.cap:
            chosen = Connection(next(self._ids), now_ms, now_ms)
            self.open[chosen.id] = chosen
            self.opened_count += 1
        else:
            return None
        chosen.busy = True
        return chosen

    def release(self, now_ms: float, connection: Connection) -> None:
        """Return a connection on which a whole reply has come."""
        connection.busy = False
        connection.doubtful = False
        connection.proven_at_ms = now_ms

    def close(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.open.pop(connection.id, None)

    def on_unresponsive(
        self, connection: Connection, since_ms: float
    ) -> list[Connection]:
        """Forget a silent connection; return the siblings to probe.

        Idle siblings not proven since the silent call was sent may have
        been cut by the same cause; none is used before its probe.
        """
        self.close(connection)
        self.unresponsive_count += 1
        doubtful = [
            item
            for item in self.open.values()
            if not item.busy and item.proven_at_ms < since_ms
        ]
        for item in doubtful:
            item.doubtful = True
        return doubtful


def _proven(connection: Connection) -> float:
    return connection.proven_at_ms
