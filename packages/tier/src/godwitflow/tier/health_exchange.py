"""Exchanges observations of upstream health with peers.

The cost per node does not grow with the fleet: in each round a node sends
one datagram, which reports a bounded number of upstreams, to each of a
few random peers. It sends nothing if there is nothing notable to report.
"""

import typing

from godwitflow.policy import observations
from godwitflow.tier import dispatcher as dispatching
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

    def on_upstream_reports(self, message: messages.UpstreamReports) -> None:
        """Apply the observations of a peer."""
        for report in message.reports:
            self._dispatcher.apply_observation(_from_wire(report))


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
