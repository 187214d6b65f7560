"""The platform's list of live and leaving VMs: a roster that lags."""

import msgspec

from godwitflow.model import errors
from godwitflow.model import ids

LIST_NAME = "platform/vms"


class Vm(msgspec.Struct, frozen=True):
    """One VM; ``inner`` is where its godwitflowd takes peers' messages."""

    vm: ids.NodeId
    failure_domain: ids.FailureDomain
    inner: str
    leaving: bool = False


_decoder = msgspec.json.Decoder(tuple[Vm, ...])


def decode(raw: bytes) -> tuple[Vm, ...]:
    """Decode the list; raises :class:`errors.CodecError`."""
    try:
        return _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise errors.CodecError(f"bad VM list: {error}") from error


def encode(vms: tuple[Vm, ...]) -> bytes:
    """Encode the list as JSON."""
    return msgspec.json.encode(vms)
