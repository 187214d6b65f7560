"""A node's copy of one kind of the store's objects.

The copy goes forward only: everything that it takes carries the store's
revision. It keeps the latest changes, so that a peer that is a little
behind can be brought up to date with those alone.
"""

import collections
import dataclasses

from godwitflow.store import objects

CHANGES_KEPT = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Changes of a kind from after one revision up to another.

    Where ``whole`` is set, ``changes`` holds every object that exists.
    """

    kind: str
    after: int
    revision: int
    full: bool
    changes: tuple[objects.Change, ...]


class StoreCopy:
    """Objects of one kind, up to ``revision``; 0 before the first list."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.revision = 0
        self.objects: dict[str, objects.Object] = {}
        self._log: collections.deque[objects.Change] = collections.deque(
            maxlen=CHANGES_KEPT
        )
        self._log_after = 0

    def apply(self, delta: Delta) -> list[objects.Change]:
        """Take a delta; return the changes that are new.

        A delta that starts after what is held leaves a gap and is not
        taken; the caller then asks for one that starts earlier.
        """
        if delta.revision <= self.revision:
            return []
        if delta.full:
            return self._replace(delta)
        if delta.after > self.revision:
            return []
        fresh = [
            change
            for change in delta.changes
            if change.object.revision > self.revision
        ]
        for change in fresh:
            self._apply(change)
        self.revision = delta.revision
        return fresh

    def _apply(self, change: objects.Change) -> None:
        if change.removed:
            self.objects.pop(change.object.name, None)
        else:
            self.objects[change.object.name] = change.object
        if len(self._log) == CHANGES_KEPT:
            self._log_after = self._log[0].object.revision
        self._log.append(change)

    def _replace(self, delta: Delta) -> list[objects.Change]:
        """Take a whole list; what it lacks is gone as of its revision."""
        present = {change.object.name for change in delta.changes}
        fresh = [
            objects.Change(
                dataclasses.replace(known, revision=delta.revision), True
            )
            for name, known in self.objects.items()
            if name not in present
        ]
        for change in delta.changes:
            known = self.objects.get(change.object.name)
            if known is None or known.revision < change.object.revision:
                fresh.append(change)
        self.objects = {
            change.object.name: change.object for change in delta.changes
        }
        self._log.clear()
        self._log_after = delta.revision
        self.revision = delta.revision
        return fresh

    def delta_after(self, after: int) -> Delta:
        """Return what a peer that holds ``after`` lacks.

        Of several changes of one object the last is enough: a peer far
        behind in a storm of changes gets each object once.
        """
        if self._log_after <= after <= self.revision and after > 0:
            latest = {
                change.object.name: change
                for change in self._log
                if change.object.revision > after
            }
            changes = sorted(
                latest.values(), key=lambda change: change.object.revision
            )
            return Delta(
                self.kind, after, self.revision, False, tuple(changes)
            )
        whole = tuple(
            objects.Change(found, False) for found in self.objects.values()
        )
        return Delta(self.kind, 0, self.revision, True, whole)
