"""A store in memory, the reference that the stand-in serves."""

import typing

from twisted.internet import defer

from godwitflow.model import errors
from godwitflow.store import versioned_store

MS_PER_S = 1_000.0


class MemoryStore:
    """Objects in a dictionary; ``clock`` times the waiting watches."""

    def __init__(self, clock: typing.Any) -> None:
        self.clock = clock
        self.objects: dict[str, versioned_store.VersionedValue] = {}
        self.version = 0
        self._waiting: dict[str, list[defer.Deferred]] = {}

    async def get(self, name: str) -> versioned_store.VersionedValue:
        """Return an object."""
        found = self.objects.get(name)
        if found is None:
            raise errors.ObjectNotFoundError(name)
        return found

    async def put(self, name: str, value: bytes, version: int) -> int:
        """Write if the object still has the version."""
        if len(value) > versioned_store.MAX_VALUE_BYTES:
            raise errors.ValueTooLargeError(f"{name}: {len(value)} bytes")
        current = self.objects.get(name)
        held = current.version if current else versioned_store.ABSENT
        if held != version:
            raise errors.StoreConflictError(f"{name} is at {held}")
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
        """Return the object once newer than ``after`` or time is up."""
        current = self.objects.get(name)
        if current is None or current.version <= after:
            await self._changed(name, wait_ms)
        return await self.get(name)

    def release_watches(self) -> None:
        """Let every waiting watch return now."""
        waiting, self._waiting = self._waiting, {}
        for queue in waiting.values():
            while queue:
                queue.pop().callback(None)

    async def _changed(self, name: str, wait_ms: float) -> None:
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
        """List names that start with a prefix."""
        return sorted(name for name in self.objects if name.startswith(prefix))
