"""The platform's object API as this project uses it.

Every implementation raises the same errors, which say what a failure
means: :class:`errors.StoreConflictError` and
:class:`errors.StoreUnavailableError` mean not applied,
:class:`errors.StoreOutcomeUnknownError` means either.
"""

import dataclasses
import typing

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0
"""The version of an object that does not exist."""


@dataclasses.dataclass(frozen=True)
class VersionedValue:
    """An object's value and the version that the store gave it."""

    value: bytes
    version: int


class VersionedStore(typing.Protocol):
    """Objects by name, with versions, conditional updates and watches."""

    async def get(self, name: str) -> VersionedValue:
        """Return an object; raises ObjectMissingError where none is."""
        ...

    async def put(self, name: str, value: bytes, version: int) -> int:
        """Write if the object still has ``version``; return the new one.

        ``ABSENT`` as the version creates the object and conflicts where
        it exists.
        """
        ...

    async def watch(
        self, name: str, after: int, wait_ms: float
    ) -> VersionedValue:
        """Return the object once its version exceeds ``after``.

        Returns the current object, whatever its version, after
        ``wait_ms``. A waiting watch is one call.
        """
        ...

    async def list_names(self, prefix: str) -> list[str]:
        """List the names that start with a prefix, in order."""
        ...
