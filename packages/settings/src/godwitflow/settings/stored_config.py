"""An accepted configuration as the store holds it.

The head object names a generation and its files by content hash. Each
content is an object of its own under its hash, so that a change moves
only the files it touches, and no object outgrows the store.
"""

import hashlib

import msgspec

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.settings import config
from godwitflow.settings import folder

HEAD_NAME = "config/head"
MAX_EARLIER_CHANGES = 50
FILE_PREFIX = "config/files/"


class FileRef(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A file of a generation: its name and its content's hash."""

    name: str
    sha256: str


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted generation.

    ``change_id`` is drawn anew for each apply, so that the applier can
    tell its own change from another's after a lost answer, also where
    others have changed the configuration again meanwhile.
    """

    generation: ids.Generation
    author: str
    change_id: str
    files: tuple[FileRef, ...]
    earlier_change_ids: tuple[str, ...] = ()

    def includes_change(self, change_id: str) -> bool:
        """Tell whether a change is in force here or was lately."""
        return change_id in (self.change_id, *self.earlier_change_ids)


_decoder = msgspec.json.Decoder(Head)


def decode_head(raw: bytes) -> Head:
    """Decode a head object; raises :class:`errors.CodecError`."""
    try:
        return _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise errors.CodecError(f"bad head object: {error}") from error


def encode_head(head: Head) -> bytes:
    """Encode a head object as JSON."""
    return msgspec.json.encode(head)


def file_object_name(sha256: str) -> str:
    """Name the object that holds a file's content."""
    return FILE_PREFIX + sha256


def file_refs(files: tuple[folder.File, ...]) -> tuple[FileRef, ...]:
    """Name files by their hashes."""
    return tuple(FileRef(file.name, file.sha256) for file in files)


def assemble(
    head: Head, contents: dict[str, bytes]
) -> tuple[folder.File, ...]:
    """Put a generation's files together from contents by hash.

    Raises :class:`errors.CodecError` where a content is missing or does
    not match its hash, so a truncated object never comes into force.
    """
    files = []
    for ref in head.files:
        content = contents.get(ref.sha256)
        if content is None:
            raise errors.CodecError(f"content of {ref.name} is missing")
        if hashlib.sha256(content).hexdigest() != ref.sha256:
            raise errors.CodecError(f"content of {ref.name} is damaged")
        files.append(folder.File(ref.name, content))
    return tuple(files)


def parse(head: Head, contents: dict[str, bytes]) -> config.Config:
    """Return the checked configuration of a generation."""
    return config.parse(assemble(head, contents))
