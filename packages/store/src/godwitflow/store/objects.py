"""Objects by kind and name, as the tier's tasks use the store.

A revision counter of the whole store orders every change. Reads are
linearizable unless a caller allows stale ones, which are cheaper.
Errors are those of :mod:`godwitflow.store.store`, with
:class:`godwitflow.model.errors.StoreHistoryGoneError` for a watch that
starts before the kept history.
"""

import dataclasses
import typing

Spec = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """A stored object; ``spec`` is decoded, None where that failed."""

    name: str
    revision: int
    spec: Spec | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Every object of a kind, as of a revision."""

    objects: tuple[Object, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One event of a watch."""

    object: Object
    removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a watch brought; the next one starts at ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore(typing.Protocol):
    """The calls that the tier makes; each is priced."""

    async def list(self, kind: str, allow_stale: bool = False) -> Listing:
        """List a kind, through all its pages."""
        ...

    async def watch(
        self, kind: str, after_revision: int, wait_ms: float
    ) -> Changes:
        """Wait for changes after a revision, ``wait_ms`` at most."""
        ...

    async def create(self, kind: str, name: str, spec: Spec) -> Object:
        """Create an object; raises StoreConflictError where one is."""
        ...

    async def replace(self, kind: str, name: str, spec: Spec) -> Object:
        """Replace an object's spec, whatever its revision."""
        ...

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; one that is missing is no error."""
        ...
