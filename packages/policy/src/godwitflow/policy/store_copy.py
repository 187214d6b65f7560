"""A node's copy of the store's objects of one kind.

Every delta carries the store's revision, and a copy never moves to an
older one. When the store was restored from a backup, a full delta of the
next era replaces the copy, although its revision number may be lower.

A copy keeps a log of the latest changes, so that a peer that is a
few revisions behind can be sent only those.
"""

import collections
import dataclasses

from godwitflow.store import objects

MAX_LOGGED_CHANGES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Changes of one kind after revision ``after``, up to ``revision``.

    If ``full`` is set, ``changes`` lists every object that exists.
    """

    kind: str
    after: objects.Revision
    revision: objects.Revision
    full: bool
    changes: tuple[objects.Change, ...]


class StoreCopy:
    """Objects of one kind at ``revision``.

    It is empty, at ``NO_REVISION``, until a full delta is applied.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.revision = objects.NO_REVISION
        self.objects: dict[str, objects.Object] = {}
        self._change_log: collections.deque[objects.Change] = (
            collections.deque(maxlen=MAX_LOGGED_CHANGES)
        )
        self._log_start_revision = objects.NO_REVISION

    @property
    def empty(self) -> bool:
        """Whether no full delta has been applied yet."""
        return self.revision == objects.NO_REVISION

    def apply(self, delta: Delta) -> list[objects.Change]:
        """Apply a delta and return the changes that were new.

        Returns an empty list if the delta is not newer than the copy, or
        if it starts after the copy's revision or in another era: applying
        it would leave a gap, and the caller has to ask for one that starts
        earlier.
        """
        if delta.revision <= self.revision:
            return []
        if delta.full:
            return self._replace_all(delta)
        other_era = delta.revision.era != self.revision.era
        if other_era or delta.after > self.revision:
            return []
        new_changes = [
            change
            for change in delta.changes
            if change.object.revision > self.revision
        ]
        for change in new_changes:
            self._apply_change(change)
        self.revision = delta.revision
        return new_changes

    def _apply_change(self, change: objects.Change) -> None:
        if change.removed:
            self.objects.pop(change.object.name, None)
        else:
            self.objects[change.object.name] = change.object
        if len(self._change_log) == MAX_LOGGED_CHANGES:
            self._log_start_revision = self._change_log[0].object.revision
        self._change_log.append(change)

    def _replace_all(self, delta: Delta) -> list[objects.Change]:
        """Apply a full delta; objects missing from it count as removed."""
        present = {change.object.name for change in delta.changes}
        new_changes = [
            objects.Change(
                dataclasses.replace(current, revision=delta.revision), True
            )
            for name, current in self.objects.items()
            if name not in present
        ]
        for change in delta.changes:
            current = self.objects.get(change.object.name)
            if current is None or current.revision < change.object.revision:
                new_changes.append(change)
        self.objects = {
            change.object.name: change.object for change in delta.changes
        }
        self._change_log.clear()
        self._log_start_revision = delta.revision
        self.revision = delta.revision
        return new_changes

    def delta_after(self, after: objects.Revision) -> Delta:
        """Return the delta that brings a peer from ``after`` up to date.

        It holds only the last change of each object, so that a peer that
        is far behind during frequent changes gets each object once. It is
        a full delta if the log does not reach back to ``after``.
        """
        logged = self._log_start_revision <= after <= self.revision
        if logged and after > objects.NO_REVISION:
            latest = {
                change.object.name: change
                for change in self._change_log
                if change.object.revision > after
            }
            changes = sorted(
                latest.values(), key=lambda change: change.object.revision
            )
            return Delta(
                self.kind, after, self.revision, False, tuple(changes)
            )
        all_objects = tuple(
            objects.Change(current, False) for current in self.objects.values()
        )
        return Delta(
            self.kind, objects.NO_REVISION, self.revision, True, all_objects
        )
