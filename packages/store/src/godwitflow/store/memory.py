"""A versioned store in memory, which the fake platform serves."""

import typing

from twisted.internet import defer

from godwitflow.model import errors
from godwitflow.store import versioned_store

MS_PER_S = 1_000.0


class MemoryStore:
    """Objects in a dictionary; ``clock`` schedules the timeouts of watches.

    Implements :class:`godwitflow.store.versioned_store.VersionedStore`.
    ``version`` is that of the last write to any object.
    """

    def __init__(self, clock: typing.Any) -> None:
        self.clock = clock
        self.objects: dict[str, versioned_store.VersionedValue] = {}
        self.version = 0
        self._waiters: dict[str, list[defer.Deferred]] = {}

    async def get(self, name: str) -> versioned_store.VersionedValue:
        """Return an object; raises ObjectNotFoundError."""
        stored = self.objects.get(name)
        if stored is None:
            raise errors.ObjectNotFoundError(name)
        return stored

    async def put(self, name: str, value: bytes, version: int) -> int:
        """Write the object if it has ``version``; return the new version."""
        if len(value) > versioned_store.MAX_VALUE_BYTES:
            raise errors.ValueTooLargeError(f"{name}: {len(value)} bytes")
        current = self.objects.get(name)
        stored_version = current.version if current else versioned_store.ABSENT
        if stored_version != version:
            raise errors.StoreConflictError(
                f"{name} has version {stored_version}"
            )
        self.version += 1
        self.objects[name] = versioned_store.VersionedValue(
            value, self.version
        )
        for waiter in self._waiters.pop(name, []):
            waiter.callback(None)
        return self.version

    async def watch(
        self, name: str, after: int, wait_ms: float
    ) -> versioned_store.VersionedValue:
        """Return the object once it is newer than ``after``, or on timeout."""
        current = self.objects.get(name)
        if current is None or current.version <= after:
            await self._wait_for_change(name, wait_ms)
        return await self.get(name)

    def release_watches(self) -> None:
        """Make every waiting watch return."""
        waiters, self._waiters = self._waiters, {}
        for queue in waiters.values():
            while queue:
                queue.pop().callback(None)

    async def _wait_for_change(self, name: str, wait_ms: float) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        queue = self._waiters.setdefault(name, [])
        queue.append(waiter)

        def expire() -> None:
            if waiter in queue:
                queue.remove(waiter)
                waiter.callback(None)

        timer = self.clock.callLater(wait_ms / MS_PER_S, expire)
        await waiter
        if timer.active():
            timer.cancel()

    async def list_names(self, prefix: str) -> list[str]:
        """List the names that start with a prefix, sorted."""
        return sorted(name for name in self.objects if name.startswith(prefix))
