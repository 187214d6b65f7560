"""Upstreams as they register themselves in the store.

An upstream's entries are ordered by its start and its sequence, so that
a late one of an earlier life never replaces a later one.
"""

import dataclasses
import enum

from godwitflow.model import ids


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """An upstream's entry; ``started_at_ms`` is its own Unix time."""

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
    """A stored entry; ``registration`` is None where it names nothing.

    ``revision`` is the store's; a removed entry has its removal's.
    """

    name: ids.UpstreamId
    revision: int
    registration: Registration | None


@dataclasses.dataclass(slots=True)
class _Row:
    entry: Entry
    lapsed_at_ms: float | None = None


REMOVAL_GRACE_MS = 2_200.0  # entries are back 2 s after the store is


class Registry:
    """The registrations in force, by upstream and by service."""

    def __init__(self) -> None:
        self._rows: dict[ids.UpstreamId, _Row] = {}

    def put(self, entry: Entry) -> bool:
        """Take an entry unless a newer one is known; True on change."""
        row = self._rows.get(entry.name)
        if row is not None and row.entry.revision >= entry.revision:
            return False
        self._rows[entry.name] = _Row(entry)
        known = row.entry.registration if row is not None else None
        if known is not None and _older(entry.registration, known):
            self._rows[entry.name] = _Row(
                dataclasses.replace(entry, registration=known)
            )
        return True

    def remove(self, name: ids.UpstreamId, revision: int) -> None:
        """Remove an entry that the store says is gone."""
        row = self._rows.get(name)
        if row is not None and row.entry.revision < revision:
            del self._rows[name]

    def remove_after_grace(
        self, name: ids.UpstreamId, revision: int, now_ms: float
    ) -> None:
        """Mark an entry that was removed while the store was away.

        It is kept for the grace in which such entries come back.
        """
        row = self._rows.get(name)
        if row is not None and row.entry.revision < revision:
            row.lapsed_at_ms = now_ms

    def expire(self, now_ms: float) -> bool:
        """Drop entries that did not come back; True where any did not."""
        gone = [
            name
            for name, row in self._rows.items()
            if row.lapsed_at_ms is not None
            and now_ms - row.lapsed_at_ms > REMOVAL_GRACE_MS
        ]
        for name in gone:
            del self._rows[name]
        return bool(gone)

    def ready(self) -> list[Registration]:
        """Return the registrations that may be given work."""
        return [
            row.entry.registration
            for row in self._rows.values()
            if row.entry.registration is not None
            and row.entry.registration.state is UpstreamState.READY
        ]


def _older(registration: Registration | None, known: Registration) -> bool:
    if registration is None:
        return False
    fresh = (registration.started_at_ms, registration.sequence)
    return fresh < (known.started_at_ms, known.sequence)
