"""The registry of upstreams, which register themselves in the store.

An upstream's entries are ordered by its start time and then by sequence
number, so that a delayed entry from before a restart never replaces a
newer one, and neither does an entry of a store that was restored from a
backup.
"""

import dataclasses
import enum

from godwitflow.model import ids
from godwitflow.store import objects


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
    revision: objects.Revision
    registration: Registration | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Removal:
    """A removal, as of the store's revision."""

    revision: objects.Revision
    at_ms: float


@dataclasses.dataclass(slots=True)
class _Row:
    """An entry, its removal, and until when it is not used."""

    entry: Entry
    removal: _Removal | None = None
    unused_until_ms: float | None = None


# Upstreams register again within 2 s of the store's return.
REMOVAL_GRACE_MS = 2_200.0
# The platform removes the entry of an upstream that no longer runs sooner.
RESTORED_ENTRY_DELAY_MS = 8_000.0
# Longer than a backup may be old when the store is restored from it.
REMOVAL_MEMORY_MS = 60_000.0


class Registry:
    """The current registrations, by upstream."""

    def __init__(self) -> None:
        self._rows: dict[ids.UpstreamId, _Row] = {}
        self._removed_rows: dict[ids.UpstreamId, _Row] = {}

    def put(self, entry: Entry, now_ms: float) -> bool:
        """Store an entry unless a newer revision is known.

        If the entry's registration is older than the known one, only the
        revision is updated. Returns False if nothing was stored.

        An entry that had been removed and came back with a restored store
        is not used for ``RESTORED_ENTRY_DELAY_MS``, unless the upstream has
        registered since: most likely it will be removed once more.
        """
        row = self._rows.get(entry.name)
        if row is not None and row.entry.revision >= entry.revision:
            return False
        new_row = _Row(entry)
        if row is not None:
            new_row.unused_until_ms = row.unused_until_ms
            _keep_later_report(new_row, row)
        removed_row = self._removed_rows.get(entry.name)
        if removed_row is not None:
            if _is_restored(entry, removed_row):
                _keep_later_report(new_row, removed_row)
                if new_row.unused_until_ms is None:
                    new_row.unused_until_ms = now_ms + RESTORED_ENTRY_DELAY_MS
            else:
                new_row.unused_until_ms = None
                del self._removed_rows[entry.name]
        self._rows[entry.name] = new_row
        return True

    def remove(
        self, name: ids.UpstreamId, revision: objects.Revision, now_ms: float
    ) -> None:
        """Remove an entry unless it was stored again.

        ``revision`` is the store's revision of the removal.
        """
        row = self._rows.get(name)
        if row is not None and row.entry.revision < revision:
            row.removal = _Removal(revision, now_ms)
            self._removed_rows[name] = self._rows.pop(name)
            self._forget_removed(now_ms)

    def remove_after_grace(
        self, name: ids.UpstreamId, revision: objects.Revision, now_ms: float
    ) -> None:
        """Mark an entry for removal unless it is stored again in time.

        Used for entries that were removed while the store was not
        reachable. They are kept for ``REMOVAL_GRACE_MS``, in which
        upstreams that are still running register again. ``expire``
        removes the others.
        """
        row = self._rows.get(name)
        if row is not None and row.entry.revision < revision:
            row.removal = _Removal(revision, now_ms)

    def expire(self, now_ms: float) -> bool:
        """Drop entries whose grace period is over; use restored ones again.

        Returns whether there were any.
        """
        expired = [
            name
            for name, row in self._rows.items()
            if row.removal is not None
            and now_ms >= row.removal.at_ms + REMOVAL_GRACE_MS
        ]
        for name in expired:
            self._removed_rows[name] = self._rows.pop(name)
        usable = [
            name
            for name, row in self._rows.items()
            if row.unused_until_ms is not None
            and now_ms >= row.unused_until_ms
        ]
        for name in usable:
            self._rows[name].unused_until_ms = None
            self._removed_rows.pop(name, None)
        self._forget_removed(now_ms)
        return bool(expired or usable)

    def _forget_removed(self, now_ms: float) -> None:
        self._removed_rows = {
            name: row
            for name, row in self._removed_rows.items()
            if name in self._rows
            or row.removal is None
            or now_ms < row.removal.at_ms + REMOVAL_MEMORY_MS
        }

    def next_expiry_in_ms(self, now_ms: float) -> float | None:
        """Return when ``expire`` will change something; None if never."""
        times_ms = [
            row.removal.at_ms + REMOVAL_GRACE_MS
            for row in self._rows.values()
            if row.removal is not None
        ]
        times_ms += [
            row.unused_until_ms
            for row in self._rows.values()
            if row.unused_until_ms is not None
        ]
        if not times_ms:
            return None
        return max(0.0, min(times_ms) - now_ms)

    def ready(self) -> list[Registration]:
        """Return the registrations of upstreams that accept calls."""
        return [
            row.entry.registration
            for row in self._rows.values()
            if row.entry.registration is not None
            and row.entry.registration.state is UpstreamState.READY
            and row.unused_until_ms is None
        ]


def _keep_later_report(row: _Row, known_row: _Row) -> None:
    """Keep the known registration if the upstream reported it later."""
    if _is_outdated(row.entry, known_row.entry):
        row.entry = dataclasses.replace(
            row.entry, registration=known_row.entry.registration
        )


def _is_restored(entry: Entry, removed_row: _Row) -> bool:
    """Return whether a removed entry came back with a restored store."""
    removal = removed_row.removal
    if removal is None or entry.revision.era <= removal.revision.era:
        return False
    return _is_outdated(entry, removed_row.entry)


def _is_outdated(entry: Entry, known: Entry) -> bool:
    """Return whether an upstream reported ``known`` later than ``entry``.

    In a later era of the store the same report counts as outdated, too.
    """
    if entry.registration is None or known.registration is None:
        return False
    incoming = _report_order(entry.registration)
    if entry.revision.era > known.revision.era:
        return incoming <= _report_order(known.registration)
    return incoming < _report_order(known.registration)


def _report_order(registration: Registration) -> tuple[int, int]:
    return registration.started_at_ms, registration.sequence
