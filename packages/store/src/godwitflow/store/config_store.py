"""Reads, compares and applies the configuration in the store."""

import dataclasses
import uuid

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.settings import config
from godwitflow.settings import folder
from godwitflow.settings import stored_config
from godwitflow.store import versioned_store

MAX_ATTEMPTS = 5


class ApplyConflictError(errors.GodwitflowError):
    """Another operator's change came first; nothing was applied.

    ``conflicting_files`` names the files that both changes touch, or, if
    the accepted generation is not the expected one, the files that differ
    from it. ``generation`` is the accepted one.
    """

    def __init__(
        self, generation: ids.Generation, conflicting_files: tuple[str, ...]
    ) -> None:
        names = ", ".join(conflicting_files) or "no file in common"
        super().__init__(
            f"not applied: generation {generation} came first; "
            f"both changes touch: {names}"
        )
        self.generation = generation
        self.conflicting_files = conflicting_files


class ApplyOutcomeUnknownError(errors.GodwitflowError):
    """The store's responses were lost; the change may have been applied."""

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"unknown whether change {change_id} was applied: the store "
            "does not answer; run diff once it does"
        )
        self.change_id = change_id


@dataclasses.dataclass(frozen=True)
class AcceptedConfig:
    """The accepted head, its version in the store and its files.

    The generation is 0 if no configuration has been accepted yet.
    """

    head: stored_config.Head
    version: int
    files: tuple[folder.File, ...]


@dataclasses.dataclass(frozen=True)
class Difference:
    """What an apply would change, as file names."""

    added: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]

    @property
    def touched(self) -> frozenset[str]:
        """The names of all files that differ."""
        return frozenset(self.added + self.changed + self.removed)


@dataclasses.dataclass(frozen=True)
class Applied:
    """The result of an apply that succeeded.

    ``settled`` is set if the store's response to a write was lost, and a
    repeated write or a read showed that the change is applied.
    ``unchanged`` is set if the folder was already accepted.
    """

    generation: ids.Generation
    change_id: str
    settled: bool = False
    unchanged: bool = False


_EMPTY_HEAD = stored_config.Head(ids.Generation(0), "", "", ())


async def read_head(
    store: versioned_store.VersionedStore,
) -> tuple[stored_config.Head, int]:
    """Return the head and its version, or an empty head and ``ABSENT``."""
    try:
        stored = await store.get(stored_config.HEAD_NAME)
    except errors.ObjectNotFoundError:
        return _EMPTY_HEAD, versioned_store.ABSENT
    return stored_config.decode_head(stored.value), stored.version


async def read(store: versioned_store.VersionedStore) -> AcceptedConfig:
    """Read the accepted configuration; files are returned byte for byte.

    Raises :class:`errors.CodecError` if it is malformed.
    """
    head, version = await read_head(store)
    contents = {}
    for ref in head.files:
        stored = await store.get(stored_config.file_object_name(ref.sha256))
        contents[ref.sha256] = stored.value
    return AcceptedConfig(
        head, version, stored_config.assemble(head, contents)
    )


def compare(
    before: tuple[stored_config.FileRef, ...],
    after: tuple[stored_config.FileRef, ...],
) -> Difference:
    """Compare two lists of files by name and hash."""
    old = {ref.name: ref.sha256 for ref in before}
    new = {ref.name: ref.sha256 for ref in after}
    in_both = sorted(set(old) & set(new))
    return Difference(
        tuple(sorted(set(new) - set(old))),
        tuple(name for name in in_both if old[name] != new[name]),
        tuple(sorted(set(old) - set(new))),
    )


async def apply(
    store: versioned_store.VersionedStore,
    files: tuple[folder.File, ...],
    author: str,
    expected_generation: ids.Generation | None = None,
) -> Applied:
    """Make the files of a folder the accepted configuration.

    The files are checked first. Acceptance is a single conditional write
    of the head at the version that was read, so if two operators apply
    concurrently, exactly one succeeds. If ``expected_generation`` is
    given, any other accepted generation is a conflict.

    Raises :class:`errors.SettingsError`, :class:`ApplyConflictError`,
    :class:`ApplyOutcomeUnknownError` or :class:`errors.StoreError`.
    """
    config.parse(files)
    head, version = await read_head(store)
    refs = stored_config.file_refs(files)
    if (
        expected_generation is not None
        and head.generation != expected_generation
    ):
        differing = compare(head.files, refs).touched
        raise ApplyConflictError(head.generation, tuple(sorted(differing)))
    if not compare(head.files, refs).touched:
        return Applied(head.generation, head.change_id, unchanged=True)
    await _put_contents(store, files)
    change_id = uuid.uuid4().hex
    earlier = (head.change_id, *head.earlier_change_ids)
    new_head = stored_config.Head(
        ids.Generation(head.generation + 1),
        author,
        change_id,
        refs,
        earlier[: stored_config.MAX_EARLIER_CHANGES],
    )
    return await _put_head(store, head, version, new_head)


async def _put_contents(
    store: versioned_store.VersionedStore, files: tuple[folder.File, ...]
) -> None:
    """Store each file's content under its hash.

    An object that exists under the hash has the same content.
    """
    for file in files:
        name = stored_config.file_object_name(file.sha256)
        for _ in range(MAX_ATTEMPTS):
            try:
                await store.put(name, file.content, versioned_store.ABSENT)
            except errors.StoreConflictError:
                pass
            except errors.StoreOutcomeUnknownError:
                continue
            break
        else:
            raise errors.StoreUnavailableError(f"cannot store {file.name}")


async def _put_head(
    store: versioned_store.VersionedStore,
    base: stored_config.Head,
    version: int,
    new_head: stored_config.Head,
) -> Applied:
    """Write the head, repeating the write if its response is lost.

    The repeated conditional write either succeeds or conflicts; after a
    conflict the stored head shows whether this change or another one was
    applied. If the first write arrives after that, it does no harm: it
    fails, because the version has changed.
    """
    value = stored_config.encode_head(new_head)
    response_lost = False
    for _ in range(MAX_ATTEMPTS):
        try:
            await store.put(stored_config.HEAD_NAME, value, version)
            return Applied(
                new_head.generation, new_head.change_id, response_lost
            )
        except errors.StoreConflictError:
            return await _resolve_conflict(
                store, base, new_head, response_lost
            )
        except errors.StoreOutcomeUnknownError:
            response_lost = True
        except errors.StoreUnavailableError:
            if not response_lost:
                raise
    raise ApplyOutcomeUnknownError(new_head.change_id)


async def _resolve_conflict(
    store: versioned_store.VersionedStore,
    base: stored_config.Head,
    new_head: stored_config.Head,
    response_lost: bool,
) -> Applied:
    """Find out from the stored head whether the change was applied."""
    try:
        current, _ = await read_head(store)
    except errors.StoreError as error:
        if response_lost:
            raise ApplyOutcomeUnknownError(new_head.change_id) from error
        raise
    if current.includes_change(new_head.change_id):
        return Applied(new_head.generation, new_head.change_id, settled=True)
    theirs = compare(base.files, current.files).touched
    ours = compare(base.files, new_head.files).touched
    raise ApplyConflictError(current.generation, tuple(sorted(theirs & ours)))
