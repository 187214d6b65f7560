"""Which entry VMs a caller is told to use."""

import dataclasses
import hashlib
import random

from godwitflow.model import ids
from godwitflow.policy import node_load
from godwitflow.wire import messages

LOAD_BAND = 0.2
NEAR_COUNT = 3
FAR_COUNT = 3


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


def subset(
    ready: list[messages.MemberUpdate],
    near: ids.FailureDomain | None,
    caller: str,
    near_count: int = NEAR_COUNT,
    far_count: int = FAR_COUNT,
) -> list[str]:
    """Return the caller addresses of a few members for one caller.

    Answers callers with few requests each in front of many nodes: each
    keeps to a few nodes, so that the next request finds an open
    connection. Nodes that are not busy come first, then the strongest;
    equals are ranked by rendezvous: the same for a caller while they are
    ready, different between callers. Some are in other failure domains,
    as a caller's own may be lost.
    """

    def order(
        member: messages.MemberUpdate,
    ) -> tuple[bool, float, bytes]:
        data = f"{caller}/{member.node}".encode()
        weight = hashlib.blake2b(data, digest_size=8).digest()
        return member.load >= node_load.BUSY_LOAD, -member.cores, weight

    ranked = sorted(ready, key=order)
    nearby = [row for row in ranked if row.failure_domain == near]
    others = [row for row in ranked if row.failure_domain != near]
    chosen = nearby[:near_count]
    missing = near_count - len(chosen)
    chosen += others[: far_count + missing]
    return [row.caller for row in chosen]
