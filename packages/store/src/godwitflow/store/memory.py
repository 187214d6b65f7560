"""A versioned store in memory, which the fake platform serves."""

import typing

from twisted.internet import defer

from godwitflow.model import errors
from godwitflow.store import versioned_store

MS_PER_S = 1_000.0


class MemoryStore:
    """Objects in a dictionary; ``clock`` schedules the watches' timeouts."""

    def __init__(self, clock: typing.Any) -> None:
        self.clock = clock
        self.objects: dict[str, versioned_store.VersionedValue] = {}
        self.version = 0
        self._waiting: dict[str, list[defer.Deferred]] = {}

    async def get(self, name: str) -> versioned_store.VersionedValue:
        """Return an object; raises ObjectNotFoundError."""
        found = self.objects.get(name)
        if found is None:
            raise errors.ObjectNotFoundError(name)
        return found

    async def put(self, name: str, value: bytes, version: int) -> int:
        """Write the object if it still has ``version``."""
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
        for waiting in self._waiting.pop(name, []):
            waiting.callback(None)
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
        waiting, self._waiting = self._waiting, {}
        for queue in waiting.values():
            while queue:
                queue.pop().callback(None)

    async def _wait_for_change(self, name: str, wait_ms: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        queue = self._waiting.setdefault(name, [])
        queue.append(waiting)

        def expire() -> None:
            if waiting in queue:
                queue.remove(waiting)
                waiting.callback(None)

        timer = self.clock.callLater(wait_ms / MS_PER_S, expire)
        await waiting
        if timer.active():
            timer.cancel()

    async def list_names(self, prefix: str) -> list[str]:
        """List the names that start with a prefix."""
        return sorted(name for name in self.objects if name.startswith(prefix))
