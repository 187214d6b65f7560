"""Quotas of customers, kept by the whole fleet.

Each customer's quota is issued by one node, the issuer, from a token
bucket. A share of each node would often be less than a request a second,
so other nodes ask the issuer. To customers well within their quota it
grants some tokens in reserve, which a node spends later without asking.

In a window the fleet may exceed the quota by a spare amount. It pays for
what is not under the issuer's control: tokens in reserve, the node that
stands in while the issuer is silent, and the time until the sides of a
split fleet notice that they are split. Each of these takes a fixed part of
it, so that their sum stays within. The part that is left is issued with the
quota, so that a customer at its limit is not refused for a request that
arrives a little earlier than it was sent by the operator's count.
"""

import dataclasses
import enum
import random
import zlib

from godwitflow.model import ids
from godwitflow.policy import customers
from godwitflow.policy import permits

GROUP_COUNT = 16  # groups of customers, each with one issuer
FIRST_GROUP = 1_000  # groups of services have lower numbers
ISSUED_PART = 0.3  # of the spare requests
RESERVE_PART = 0.2
STANDBY_PART = 0.1
TAKEOVER_PART = 0.2
START_PART = 0.15
# After a restart of all nodes no reserves are left, and no other issuer.
RESTART_PART = 0.4
# Nodes notice a split within this time of each other.
TAKEOVER_MS = 1_500.0
RESERVE_LIFETIME_MS = 10_000.0
RESERVE_FILL = 0.5  # of the bucket, below which nothing is held in reserve
MIN_WAIT_MS = 20.0
MAX_WAIT_MS = 2_000.0
ROUNDING_DIGITS = 6  # sums of many refills are not exact
SPREAD_REQUESTS = 5.0
MIN_SPREAD_S = 0.3
MAX_SPREAD_S = 2.0
MS_PER_S = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """By how much the fleet may exceed a quota in any window.

    That is the share ``overshoot`` of what the quota allows in a window,
    and ``slack`` requests.
    """

    window_ms: float = 5_000.0
    overshoot: float = 0.1
    slack: float = 20.0

    def spare(self, quota: customers.Quota) -> float:
        """Return the requests beyond the quota in one window.

        >>> QuotaBounds().spare(customers.Quota(20.0, 20.0))
        32.0
        """
        window_s = self.window_ms / MS_PER_S
        allowed = quota.rate_per_s * window_s + quota.burst
        return self.overshoot * allowed + self.slack


class Role(enum.Enum):
    """How a node issues a quota.

    ``NEW_PRIMARY`` has just taken over from a node that may still issue.
    """

    PRIMARY = "primary"
    NEW_PRIMARY = "new_primary"
    STANDBY = "standby"


@dataclasses.dataclass(frozen=True, slots=True)
class Authority:
    """What part of a quota a node may issue.

    ``share`` is that of the fleet's nodes which the node can reach. It
    issues in its role since ``since_ms``. A new bucket holds ``start_part``
    of the spare requests.
    """

    role: Role
    share: float
    since_ms: float
    start_part: float = START_PART


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The request may run; ``reserve`` more tokens may be spent later."""

    reserve: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """The quota is used up; the next token may be had in ``wait_ms``."""

    wait_ms: float


Decision = Grant | Denial


def group_of(customer: ids.CustomerName) -> permits.Group:
    """Return the group of customers whose quotas one node issues."""
    number = zlib.crc32(customer.encode()) % GROUP_COUNT
    return permits.Group(FIRST_GROUP + number)


def all_groups() -> list[permits.Group]:
    """Return the groups of customers."""
    return [permits.Group(FIRST_GROUP + n) for n in range(GROUP_COUNT)]


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The tokens of one customer.

    ``credit`` is what is left of the tokens that it got once, at its start,
    as ``start_part`` of the spare requests; it is spent last, and lost a
    window later. ``reserves`` holds the expiry times of each node's reserve
    tokens.
    """

    tokens: float
    refilled_at_ms: float
    credit: float = 0.0
    start_part: float = 0.0
    reserves: dict[ids.NodeId, list[float]] = dataclasses.field(
        default_factory=dict
    )

    def take(self) -> bool:
        """Take a token; False if there is none."""
        if round(self.tokens, ROUNDING_DIGITS) >= 1.0:
            self.tokens -= 1.0
        elif round(self.credit, ROUNDING_DIGITS) >= 1.0:
            self.credit -= 1.0
        else:
            return False
        return True

    def drop_reserves(
        self, node: ids.NodeId, held: int, now_ms: float
    ) -> None:
        """Drop the tokens that have expired, or that a node has spent."""
        for name, times in list(self.reserves.items()):
            kept = [at_ms for at_ms in times if at_ms > now_ms]
            if name == node:
                kept = kept[len(kept) - min(held, len(kept)) :]
            if kept:
                self.reserves[name] = kept
            else:
                del self.reserves[name]


class QuotaIssuer:
    """Decides on requests with a token bucket for each customer and role."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self.bounds = bounds
        self._buckets: dict[tuple[ids.CustomerName, bool], _Bucket] = {}

    def forget_all(self) -> None:
        """Start all buckets anew, as others may have issued meanwhile."""
        self._buckets.clear()

    def forget(self, group: permits.Group) -> None:
        """Drop the buckets of a group that another node issues now."""
        for key in list(self._buckets):
            if group_of(key[0]) == group:
                del self._buckets[key]

    def decide(
        self,
        customer: customers.Customer,
        authority: Authority,
        node: ids.NodeId,
        held: int,
        needed: bool,
        now_ms: float,
    ) -> Decision:
        """Grant or deny one request of a customer that came to ``node``.

        ``held`` is how many tokens the node still has in reserve. Unless a
        token is ``needed``, only the reserve is filled up.
        """
        if customer.quota is None:
            return Grant()
        rate_per_s, capacity = self._flow(customer.quota, authority)
        bucket = self._refilled(
            customer, authority, rate_per_s, capacity, now_ms
        )
        bucket.drop_reserves(node, held, now_ms)
        if needed:
            if not bucket.take():
                return Denial(_wait_ms(bucket.tokens, rate_per_s))
        if held or authority.role is not Role.PRIMARY:
            return Grant()
        if not self._may_reserve(customer.quota, bucket, capacity):
            return Grant()
        bucket.tokens -= 1.0
        expires_at_ms = now_ms + RESERVE_LIFETIME_MS
        bucket.reserves.setdefault(node, []).append(expires_at_ms)
        return Grant(reserve=1)

    def _flow(
        self, quota: customers.Quota, authority: Authority
    ) -> tuple[float, float]:
        """Return the tokens a second and the capacity of a bucket.

        The larger side of a split fleet also uses the part of the spare
        that is for takeovers; there is one such side at most.
        """
        spare = self.bounds.spare(quota)
        window_s = self.bounds.window_ms / MS_PER_S
        takeover_rate = TAKEOVER_PART * spare / window_s
        full_rate = quota.rate_per_s + ISSUED_PART * spare / window_s
        rate = full_rate * authority.share
        capacity = max(1.0, quota.burst * authority.share)
        match authority.role:
            case Role.STANDBY:
                capacity = STANDBY_PART * spare
                return capacity / window_s, max(1.0, capacity)
            case Role.NEW_PRIMARY:
                return min(rate, takeover_rate), capacity
            case Role.PRIMARY if authority.share > 0.5:
                return min(full_rate, rate + takeover_rate), capacity
            case Role.PRIMARY:
                return rate, capacity

    def _refilled(
        self,
        customer: customers.Customer,
        authority: Authority,
        rate_per_s: float,
        capacity: float,
        now_ms: float,
    ) -> _Bucket:
        key = (customer.name, authority.role is Role.STANDBY)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = _Bucket(0.0, authority.since_ms)
            self._buckets[key] = bucket
        if now_ms - authority.since_ms > self.bounds.window_ms:
            bucket.credit = 0.0
        elif authority.share > 0.5 and customer.quota is not None:
            part = max(0.0, authority.start_part - bucket.start_part)
            bucket.credit += part * self.bounds.spare(customer.quota)
            bucket.start_part += part
        elapsed_s = max(0.0, now_ms - bucket.refilled_at_ms) / MS_PER_S
        bucket.tokens = min(capacity, bucket.tokens + rate_per_s * elapsed_s)
        bucket.refilled_at_ms = now_ms
        return bucket

    def _may_reserve(
        self, quota: customers.Quota, bucket: _Bucket, capacity: float
    ) -> bool:
        if bucket.tokens < max(1.0, RESERVE_FILL * capacity):
            return False
        reserved = sum(len(times) for times in bucket.reserves.values())
        return reserved + 1 <= RESERVE_PART * self.bounds.spare(quota)


def _wait_ms(tokens: float, rate_per_s: float) -> float:
    """Return when a bucket will hold a token."""
    if rate_per_s <= 0.0:
        return MAX_WAIT_MS
    wait_ms = (1.0 - tokens) / rate_per_s * MS_PER_S
    return min(MAX_WAIT_MS, max(MIN_WAIT_MS, wait_ms))


@dataclasses.dataclass(slots=True)
class NodeQuota:
    """What one node holds of a customer's quota.

    ``reserve`` has the expiry time of each token. Requests are denied
    without asking until ``denied_until_ms``.
    """

    reserve: list[float] = dataclasses.field(default_factory=list)
    denied_until_ms: float = 0.0

    def held(self, now_ms: float) -> int:
        """Return how many tokens are in reserve."""
        self.reserve = [at_ms for at_ms in self.reserve if at_ms > now_ms]
        return len(self.reserve)

    def take(self, now_ms: float) -> bool:
        """Spend a token in reserve; False if there is none."""
        if not self.held(now_ms):
            return False
        self.reserve.pop(0)
        return True


def return_after_s(
    wait_ms: float, quota: customers.Quota, rng: random.Random
) -> float:
    """Return when a caller beyond the quota may come back, in seconds.

    Callers return after the next token is there, spread over the time in
    which the quota allows a few requests, so that they do not return all
    at once.
    """
    spread_s = SPREAD_REQUESTS / quota.rate_per_s
    spread_s = min(MAX_SPREAD_S, max(MIN_SPREAD_S, spread_s))
    return wait_ms / MS_PER_S + rng.random() * spread_s
