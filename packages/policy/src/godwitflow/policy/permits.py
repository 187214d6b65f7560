"""Permits for calls to upstreams that state a rate limit.

A limit is that of the fleet, and the share of one node is often far less
than a call a second. So no node has a share of its own: for each group of
services one node, the issuer, gives out permits for single calls as other
nodes ask for them. A permit is used at once or not at all, so nothing has
to be taken back from a node that stops, pauses or is cut off.

Issuers are chosen by rendezvous hashing over the live members. While the
issuer does not answer, the node ranked next stands in for it with a part
of the limit, which keeps the sum of both within what upstreams bear. If
the fleet is split, each side issues in proportion to its members.
"""

import dataclasses
import enum
import hashlib
import typing
import zlib

from godwitflow.model import ids

GROUP_COUNT = 4  # bounds the issuers that one query has to ask
PRIMARY_SHARE = 1.0
STANDBY_SHARE = 0.3
BURST_CALLS = 2.0
BURST_S = 0.5
URGENT_RESERVE_SHARE = 0.25
MIN_WAIT_MS = 20.0
MAX_WAIT_MS = 2_000.0
FORGET_AFTER_MS = 30_000.0
MS_PER_S = 1_000.0

Group = typing.NewType("Group", int)


class Role(enum.Enum):
    """Whether a node issues permits itself or stands in for the issuer."""

    PRIMARY = "primary"
    STANDBY = "standby"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One start of an upstream; ``started_at_ms`` is its Unix time."""

    upstream: ids.UpstreamId
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """The call may be made now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The call must not be made; the next permit may be had later."""

    wait_ms: float


Decision = Issued | Denied


def group_of(service: ids.ServiceName) -> Group:
    """Return the group of services whose permits one node issues."""
    return Group(zlib.crc32(service.encode()) % GROUP_COUNT)


def rank_issuers(
    live: typing.Iterable[ids.NodeId], group: Group
) -> list[ids.NodeId]:
    """Rank the live members as issuers of a group; the first one issues.

    When a member leaves, only the groups that it issued for move.
    """

    def weight(node: ids.NodeId) -> bytes:
        data = f"permits-{group}/{node}".encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return sorted(set(live), key=weight, reverse=True)


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at_ms: float


class PermitIssuer:
    """Decides on permits with one token bucket for each upstream and role."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[Instance, Role], _Bucket] = {}

    def decide(
        self,
        instance: Instance,
        calls_per_s: float,
        role: Role,
        live_share: float,
        urgent: bool,
        now_ms: float,
    ) -> Decision:
        """Issue or deny a permit for one call.

        ``live_share`` is the share of the known members that are alive.
        A part of the bucket is reserved for urgent calls.
        """
        rate_per_s = calls_per_s * live_share * _share_of(role)
        capacity = BURST_CALLS + rate_per_s * BURST_S
        bucket = self._refilled((instance, role), rate_per_s, capacity, now_ms)
        needed = 1.0 if urgent else _tokens_with_reserve(capacity)
        if bucket.tokens >= needed:
            bucket.tokens -= 1.0
            return Issued()
        wait_ms = (needed - bucket.tokens) / rate_per_s * MS_PER_S
        return Denied(min(MAX_WAIT_MS, max(MIN_WAIT_MS, wait_ms)))

    def _refilled(
        self,
        key: tuple[Instance, Role],
        rate_per_s: float,
        capacity: float,
        now_ms: float,
    ) -> _Bucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            self._forget_unused(now_ms)
            bucket = _Bucket(_tokens_with_reserve(capacity), now_ms)
            self._buckets[key] = bucket
        elapsed_s = max(0.0, now_ms - bucket.refilled_at_ms) / MS_PER_S
        bucket.tokens = min(capacity, bucket.tokens + rate_per_s * elapsed_s)
        bucket.refilled_at_ms = now_ms
        return bucket

    def _forget_unused(self, now_ms: float) -> None:
        for key, bucket in list(self._buckets.items()):
            if now_ms - bucket.refilled_at_ms > FORGET_AFTER_MS:
                del self._buckets[key]


def _tokens_with_reserve(capacity: float) -> float:
    """Return how many tokens a call needs that is not urgent."""
    return 1.0 + URGENT_RESERVE_SHARE * capacity


def _share_of(role: Role) -> float:
    match role:
        case Role.PRIMARY:
            return PRIMARY_SHARE
        case Role.STANDBY:
            return STANDBY_SHARE
