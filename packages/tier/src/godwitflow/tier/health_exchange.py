"""Exchanges observations of upstreams with peers: health and rate limits.

The cost per node does not grow with the fleet: in each round a node sends
one datagram, which reports a bounded number of upstreams, to each of a
few random peers. It sends nothing if there is nothing notable to report.
"""

import typing

from godwitflow.model import ids
from godwitflow.policy import observations
from godwitflow.policy import rate_limits
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import services
from godwitflow.wire import messages

ROUND_MS = 400.0
PEERS_PER_ROUND = 4

SendToRandom = typing.Callable[[messages.Message, int], None]


class HealthExchange:
    """Sends this node's observations, and applies those of peers."""

    def __init__(
        self, dispatcher: dispatching.Dispatcher, send_to_random: SendToRandom
    ) -> None:
        self._dispatcher = dispatcher
        self._send_to_random = send_to_random
        self._last_round_ms = 0.0

    def tick(self) -> None:
        """End the round if it is due, and send its observations, if any."""
        now_ms = self._dispatcher.now_ms()
        if now_ms - self._last_round_ms < ROUND_MS:
            return
        self._last_round_ms = now_ms
        observed = self._dispatcher.end_observation_round()
        if observed:
            reports = tuple(_to_wire(observation) for observation in observed)
            message = messages.UpstreamReports(reports)
            self._send_to_random(message, PEERS_PER_ROUND)
        limits = self._dispatcher.limit_watch.end_round(now_ms)
        if limits:
            self._send_to_random(
                messages.LimitReports(
                    tuple(
                        _limit_to_wire(upstream, news, now_ms)
                        for upstream, news in limits
                    )
                ),
                PEERS_PER_ROUND,
            )

    def on_limit_reports(
        self, sender: ids.NodeId, message: messages.LimitReports
    ) -> None:
        """Learn the limits that a peer has heard of."""
        now_ms = self._dispatcher.now_ms()
        for report in message.reports:
            upstream = self._dispatcher.find_upstream(
                report.upstream, report.started_at_ms
            )
            if upstream is not None:
                news = rate_limits.LimitNews(
                    report.calls_per_s, now_ms - report.age_ms, sender
                )
                self._dispatcher.limit_watch.apply(upstream, news, now_ms)

    def on_upstream_reports(self, message: messages.UpstreamReports) -> None:
        """Apply the observations of a peer."""
        for report in message.reports:
            self._dispatcher.apply_observation(_from_wire(report))


def _limit_to_wire(
    upstream: services.Upstream, news: rate_limits.LimitNews, now_ms: float
) -> messages.LimitReport:
    return messages.LimitReport(
        upstream.name,
        upstream.registration.started_at_ms,
        news.calls_per_s,
        round(now_ms - news.heard_at_ms, 1),
    )


def _to_wire(
    observation: observations.Observation,
) -> messages.UpstreamReport:
    return messages.UpstreamReport(
        observation.upstream,
        observation.replies,
        round(observation.latency_ratio, 2),
        observation.failures,
    )


def _from_wire(report: messages.UpstreamReport) -> observations.Observation:
    return observations.Observation(
        report.upstream,
        max(0, report.replies),
        max(0.0, report.latency_ratio),
        max(0, report.failures),
    )
