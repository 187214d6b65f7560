"""An object store in memory for tests, with watches and injected failures."""

import collections
import dataclasses
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.model import errors
from godwitflow.store import objects

MS_PER_S = 1_000.0
CALL_TIMEOUT_MS = 1_500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """All objects of a store, by kind and name, as of a revision number."""

    number: int
    kinds: dict[str, dict[str, objects.Object]]


class MemoryObjectStore:
    """Objects and their history; :meth:`client_for` returns an ObjectStore.

    ``should_reject`` is called with the client's name before each call;
    if it returns true, the call fails without being applied. While
    ``is_silent_to`` returns true for a client's name, its reads get no
    response: they fail ``CALL_TIMEOUT_MS`` after they were due.
    """

    def __init__(self, clock: typing.Any) -> None:
        self.clock = clock
        self.revision = objects.Revision(1, 1)
        self.calls_by_client: collections.Counter[str] = collections.Counter()
        self.should_reject: typing.Callable[[str], bool] = lambda client: False
        self.is_silent_to: typing.Callable[[str], bool] = lambda client: False
        self.connection_generation = 0
        self._kinds: dict[str, dict[str, objects.Object]] = {}
        self._history: list[tuple[str, objects.Change]] = []
        # Changes up to here have been dropped.
        self._history_after = self.revision
        self._waiters: list[defer.Deferred[None]] = []

    def client_for(self, client: str) -> "MemoryObjectClient":
        """Return an ObjectStore for the client with this name."""
        return MemoryObjectClient(self, client)

    @property
    def calls(self) -> int:
        """The number of calls of all clients."""
        return self.calls_by_client.total()

    def silence_open_connections(self) -> None:
        """Never answer the calls that now wait; answer later ones."""
        self.connection_generation += 1

    def _count_change(self) -> None:
        era, number = self.revision
        self.revision = objects.Revision(era, number + 1)

    def backup(self) -> "Backup":
        """Return a copy of all objects."""
        kinds = {kind: dict(named) for kind, named in self._kinds.items()}
        return Backup(self.revision.number, kinds)

    def restore(self, backup: "Backup") -> None:
        """Continue from a backup, in the next era and without a history."""
        era = self.revision.era + 1
        self.revision = objects.Revision(era, backup.number)
        self._kinds = {
            kind: {
                name: dataclasses.replace(
                    stored,
                    revision=objects.Revision(era, stored.revision.number),
                )
                for name, stored in named.items()
            }
            for kind, named in backup.kinds.items()
        }
        self.drop_history()
        self._wake_waiters()

    def drop_history(self) -> None:
        """Drop the history, so that watches from older revisions fail."""
        self._history.clear()
        self._history_after = self.revision

    def write(
        self, kind: str, name: str, spec: objects.Spec | None
    ) -> objects.Object:
        """Create or replace an object directly, without a client."""
        self._count_change()
        written = objects.Object(name, self.revision, spec)
        self._kinds.setdefault(kind, {})[name] = written
        self._record(kind, objects.Change(written, False))
        return written

    def remove(self, kind: str, name: str) -> None:
        """Remove an object directly; raises ObjectNotFoundError."""
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is None:
            raise errors.ObjectNotFoundError(name)
        self._count_change()
        removed = objects.Object(name, self.revision, None)
        self._record(kind, objects.Change(removed, True))

    def _record(self, kind: str, change: objects.Change) -> None:
        self._history.append((kind, change))
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def listing(self, kind: str) -> objects.Listing:
        """Return all objects of a kind."""
        by_name = self._kinds.get(kind, {})
        return objects.Listing(tuple(by_name.values()), self.revision)

    def changes(self, kind: str, after: objects.Revision) -> objects.Changes:
        """Return the changes after a revision.

        Raises StoreHistoryGoneError if some of them have been dropped, or
        if the revision is of another era.
        """
        if after < self._history_after or after > self.revision:
            raise errors.StoreHistoryGoneError(f"after {after}")
        changes = tuple(
            change
            for changed_kind, change in self._history
            if changed_kind == kind and change.object.revision > after
        )
        return objects.Changes(changes, self.revision)

    async def wait_for_change(self, wait_ms: float) -> None:
        """Wait for a change of any kind, up to ``wait_ms``."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)

        def expire() -> None:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                waiter.callback(None)

        timer = self.clock.callLater(wait_ms / MS_PER_S, expire)
        await waiter
        if timer.active():
            timer.cancel()


class MemoryObjectClient:
    """The store as one client uses it.

    Implements :class:`godwitflow.store.objects.ObjectStore`.
    """

    def __init__(self, store: MemoryObjectStore, client: str) -> None:
        self._store = store
        self._client = client

    def _begin_call(self) -> None:
        self._store.calls_by_client[self._client] += 1
        if self._store.should_reject(self._client):
            raise errors.StoreUnavailableError("rejected")

    async def _check_silence(self, due_at_s: float, generation: int) -> None:
        """Let a call that was due at a time fail if it gets no response.

        ``generation`` is that of the connections when the call began.
        """
        silenced = generation != self._store.connection_generation
        if not silenced and not self._store.is_silent_to(self._client):
            return
        clock = self._store.clock
        fails_at_s = due_at_s + CALL_TIMEOUT_MS / MS_PER_S
        await task.deferLater(clock, fails_at_s - clock.seconds())
        raise errors.StoreUnavailableError("no response")

    async def list(
        self, kind: str, allow_stale: bool = False
    ) -> objects.Listing:
        """List the objects of a kind."""
        self._begin_call()
        await self._check_silence(
            self._store.clock.seconds(), self._store.connection_generation
        )
        return self._store.listing(kind)

    async def watch(
        self, kind: str, after_revision: objects.Revision, wait_ms: float
    ) -> objects.Changes:
        """Return the changes after a revision, waiting up to ``wait_ms``."""
        self._begin_call()
        clock = self._store.clock
        deadline_s = clock.seconds() + wait_ms / MS_PER_S
        generation = self._store.connection_generation
        while True:
            changes = self._store.changes(kind, after_revision)
            left_ms = (deadline_s - clock.seconds()) * MS_PER_S
            if changes.changes or left_ms <= 0:
                await self._check_silence(deadline_s, generation)
                return changes
            await self._store.wait_for_change(left_ms)
            if self._store.should_reject(self._client):
                raise errors.StoreUnavailableError("rejected while waiting")

    async def create(
        self, kind: str, name: str, spec: objects.Spec
    ) -> objects.Object:
        """Create an object; raises StoreConflictError if it exists."""
        self._begin_call()
        if any(stored.name == name for stored in self._objects_of(kind)):
            raise errors.StoreConflictError(name)
        return self._store.write(kind, name, spec)

    async def replace(
        self, kind: str, name: str, spec: objects.Spec
    ) -> objects.Object:
        """Replace an object's spec; raises ObjectNotFoundError."""
        self._begin_call()
        if all(stored.name != name for stored in self._objects_of(kind)):
            raise errors.ObjectNotFoundError(name)
        return self._store.write(kind, name, spec)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; does nothing if it does not exist."""
        self._begin_call()
        try:
            self._store.remove(kind, name)
        except errors.ObjectNotFoundError:
            return

    def _objects_of(self, kind: str) -> tuple[objects.Object, ...]:
        return self._store.listing(kind).objects
