"""The platform's list of live and leaving VMs, which may be out of date."""

import msgspec

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.store import raw_json

LIST_NAME = "platform/vms"


class Vm(msgspec.Struct, frozen=True):
    """A VM; ``inner`` is where its node receives messages of other nodes."""

    vm: ids.NodeId
    failure_domain: ids.FailureDomain
    inner: str
    leaving: bool = False


def decode(raw: bytes) -> tuple[Vm, ...]:
    """Decode the list, leaving out the entries that cannot be read.

    Raises :class:`errors.CodecError` if it is no list.
    """
    try:
        entries = raw_json.split_array(raw)
    except ValueError as error:
        raise errors.CodecError(f"malformed VM list: {error}") from error
    decoded = [_decode_entry(entry) for entry in entries]
    return tuple(vm for vm in decoded if vm is not None)


def _decode_entry(raw: bytes) -> Vm | None:
    try:
        return msgspec.json.decode(raw, type=Vm)
    except (ValueError, RecursionError):
        return None


def encode(vms: tuple[Vm, ...]) -> bytes:
    """Encode the list as JSON."""
    return msgspec.json.encode(vms)
