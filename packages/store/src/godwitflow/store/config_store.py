"""Configuration in the store: read, compare, apply."""

import dataclasses
import uuid

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.settings import config
from godwitflow.settings import folder
from godwitflow.settings import stored_config
from godwitflow.store import versioned_store as store_module

SETTLE_TRIES = 5


class ApplyConflictError(errors.GodwitflowError):
    """Another operator's change came first; nothing was applied.

    ``clashing`` names the files that both changes touch; ``generation``
    is the one now in force.
    """

    def __init__(
        self, generation: ids.Generation, clashing: tuple[str, ...]
    ) -> None:
        names = ", ".join(clashing) or "no file in common"
        super().__init__(
            f"not applied: generation {generation} came first; "
            f"both changes touch: {names}"
        )
        self.generation = generation
        self.clashing = clashing


class ApplyUnsettledError(errors.GodwitflowError):
    """The store's answers were lost: applied or not, it cannot be told."""

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"unknown whether change {change_id} was applied: the store "
            "does not answer; run diff once it does"
        )
        self.change_id = change_id


@dataclasses.dataclass(frozen=True)
class Current:
    """The head in the store with its files; no head gives generation 0."""

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
        """Every file that differs."""
        return frozenset(self.added + self.changed + self.removed)


@dataclasses.dataclass(frozen=True)
class Applied:
    """A change that is accepted.

    ``settled`` says that an answer was lost and read-back showed that
    the change had been applied; ``unchanged`` that there was nothing to
    change.
    """

    generation: ids.Generation
    change_id: str
    settled: bool = False
    unchanged: bool = False


_NO_HEAD = stored_config.Head(ids.Generation(0), "", "", ())


async def read_head(
    store: store_module.VersionedStore,
) -> tuple[stored_config.Head, int]:
    """Return the head and its version; an empty head where none is."""
    try:
        stored = await store.get(stored_config.HEAD_NAME)
    except errors.ObjectNotFoundError:
        return _NO_HEAD, store_module.ABSENT
    return stored_config.decode_head(stored.value), stored.version


async def read(store: store_module.VersionedStore) -> Current:
    """Read the accepted configuration back, byte for byte."""
    head, version = await read_head(store)
    contents = {}
    for ref in head.files:
        stored = await store.get(stored_config.file_object_name(ref.sha256))
        contents[ref.sha256] = stored.value
    return Current(head, version, stored_config.assemble(head, contents))


def compare(
    before: tuple[stored_config.FileRef, ...],
    after: tuple[stored_config.FileRef, ...],
) -> Difference:
    """Compare two lists of files by name and hash."""
    old = {ref.name: ref.sha256 for ref in before}
    new = {ref.name: ref.sha256 for ref in after}
    both = sorted(set(old) & set(new))
    return Difference(
        tuple(sorted(set(new) - set(old))),
        tuple(name for name in both if old[name] != new[name]),
        tuple(sorted(set(old) - set(new))),
    )


async def apply(
    store: store_module.VersionedStore,
    files: tuple[folder.File, ...],
    author: str,
    seen: ids.Generation | None = None,
) -> Applied:
    """Make a folder the accepted configuration.

    The folder is checked first. Acceptance is one conditional update of
    the head on the version that was read, so of two racing operators
    exactly one wins. ``seen`` is the generation that the operator has
    looked at; another one in force is a conflict.
    """
    config.parse(files)
    head, version = await read_head(store)
    refs = stored_config.file_refs(files)
    if seen is not None and head.generation != seen:
        theirs = compare(head.files, refs).touched
        raise ApplyConflictError(head.generation, tuple(sorted(theirs)))
    if not compare(head.files, refs).touched:
        return Applied(head.generation, head.change_id, unchanged=True)
    await _put_contents(store, files)
    change_id = uuid.uuid4().hex
    earlier = (head.change_id, *head.earlier_change_ids)
    wanted = stored_config.Head(
        ids.Generation(head.generation + 1),
        author,
        change_id,
        refs,
        earlier[: stored_config.MAX_EARLIER_CHANGES],
    )
    return await _put_head(store, head, version, wanted)


async def _put_contents(
    store: store_module.VersionedStore, files: tuple[folder.File, ...]
) -> None:
    """Store each content under its hash; one that exists is the same."""
    for file in files:
        name = stored_config.file_object_name(file.sha256)
        for _ in range(SETTLE_TRIES):
            try:
                await store.put(name, file.content, store_module.ABSENT)
            except errors.StoreConflictError:
                pass
            except errors.StoreOutcomeUnknownError:
                continue
            break
        else:
            raise errors.StoreUnavailableError(f"cannot store {file.name}")


async def _put_head(
    store: store_module.VersionedStore,
    base: stored_config.Head,
    version: int,
    wanted: stored_config.Head,
) -> Applied:
    """Commit the head; settle a lost answer.

    After a lost answer the same conditional update is sent again: it is
    applied now, or conflicts, and then the head read back shows whose
    change won. A late first write cannot do harm, as its version is gone.
    """
    value = stored_config.encode_head(wanted)
    lost = False
    for _ in range(SETTLE_TRIES):
        try:
            await store.put(stored_config.HEAD_NAME, value, version)
            return Applied(wanted.generation, wanted.change_id, lost)
        except errors.StoreConflictError:
            return await _settle(store, base, wanted, lost)
        except errors.StoreOutcomeUnknownError:
            lost = True
        except errors.StoreUnavailableError:
            if not lost:
                raise
    raise ApplyUnsettledError(wanted.change_id)


async def _settle(
    store: store_module.VersionedStore,
    base: stored_config.Head,
    wanted: stored_config.Head,
    lost: bool,
) -> Applied:
    try:
        now, _ = await read_head(store)
    except errors.StoreError as error:
        if lost:
            raise ApplyUnsettledError(wanted.change_id) from error
        raise
    if now.holds_change(wanted.change_id):
        return Applied(wanted.generation, wanted.change_id, settled=True)
    theirs = compare(base.files, now.files).touched
    ours = compare(base.files, wanted.files).touched
    raise ApplyConflictError(now.generation, tuple(sorted(theirs & ours)))
