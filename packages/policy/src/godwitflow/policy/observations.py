"""What a node saw of upstreams lately, for its peers to learn from.

Answers slow and failing upstreams in a large fleet: each node makes few
calls to any one upstream, so each would have to meet the same trouble
several times before it avoids it. A node tells a few peers what it saw
itself, never what it heard, so that no report comes back as new.
"""

import dataclasses
import typing

from godwitflow.model import ids

SLOW_RATIO = 3.0
REPORTS_A_ROUND = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Calls of one round to one upstream.

    ``latency_ratio`` compares the replies, on average, with those of
    all upstreams: 1 is as fast as they. It is 1 where none replied.
    """

    upstream: ids.UpstreamId
    replies: int
    latency_ratio: float
    failures: int

    @property
    def notable(self) -> bool:
        """Whether peers should know, whatever was known before."""
        return self.failures > 0 or self.latency_ratio >= SLOW_RATIO

    @property
    def severity(self) -> float:
        """How much trouble it tells of, to choose among many."""
        return self.failures + self.latency_ratio


@dataclasses.dataclass(slots=True)
class _Tally:
    replies: int = 0
    ratio_sum: float = 0.0
    failures: int = 0


class Observations:
    """Counts the calls of the round under way."""

    def __init__(self) -> None:
        self._tallies: dict[ids.UpstreamId, _Tally] = {}

    def record_reply(self, upstream: ids.UpstreamId, ratio: float) -> None:
        """Count a good reply."""
        tally = self._tallies.setdefault(upstream, _Tally())
        tally.replies += 1
        tally.ratio_sum += ratio

    def record_failure(self, upstream: ids.UpstreamId) -> None:
        """Count a call that failed, was rejected or got no answer."""
        self._tallies.setdefault(upstream, _Tally()).failures += 1

    def end_round(
        self, suspected: typing.Callable[[ids.UpstreamId], bool]
    ) -> list[Observation]:
        """End the round; return what peers should know, worst first.

        Upstreams that did well are reported only while ``suspected``.
        """
        tallies, self._tallies = self._tallies, {}
        found = [_observation(name, row) for name, row in tallies.items()]
        told = [one for one in found if one.notable or suspected(one.upstream)]
        told.sort(key=lambda one: -one.severity)
        return told[:REPORTS_A_ROUND]


def _observation(name: ids.UpstreamId, tally: _Tally) -> Observation:
    ratio = tally.ratio_sum / tally.replies if tally.replies else 1.0
    return Observation(name, tally.replies, ratio, tally.failures)
