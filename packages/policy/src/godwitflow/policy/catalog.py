"""A node's copy of the store's objects, synchronized between nodes.

Nodes send objects to each other. A summary digest over all names and
versions shows in a few bytes whether two nodes hold the same objects.
They compare the versions of each name only if the summaries differ.
"""

import dataclasses
import typing

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.policy import ownership
from godwitflow.settings import config
from godwitflow.settings import stored_config
from godwitflow.wire import messages

SUMMARY_NAME = "*"
MAX_GENERATIONS = 100
INDEX_PREFIX = "index/"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """The version and the value of an object."""

    version: int
    value: bytes


class Catalog:
    """This node's copy of the configuration head, its files and indexes.

    An object replaces an older one only if its version is higher and its
    value is valid. Invalid objects are counted and the last valid one
    stays. A configuration generation becomes active once all of its
    files are present.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.head: stored_config.Head | None = None
        self.config: config.Config | None = None
        self.indexes: dict[str, index_model.Index] = {}
        self.refused_count = 0
        self.generations: list[ids.Generation] = []
        self._pending: tuple[stored_config.Head, StoredObject] | None = None
        self._summary: int | None = None

    # Storing objects --------------------------------------------------

    def apply_object(self, name: str, version: int, value: bytes) -> bool:
        """Store an object if it is newer and valid.

        Returns whether the object was accepted. A head is accepted before
        its files are present.
        """
        current = self.objects.get(name)
        if current is not None and version <= current.version:
            return False
        try:
            accepted = self._accept(name, StoredObject(version, value))
        except (errors.GodwitflowError, ValueError):
            self.refused_count += 1
            return False
        self._summary = None
        return accepted

    def _accept(self, name: str, stored: StoredObject) -> bool:
        if name == stored_config.HEAD_NAME:
            return self._accept_head(stored)
        if name.startswith(stored_config.FILE_PREFIX):
            return self._accept_file(name, stored)
        if not name.startswith(INDEX_PREFIX):
            raise errors.CodecError(f"unknown kind of object: {name}")
        return self._accept_index(name, stored)

    def _accept_head(self, stored: StoredObject) -> bool:
        head = stored_config.decode_head(stored.value)
        current = self.head.generation if self.head else 0
        if head.generation <= current:
            raise errors.CodecError(
                "generation is not newer than the current one"
            )
        if self._pending and head.generation <= self._pending[0].generation:
            return False
        self._pending = (head, stored)
        self._activate_pending()
        return True

    def _accept_file(self, name: str, stored: StoredObject) -> bool:
        """Store a file whose content matches the hash in its name."""
        sha256 = name.removeprefix(stored_config.FILE_PREFIX)
        ref = stored_config.FileRef(name, sha256)
        single_file_head = stored_config.Head(
            ids.Generation(1), "", "", (ref,)
        )
        stored_config.assemble(single_file_head, {sha256: stored.value})
        self.objects[name] = stored
        self._activate_pending()
        return True

    def _accept_index(self, name: str, stored: StoredObject) -> bool:
        index = index_model.decode(stored.value)
        current = self.indexes.get(name)
        if current is not None and index.snapshot < current.snapshot:
            raise errors.IndexInvalidError(
                "snapshot is older than the current one"
            )
        self.indexes[name] = index
        self.objects[name] = stored
        return True

    def _activate_pending(self) -> None:
        if self._pending is None:
            return
        head, stored = self._pending
        if self.missing_files():
            return
        self._pending = None
        parsed = stored_config.parse(head, self._contents(head))
        self.head = head
        self.config = parsed
        self.objects[stored_config.HEAD_NAME] = stored
        self.generations.append(head.generation)
        del self.generations[:-MAX_GENERATIONS]
        self._drop_old_files(head)

    def _contents(self, head: stored_config.Head) -> dict[str, bytes]:
        return {
            ref.sha256: self.objects[
                stored_config.file_object_name(ref.sha256)
            ].value
            for ref in head.files
        }

    def _drop_old_files(self, head: stored_config.Head) -> None:
        referenced = {
            stored_config.file_object_name(ref.sha256) for ref in head.files
        }
        for name in list(self.objects):
            if (
                name.startswith(stored_config.FILE_PREFIX)
                and name not in referenced
            ):
                del self.objects[name]

    # Reading ----------------------------------------------------------

    def missing_files(self) -> tuple[str, ...]:
        """Return the object names of files that the pending head lacks."""
        if self._pending is None:
            return ()
        names = (
            stored_config.file_object_name(ref.sha256)
            for ref in self._pending[0].files
        )
        return tuple(name for name in names if name not in self.objects)

    def watched_names(self) -> tuple[str, ...]:
        """Return the names of the objects to watch in the store."""
        names = {stored_config.HEAD_NAME}
        if self.config is not None:
            services = self.config.services.values()
            names.update(service.index for service in services)
        return tuple(sorted(names))

    def index_of(self, service: config.Service) -> index_model.Index | None:
        """Return the index of a service, or None if it is not present."""
        return self.indexes.get(service.index)

    @property
    def ready(self) -> bool:
        """Whether the configuration and every service's index are present."""
        if self.config is None:
            return False
        services = self.config.services.values()
        return all(service.index in self.indexes for service in services)

    # Digests ----------------------------------------------------------

    def digests(self) -> tuple[messages.Digest, ...]:
        """Return the name and version of each object except the files."""
        return tuple(
            messages.Digest(name, stored.version)
            for name, stored in sorted(self.objects.items())
            if not name.startswith(stored_config.FILE_PREFIX)
        )

    def summary(self) -> messages.Digest:
        """Return one digest over all names and versions."""
        if self._summary is None:
            digests = self.digests()
            text = ";".join(
                f"{digest.name}={digest.version}" for digest in digests
            )
            self._summary = ownership.hash64(text) >> 1
        return messages.Digest(SUMMARY_NAME, self._summary)

    def outdated_names(
        self, digests: typing.Iterable[messages.Digest]
    ) -> tuple[str, ...]:
        """Return the names for which a peer has a newer version."""
        names = []
        for digest in digests:
            stored = self.objects.get(digest.name)
            version = stored.version if stored else 0
            if digest.name != SUMMARY_NAME and digest.version > version:
                names.append(digest.name)
        return tuple(names)

    def summary_differs(self, digests: tuple[messages.Digest, ...]) -> bool:
        """Return whether a peer's summary differs from this node's."""
        return any(
            digest.name == SUMMARY_NAME
            and digest.version != self.summary().version
            for digest in digests
        )
