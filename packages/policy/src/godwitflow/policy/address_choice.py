"""Chooses the nodes whose addresses a caller is given.

Meant for many callers with few requests each and nodes of several sizes.
Each caller is given a few nodes, so that its next request finds an open
connection. The nodes with the most cores come first until they are busy.
"""

import hashlib
import typing

from godwitflow.model import ids
from godwitflow.policy import node_load
from godwitflow.wire import messages

SAME_DOMAIN_COUNT = 3
OTHER_DOMAIN_COUNT = 3


def ready_members(
    members: typing.Iterable[messages.MemberUpdate],
) -> list[messages.MemberUpdate]:
    """Return the members whose addresses may be given to callers."""
    return [
        member
        for member in members
        if member.joined
        and member.caller_address
        and member.state is messages.MemberState.ALIVE
    ]


def choose(
    members: typing.Iterable[messages.MemberUpdate],
    domain: ids.FailureDomain | None,
    caller: str,
    same_domain_count: int = SAME_DOMAIN_COUNT,
    other_domain_count: int = OTHER_DOMAIN_COUNT,
) -> list[str]:
    """Return the addresses for one caller, in order of preference.

    Nodes that are not busy come first, those with the most cores ahead:
    up to ``same_domain_count`` in the caller's failure domain, then nodes
    of other domains, because the caller's own domain may be lost. Busy
    nodes fill the remaining places. Rendezvous hashing of the caller and
    the node breaks ties, so that a caller's order stays the same while
    the nodes are ready and differs from that of other callers.
    """

    def sort_key(
        member: messages.MemberUpdate,
    ) -> tuple[bool, float, bytes]:
        data = f"{caller}/{member.node}".encode()
        weight = hashlib.blake2b(data, digest_size=8).digest()
        return _busy(member), -member.cores, weight

    count = same_domain_count + other_domain_count
    ranked = sorted(ready_members(members), key=sort_key)
    not_busy = [member for member in ranked if not _busy(member)]
    chosen = [
        member for member in not_busy if member.failure_domain == domain
    ][:same_domain_count]
    chosen += [
        member for member in not_busy if member.failure_domain != domain
    ]
    chosen = chosen[:count]
    others = [member for member in ranked if member not in chosen]
    chosen += others[: count - len(chosen)]
    return [member.caller_address for member in chosen]


def _busy(member: messages.MemberUpdate) -> bool:
    return member.load >= node_load.BUSY_LOAD
