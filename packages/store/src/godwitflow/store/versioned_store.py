"""Interface of the versioned store: objects by name, conditional writes.

All implementations raise the same errors. After
:class:`errors.StoreConflictError` or
:class:`errors.StoreUnavailableError` the call was not applied; after
:class:`errors.StoreOutcomeUnknownError` it may have been.
"""

import dataclasses
import typing

MAX_VALUE_BYTES = 1_000_000
"""The store's size limit for one object."""

ABSENT = 0
"""The version of an object that does not exist."""


@dataclasses.dataclass(frozen=True)
class VersionedValue:
    """An object's value and its version."""

    value: bytes
    version: int


class VersionedStore(typing.Protocol):
    """Objects by name, with versions, conditional writes and watches."""

    async def get(self, name: str) -> VersionedValue:
        """Return an object; raises ObjectNotFoundError."""
        ...

    async def put(self, name: str, value: bytes, version: int) -> int:
        """Write the object if it has ``version``; return the new version.

        The version ``ABSENT`` creates the object. Raises
        StoreConflictError if the stored version differs, or if an object
        to be created exists already, and ValueTooLargeError if the value
        exceeds the store's size limit.
        """
        ...

    async def watch(
        self, name: str, after: int, wait_ms: float
    ) -> VersionedValue:
        """Return the object once its version exceeds ``after``.

        After ``wait_ms`` it is returned whatever its version. A watch
        counts as one call, however long it waits.
        """
        ...

    async def list_names(self, prefix: str) -> list[str]:
        """List the names that start with a prefix, sorted."""
        ...
