"""Collects a node's observations of upstreams to report to its peers.

In a large fleet each node makes few calls to any one upstream, so each
would need several slow or failed calls of its own before it avoids a bad
upstream. Nodes therefore report their observations to a few peers. They
report only their own, never those of peers, so that no report comes back
as a new one.
"""

import dataclasses
import typing

from godwitflow.model import ids

SLOW_RATIO = 3.0
MAX_REPORTS_PER_ROUND = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Results of the calls to one upstream in one round.

    ``latency_ratio`` is the mean of the replies' latencies, each relative
    to the median of the route's calls. It is 1.0 without replies.
    """

    upstream: ids.UpstreamId
    replies: int
    latency_ratio: float
    failures: int

    @property
    def notable(self) -> bool:
        """Whether to report it even if the upstream is not degraded."""
        return self.failures > 0 or self.latency_ratio >= SLOW_RATIO

    @property
    def severity(self) -> float:
        """How bad it is, to choose which observations to report."""
        return self.failures + self.latency_ratio


@dataclasses.dataclass(slots=True)
class _Tally:
    replies: int = 0
    ratio_sum: float = 0.0
    failures: int = 0


class Observations:
    """Counts replies and failures by upstream in the current round."""

    def __init__(self) -> None:
        self._tallies: dict[ids.UpstreamId, _Tally] = {}

    def record_reply(self, upstream: ids.UpstreamId, ratio: float) -> None:
        """Count a successful reply; ``ratio`` is its relative latency."""
        tally = self._tallies.setdefault(upstream, _Tally())
        tally.replies += 1
        tally.ratio_sum += ratio

    def record_failure(self, upstream: ids.UpstreamId) -> None:
        """Count a call that failed, was rejected or was not answered."""
        self._tallies.setdefault(upstream, _Tally()).failures += 1

    def end_round(
        self, is_degraded: typing.Callable[[ids.UpstreamId], bool]
    ) -> list[Observation]:
        """End the round and return the observations to report.

        The worst come first, at most ``MAX_REPORTS_PER_ROUND``. Healthy
        observations are reported only for upstreams that ``is_degraded``
        returns True for, so that peers learn that they have recovered.
        """
        tallies, self._tallies = self._tallies, {}
        observed = [
            _observation(name, tally) for name, tally in tallies.items()
        ]
        reports = [
            observation
            for observation in observed
            if observation.notable or is_degraded(observation.upstream)
        ]
        reports.sort(key=lambda observation: -observation.severity)
        return reports[:MAX_REPORTS_PER_ROUND]


def _observation(name: ids.UpstreamId, tally: _Tally) -> Observation:
    ratio = tally.ratio_sum / tally.replies if tally.replies else 1.0
    return Observation(name, tally.replies, ratio, tally.failures)
