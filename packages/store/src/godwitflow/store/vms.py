"""The platform's list of live and leaving VMs, which may be out of date."""

import msgspec

from godwitflow.model import errors
from godwitflow.model import ids

LIST_NAME = "platform/vms"


class Vm(msgspec.Struct, frozen=True):
    """A VM; ``inner`` is where its node receives messages of other nodes."""

    vm: ids.NodeId
    failure_domain: ids.FailureDomain
    inner: str
    leaving: bool = False


_decoder = msgspec.json.Decoder(tuple[Vm, ...])


def decode(raw: bytes) -> tuple[Vm, ...]:
    """Decode the list; raises :class:`errors.CodecError` if malformed."""
    try:
        return _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise errors.CodecError(f"malformed VM list: {error}") from error


def encode(vms: tuple[Vm, ...]) -> bytes:
    """Encode the list as JSON."""
    return msgspec.json.encode(vms)
