"""Tells a few peers what this node saw of upstreams, and hears theirs.

The cost a node does not grow with the fleet: a round is one datagram to
each of a few peers, with a bounded number of upstreams, and none where
nothing is notable.
"""

import typing

from godwitflow.policy import observations
from godwitflow.tier import dispatcher as dispatching
from godwitflow.wire import messages

ROUND_MS = 400.0
PEERS_PER_ROUND = 4

Send = typing.Callable[[messages.Message, int], None]


class HealthExchange:
    """Sends this node's observations, and applies those of peers."""

    def __init__(
        self, dispatcher: dispatching.Dispatcher, send_to_some: Send
    ) -> None:
        self._dispatcher = dispatcher
        self._send_to_random = send_to_some
        self._last_round_ms = 0.0

    def tick(self) -> None:
        """Tell peers once a round, if there is something to tell."""
        now_ms = self._dispatcher.now_ms()
        if now_ms - self._last_round_ms < ROUND_MS:
            return
        self._last_round_ms = now_ms
        seen = self._dispatcher.end_observation_round()
        if seen:
            reports = tuple(_to_wire(one) for one in seen)
            message = messages.UpstreamReports(reports)
            self._send_to_random(message, PEERS_PER_ROUND)

    def on_reports(self, message: messages.UpstreamReports) -> None:
        """Learn from what a peer saw."""
        for report in message.reports:
            self._dispatcher.apply_observation(_from_wire(report))


def _to_wire(seen: observations.Observation) -> messages.UpstreamReport:
    return messages.UpstreamReport(
        seen.upstream,
        seen.replies,
        round(seen.latency_ratio, 2),
        seen.failures,
    )


def _from_wire(report: messages.UpstreamReport) -> observations.Observation:
    return observations.Observation(
        report.upstream,
        max(0, report.replies),
        max(0.0, report.latency_ratio),
        max(0, report.failures),
    )
