"""The stored form of an accepted configuration.

The head object holds a generation and lists its files by content hash.
The content of each file is an object of its own, named by the hash, so
that a change transfers only the files it touches and no object exceeds
the store's size limit.
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
    """A file's name and the SHA-256 of its content, in hexadecimal."""

    name: str
    sha256: str


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The head object of one accepted generation.

    ``change_id`` is unique to each apply. After a lost response it shows
    whether the change was applied, even if others have changed the
    configuration since: ``earlier_change_ids`` holds the ids of the
    changes before, latest first, up to ``MAX_EARLIER_CHANGES``.
    """

    generation: ids.Generation
    author: str
    change_id: str
    files: tuple[FileRef, ...]
    earlier_change_ids: tuple[str, ...] = ()

    def includes_change(self, change_id: str) -> bool:
        """Return whether a change led to this generation or a recent one."""
        return change_id in (self.change_id, *self.earlier_change_ids)


_decoder = msgspec.json.Decoder(Head)


def decode_head(raw: bytes) -> Head:
    """Decode a head object; raises :class:`errors.CodecError` if malformed."""
    try:
        return _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise errors.CodecError(f"malformed head object: {error}") from error


def encode_head(head: Head) -> bytes:
    """Encode a head object as JSON."""
    return msgspec.json.encode(head)


def file_object_name(sha256: str) -> str:
    """Return the name of the object that holds a file's content."""
    return FILE_PREFIX + sha256


def file_refs(files: tuple[folder.File, ...]) -> tuple[FileRef, ...]:
    """Return names and content hashes of files, in the same order."""
    return tuple(FileRef(file.name, file.sha256) for file in files)


def assemble(
    head: Head, contents: dict[str, bytes]
) -> tuple[folder.File, ...]:
    """Return a generation's files; ``contents`` is keyed by hash.

    Raises :class:`errors.CodecError` if a content is missing or does not
    match its hash, so that a truncated object is never applied.
    """
    files = []
    for ref in head.files:
        content = contents.get(ref.sha256)
        if content is None:
            raise errors.CodecError(f"content of {ref.name} is missing")
        if hashlib.sha256(content).hexdigest() != ref.sha256:
            raise errors.CodecError(
                f"content of {ref.name} does not match its hash"
            )
        files.append(folder.File(ref.name, content))
    return tuple(files)


def parse(head: Head, contents: dict[str, bytes]) -> config.Config:
    """Return a generation's configuration.

    Raises :class:`errors.CodecError` or :class:`errors.SettingsError`.
    """
    return config.parse(assemble(head, contents))
