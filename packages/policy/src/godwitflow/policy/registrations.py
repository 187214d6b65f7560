"""The registry of upstreams, which register themselves in the store.

An upstream's entries are ordered by its start time and then by sequence
number, so that a delayed entry from before a restart never replaces a
newer one.
"""

import dataclasses
import enum

from godwitflow.model import ids


class UpstreamState(enum.Enum):
    """The state that an upstream reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """An upstream's entry; ``started_at_ms`` is Unix time by its own clock."""

    upstream: ids.UpstreamId
    service: ids.ServiceName
    address: str
    failure_domain: ids.FailureDomain
    slots: int
    state: UpstreamState
    cold_left_ms: float
    sequence: int
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A stored entry; ``registration`` is None if it cannot be decoded.

    ``revision`` is the store's revision of the entry.
    """

    name: ids.UpstreamId
    revision: int
    registration: Registration | None


@dataclasses.dataclass(slots=True)
class _Row:
    entry: Entry
    removed_at_ms: float | None = None


# Upstreams register again within 2 s of the store's return.
REMOVAL_GRACE_MS = 2_200.0


class Registry:
    """The current registrations, by upstream."""

    def __init__(self) -> None:
        self._rows: dict[ids.UpstreamId, _Row] = {}

    def put(self, entry: Entry) -> bool:
        """Store an entry unless a newer revision is known.

        If the entry's registration is older than the known one, only the
        revision is updated. Returns False if nothing was stored.
        """
        row = self._rows.get(entry.name)
        if row is not None and row.entry.revision >= entry.revision:
            return False
        self._rows[entry.name] = _Row(entry)
        known = row.entry.registration if row is not None else None
        if known is not None and _is_older(entry.registration, known):
            self._rows[entry.name] = _Row(
                dataclasses.replace(entry, registration=known)
            )
        return True

    def remove(self, name: ids.UpstreamId, revision: int) -> None:
        """Remove an entry unless it was stored again.

        ``revision`` is the store's revision of the removal.
        """
        row = self._rows.get(name)
        if row is not None and row.entry.revision < revision:
            del self._rows[name]

    def remove_after_grace(
        self, name: ids.UpstreamId, revision: int, now_ms: float
    ) -> None:
        """Mark an entry for removal unless it is stored again in time.

        Used for entries that were removed while the store was not
        reachable. They are kept for ``REMOVAL_GRACE_MS``, in which
        upstreams that are still running register again. ``expire``
        removes the others.
        """
        row = self._rows.get(name)
        if row is not None and row.entry.revision < revision:
            row.removed_at_ms = now_ms

    def expire(self, now_ms: float) -> bool:
        """Drop entries whose grace period is over; True if there were any."""
        expired = [
            name
            for name, row in self._rows.items()
            if row.removed_at_ms is not None
            and now_ms - row.removed_at_ms > REMOVAL_GRACE_MS
        ]
        for name in expired:
            del self._rows[name]
        return bool(expired)

    def ready(self) -> list[Registration]:
        """Return the registrations of upstreams that accept calls."""
        return [
            row.entry.registration
            for row in self._rows.values()
            if row.entry.registration is not None
            and row.entry.registration.state is UpstreamState.READY
        ]


def _is_older(registration: Registration | None, known: Registration) -> bool:
    if registration is None:
        return False
    incoming = (registration.started_at_ms, registration.sequence)
    return incoming < (known.started_at_ms, known.sequence)
