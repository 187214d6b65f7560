"""An object store in memory, with watches and faults for tests."""

import typing

from twisted.internet import defer

from godwitflow.model import errors
from godwitflow.store import objects

MS_PER_S = 1_000.0


class MemoryObjectStore:
    """Implements :class:`godwitflow.store.objects.ObjectStore`.

    ``refuse`` is asked before each call with the caller's name; where it
    returns true the call fails with nothing done. ``forget`` drops the
    history that watches need.
    """

    def __init__(self, clock: typing.Any) -> None:
        self.clock = clock
        self.revision = 1
        self.calls = 0
        self.should_reject: typing.Callable[[str], bool] = lambda caller: False
        self._kinds: dict[str, dict[str, objects.Object]] = {}
        self._history: list[tuple[str, objects.Change]] = []
        self._kept_after = 0
        self._waiting: list[defer.Deferred[None]] = []

    def client_for(self, caller: str) -> "MemoryCaller":
        """Return the store as one caller sees it."""
        return MemoryCaller(self, caller)

    def drop_history(self) -> None:
        """Drop all history."""
        self._history.clear()
        self._kept_after = self.revision

    def write(
        self, kind: str, name: str, spec: objects.Spec | None
    ) -> objects.Object:
        """Put an object, as the operator or an upstream would."""
        self.revision += 1
        found = objects.Object(name, self.revision, spec)
        self._kinds.setdefault(kind, {})[name] = found
        self._note(kind, objects.Change(found, False))
        return found

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._kinds.get(kind, {}).pop(name, None)
        if found is None:
            raise errors.ObjectNotFoundError(name)
        self.revision += 1
        gone = objects.Object(name, self.revision, None)
        self._note(kind, objects.Change(gone, True))

    def _note(self, kind: str, change: objects.Change) -> None:
        self._history.append((kind, change))
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            waiter.callback(None)

    def listing(self, kind: str) -> objects.Listing:
        """Return every object of a kind."""
        found = self._kinds.get(kind, {})
        return objects.Listing(tuple(found.values()), self.revision)

    def changes(self, kind: str, after: int) -> objects.Changes:
        """Return the changes after a revision; raises where it is gone."""
        if after < self._kept_after:
            raise errors.StoreHistoryGoneError(f"after {after}")
        found = tuple(
            change
            for of_kind, change in self._history
            if of_kind == kind and change.object.revision > after
        )
        return objects.Changes(found, self.revision)

    async def changed(self, wait_ms: float) -> None:
        """Wait for any change, up to a time."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiting.append(waiter)

        def expire() -> None:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
                waiter.callback(None)

        timer = self.clock.callLater(wait_ms / MS_PER_S, expire)
        await waiter
        if timer.active():
            timer.cancel()


class MemoryCaller:
    """The calls of one caller."""

    def __init__(self, store: MemoryObjectStore, caller: str) -> None:
        self._store = store
        self._caller = caller

    def _begin(self) -> None:
        self._store.calls += 1
        if self._store.should_reject(self._caller):
            raise errors.StoreUnavailableError("refused")

    async def list(
        self, kind: str, allow_stale: bool = False
    ) -> objects.Listing:
        """List a kind."""
        self._begin()
        return self._store.listing(kind)

    async def watch(
        self, kind: str, after_revision: int, wait_ms: float
    ) -> objects.Changes:
        """Wait for changes after a revision."""
        self._begin()
        clock = self._store.clock
        until_s = clock.seconds() + wait_ms / MS_PER_S
        while True:
            found = self._store.changes(kind, after_revision)
            left_ms = (until_s - clock.seconds()) * MS_PER_S
            if found.changes or left_ms <= 0:
                return found
            await self._store.changed(left_ms)
            if self._store.should_reject(self._caller):
                raise errors.StoreUnavailableError("cut off")

    async def create(
        self, kind: str, name: str, spec: objects.Spec
    ) -> objects.Object:
        """Create an object."""
        self._begin()
        if any(found.name == name for found in self._all(kind)):
            raise errors.StoreConflictError(name)
        return self._store.write(kind, name, spec)

    async def replace(
        self, kind: str, name: str, spec: objects.Spec
    ) -> objects.Object:
        """Replace an object's spec."""
        self._begin()
        if all(found.name != name for found in self._all(kind)):
            raise errors.ObjectNotFoundError(name)
        return self._store.write(kind, name, spec)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self._begin()
        try:
            self._store.remove(kind, name)
        except errors.ObjectNotFoundError:
            return

    def _all(self, kind: str) -> tuple[objects.Object, ...]:
        return self._store.listing(kind).objects
