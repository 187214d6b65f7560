"""Encoding of message batches as MessagePack envelopes."""

import dataclasses

import msgspec

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.wire import messages

VERSION = 1
MAX_ENVELOPE_BYTES = 8_000_000


class Header(msgspec.Struct, frozen=True, array_like=True):
    """The sender of an envelope and its address for replies."""

    version: int
    sender: ids.NodeId
    incarnation: messages.Count
    inner_address: str


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    header: Header
    messages: list[messages.Message]


class _RawEnvelope(msgspec.Struct, frozen=True, array_like=True):
    header: Header
    messages: list[msgspec.Raw]


@dataclasses.dataclass(frozen=True)
class DecodedEnvelope:
    """An envelope; ``rejected`` counts messages that cannot be decoded."""

    header: Header
    messages: list[messages.Message]
    rejected: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Envelope)
_raw_decoder = msgspec.msgpack.Decoder(_RawEnvelope)
_message_decoder = msgspec.msgpack.Decoder(messages.Message)


def encode(header: Header, batch: list[messages.Message]) -> bytes:
    """Encode a batch of messages under one header."""
    return _encoder.encode(_Envelope(header, batch))


def decode(raw: bytes) -> DecodedEnvelope:
    """Decode an envelope.

    A message of an unknown kind or shape is skipped and counted, so
    that the other messages of a newer peer still arrive. Raises
    :class:`errors.CodecError` if the envelope itself is malformed or
    larger than ``MAX_ENVELOPE_BYTES``.
    """
    if len(raw) > MAX_ENVELOPE_BYTES:
        raise errors.CodecError(f"envelope of {len(raw)} bytes is too large")
    try:
        envelope = _decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return _decode_each(raw)
    return DecodedEnvelope(envelope.header, envelope.messages)


def _decode_each(raw: bytes) -> DecodedEnvelope:
    try:
        envelope = _raw_decoder.decode(raw)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise errors.CodecError(f"malformed envelope: {error}") from error
    batch = []
    rejected = 0
    for raw_message in envelope.messages:
        try:
            batch.append(_message_decoder.decode(raw_message))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            rejected += 1
    return DecodedEnvelope(envelope.header, batch, rejected)
