"""Counts the bytes a node exchanges, by purpose and by failure domain.

Bytes between failure domains cost more than bytes within one, in money and
in latency. The counts show which kind of traffic crosses a border.
"""

import enum

from godwitflow.http1 import byte_count
from godwitflow.model import ids
from godwitflow.tier import metrics


class Purpose(enum.Enum):
    """What traffic is for; the values are labels of the metrics.

    A copy is counted by the node that fetches it only.
    """

    UPSTREAM_CALLS = "upstream_calls"
    FETCHED_COPIES = "fetched_copies"
    MEMBERSHIP = "membership"
    ANNOUNCEMENTS = "announcements"
    UPSTREAM_REPORTS = "upstream_reports"
    PERMITS = "permits"
    QUOTAS = "quotas"


class Locality(enum.Enum):
    """Where the peer is, relative to this node's failure domain."""

    SAME_DOMAIN = "same_domain"
    OTHER_DOMAIN = "other_domain"
    UNKNOWN = "unknown"


class Traffic:
    """The byte counts of one node."""

    def __init__(self, own_domain: ids.FailureDomain) -> None:
        self._own_domain = own_domain
        self._counts: dict[tuple[Purpose, Locality], byte_count.ByteCount] = {}

    def count_for(
        self, purpose: Purpose, domain: ids.FailureDomain | None
    ) -> byte_count.ByteCount:
        """Return the count of a purpose and a peer's failure domain.

        ``domain`` is None if the peer is not known.
        """
        key = (purpose, self._locality(domain))
        count = self._counts.get(key)
        if count is None:
            count = byte_count.ByteCount()
            self._counts[key] = count
        return count

    def _locality(self, domain: ids.FailureDomain | None) -> Locality:
        if domain is None:
            return Locality.UNKNOWN
        if domain == self._own_domain:
            return Locality.SAME_DOMAIN
        return Locality.OTHER_DOMAIN

    def lines(self) -> list[str]:
        """Return the counts as lines of the metrics page."""
        return [
            metrics.gauge_line(
                "bytes_total",
                amount,
                purpose=purpose.value,
                locality=locality.value,
                direction=direction,
            )
            for (purpose, locality), count in self._counts.items()
            for direction, amount in (
                ("sent", count.sent),
                ("received", count.received),
            )
        ]

    def summary(self) -> dict[str, list[int]]:
        """Return sent and received bytes by purpose and locality, for logs."""
        return {
            f"{purpose.value}/{locality.value}": [count.sent, count.received]
            for (purpose, locality), count in self._counts.items()
        }
