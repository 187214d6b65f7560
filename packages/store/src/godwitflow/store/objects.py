"""Interface of the object store: objects by kind and name.

Revisions of the whole store order all changes. Reads are linearizable
unless stale reads are allowed, which are cheaper. Errors are those of
:mod:`godwitflow.store.versioned_store`;
:class:`godwitflow.model.errors.StoreHistoryGoneError` is raised for a
watch from a revision after which changes have been discarded.
"""

import dataclasses
import typing

Spec = dict[str, typing.Any]


class Revision(typing.NamedTuple):
    """A point in the history of the whole store.

    The store counts its changes in ``number``. When it is restored from a
    backup, it continues from the backup's number and begins the next
    ``era``: changes after the backup are lost and their numbers are given
    out again, so numbers of different eras cannot be compared.

    >>> Revision(1, 114) < Revision(2, 111) < Revision(2, 112)
    True
    """

    era: int
    number: int


NO_REVISION = Revision(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """A stored object; ``spec`` is None if it could not be decoded."""

    name: str
    revision: Revision
    spec: Spec | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, as of a revision."""

    objects: tuple[Object, ...]
    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The write or the removal of an object."""

    object: Object
    removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The result of a watch; the next watch continues after ``revision``."""

    changes: tuple[Change, ...]
    revision: Revision


class ObjectStore(typing.Protocol):
    """The calls of the store that a node makes; every call has a cost."""

    async def list(self, kind: str, allow_stale: bool = False) -> Listing:
        """List a kind, fetching all its pages."""
        ...

    async def watch(
        self, kind: str, after_revision: Revision, wait_ms: float
    ) -> Changes:
        """Return the changes after a revision, waiting up to ``wait_ms``.

        Raises StoreHistoryGoneError if some of them have been discarded, or
        if the store is in another era.
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
