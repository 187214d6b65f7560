"""Which entry VMs a caller is told to use."""

import dataclasses
import random

from godwitflow.model import ids
from godwitflow.wire import messages

LOAD_BAND = 0.2


@dataclasses.dataclass(frozen=True)
class AddressAnswer:
    """Caller addresses in the order to try, and how long to keep them."""

    addresses: tuple[str, ...]
    max_age_ms: float


def choose(
    members: list[messages.MemberUpdate],
    near: ids.FailureDomain,
    count: int,
    max_age_ms: float,
    source: random.Random,
) -> AddressAnswer:
    """Choose joined members, near and lightly loaded ones first.

    Members whose loads differ by less than ``LOAD_BAND`` count as
    equally loaded, and equals are shuffled, so callers spread.
    """
    ready = [
        member
        for member in members
        if member.joined
        and member.caller
        and member.state is messages.MemberState.ALIVE
    ]
    source.shuffle(ready)

    def order(member: messages.MemberUpdate) -> tuple[int, bool]:
        return int(member.load / LOAD_BAND), member.failure_domain != near

    ready.sort(key=order)
    return AddressAnswer(
        tuple(member.caller for member in ready[:count]), max_age_ms
    )
