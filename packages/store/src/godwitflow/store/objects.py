"""Interface of the object store: objects by kind and name.

A revision counter of the whole store orders all changes. Reads are
linearizable unless stale reads are allowed, which are cheaper. Errors
are those of :mod:`godwitflow.store.versioned_store`;
:class:`godwitflow.model.errors.StoreHistoryGoneError` is raised for a
watch from a revision after which changes have been discarded.
"""

import dataclasses
import typing

Spec = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """A stored object; ``spec`` is None if it could not be decoded."""

    name: str
    revision: int
    spec: Spec | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, as of a revision."""

    objects: tuple[Object, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The write or the removal of an object."""

    object: Object
    removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The result of a watch; the next watch continues after ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore(typing.Protocol):
    """The calls of the store that a node makes; every call has a cost."""

    async def list(self, kind: str, allow_stale: bool = False) -> Listing:
        """List a kind, fetching all its pages."""
        ...

    async def watch(
        self, kind: str, after_revision: int, wait_ms: float
    ) -> Changes:
        """Return the changes after a revision, waiting up to ``wait_ms``.

        Raises StoreHistoryGoneError if some of them have been discarded.
        """
        ...

    async def create(self, kind: str, name: str, spec: Spec) -> Object:
        """Create an object; raises StoreConflictError if it exists."""
        ...

    async def replace(self, kind: str, name: str, spec: Spec) -> Object:
        """Replace an object's spec, whatever its revision.

        Raises ObjectNotFoundError if the object does not exist.
        """
        ...

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; does nothing if it does not exist."""
        ...
