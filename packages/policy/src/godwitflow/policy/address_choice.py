"""Which entry VMs a caller is told to use.

Answers callers with few requests each in front of many nodes of several
sizes: each caller keeps to a few nodes, so that its next request finds
an open connection, and the strongest nodes serve until they are busy.
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
    """Return the members that callers may be named."""
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
    """Return the addresses for one caller, the best ones first.

    Of the nodes that are not busy the strongest come first, near ones up
    to ``near_count``, then others; busy nodes fill what is left. Equals
    are ranked by rendezvous: the same for a caller while they are ready,
    different between callers. Some are in other failure domains, as a
    caller's own may be lost.
    """

    def order(
        member: messages.MemberUpdate,
    ) -> tuple[bool, float, bytes]:
        data = f"{caller}/{member.node}".encode()
        weight = hashlib.blake2b(data, digest_size=8).digest()
        return _busy(member), -member.cores, weight

    count = same_domain_count + other_domain_count
    ranked = sorted(ready_members(members), key=order)
    calm = [row for row in ranked if not _busy(row)]
    chosen = [row for row in calm if row.failure_domain == domain][
        :same_domain_count
    ]
    chosen += [row for row in calm if row.failure_domain != domain]
    chosen = chosen[:count]
    rest = [row for row in ranked if row not in chosen]
    chosen += rest[: count - len(chosen)]
    return [row.caller_address for row in chosen]


def _busy(member: messages.MemberUpdate) -> bool:
    return member.load >= node_load.BUSY_LOAD
