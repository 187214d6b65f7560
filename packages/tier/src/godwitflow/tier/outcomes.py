"""Learns from the outcomes of calls how each upstream does."""

import typing

from godwitflow.http1 import messages
from godwitflow.http1 import upstreams
from godwitflow.policy import observations
from godwitflow.policy import reported_load
from godwitflow.tier import latency_estimates
from godwitflow.tier import limit_watch as limit_watching
from godwitflow.tier import log as logs
from godwitflow.tier import notice_watch as notice_watching
from godwitflow.tier import services

MIN_MEDIAN_MS = 0.1  # latencies are divided by the median


class Outcomes:
    """Updates the health, limit and notices of upstreams.

    ``observations`` are what peers are told.
    """

    def __init__(
        self,
        now_ms: typing.Callable[[], float],
        log: logs.Log,
        limit_watch: limit_watching.LimitWatch,
        notice_watch: notice_watching.NoticeWatch,
        load_header: bytes,
    ) -> None:
        self.observations = observations.Observations()
        self._now_ms = now_ms
        self._log = log
        self._limit_watch = limit_watch
        self._notice_watch = notice_watch
        self._load_header = load_header

    def record(
        self,
        upstream: services.Upstream,
        latency: latency_estimates.LatencyEstimate,
        elapsed_ms: float,
        outcome: upstreams.Outcome,
        rejected: bool,
        work_ms: float,
    ) -> None:
        """Update an upstream's health and latency from a call's outcome.

        ``work_ms`` is the work that was expected of the call. ``rejected``
        says that the response guarantees that the upstream did not execute
        the request.
        """
        now_ms = self._now_ms()
        needed_trial = upstream.health.needs_trial(now_ms)
        self._record_limit(upstream, elapsed_ms, outcome, rejected, now_ms)
        paused = self._record_notices(upstream, outcome, now_ms)
        self._record_load(upstream, outcome, now_ms)
        match outcome:
            case upstreams.Replied() if paused:
                upstream.health.on_pause(now_ms)
            case upstreams.Replied(response) if rejected:
                self._record_rejection(upstream, response, now_ms)
            case upstreams.Replied(response) if response.status < 500:
                self._record_reply(
                    upstream, latency, elapsed_ms, now_ms, work_ms
                )
            case upstreams.Failed(upstreams.FailureReason.CANCELLED):
                self._record_cancellation(upstream, elapsed_ms, now_ms)
            case _:
                upstream.health.on_failure(now_ms)
                self.observations.record_failure(upstream.name)
        if upstream.health.needs_trial(now_ms) is not needed_trial:
            self._log.limited_event(
                "upstream_back" if needed_trial else "upstream_doubted",
                upstream=upstream.name,
                service=upstream.registration.service,
                failure_share=round(upstream.health.failure_share, 2),
                elapsed_ms=round(elapsed_ms, 1),
            )

    def _record_notices(
        self,
        upstream: services.Upstream,
        outcome: upstreams.Outcome,
        now_ms: float,
    ) -> bool:
        """Learn what the upstream says of itself.

        Return whether it named a time, and so is neither slow nor faulty.
        A 421 (Misdirected Request) is the response of another upstream.
        """
        match outcome:
            case upstreams.Replied(response) if (
                response.status != messages.MISDIRECTED
            ):
                return self._notice_watch.on_response(
                    upstream, response, now_ms
                )
            case _:
                return False

    def _record_limit(
        self,
        upstream: services.Upstream,
        elapsed_ms: float,
        outcome: upstreams.Outcome,
        rejected: bool,
        now_ms: float,
    ) -> None:
        """Learn the upstream's rate limit from its response.

        A 421 (Misdirected Request) is the response of another upstream.
        """
        match outcome:
            case upstreams.Replied(response) if (
                response.status != messages.MISDIRECTED
            ):
                self._limit_watch.on_response(
                    upstream,
                    response,
                    now_ms - elapsed_ms,
                    now_ms,
                    rejected or response.status >= 500,
                )

    def _record_load(
        self,
        upstream: services.Upstream,
        outcome: upstreams.Outcome,
        now_ms: float,
    ) -> None:
        """Learn the load that the upstream reports."""
        match outcome:
            case upstreams.Replied(response) if (
                response.status != messages.MISDIRECTED
            ):
                report = reported_load.read_report(
                    [
                        value
                        for name, value in response.headers
                        if name.lower() == self._load_header
                    ]
                )
                if report is not None:
                    upstream.health.load.apply(report, now_ms)

    def _record_rejection(
        self,
        upstream: services.Upstream,
        response: messages.Response,
        now_ms: float,
    ) -> None:
        upstream.health.on_rejection(now_ms)
        self.observations.record_failure(upstream.name)
        if response.status == messages.MISDIRECTED:
            upstream.misdirected = True
            upstream.pool.close_idle()

    def _record_reply(
        self,
        upstream: services.Upstream,
        latency: latency_estimates.LatencyEstimate,
        elapsed_ms: float,
        now_ms: float,
        work_ms: float,
    ) -> None:
        median_ms = max(MIN_MEDIAN_MS, latency.median.value)
        work_ms = max(MIN_MEDIAN_MS, work_ms)
        upstream.health.on_reply(now_ms, elapsed_ms, median_ms, work_ms)
        self.observations.record_reply(upstream.name, elapsed_ms / work_ms)
        latency.median.record(elapsed_ms)
        latency.hedge_delay.record(elapsed_ms)

    def _record_cancellation(
        self, upstream: services.Upstream, elapsed_ms: float, now_ms: float
    ) -> None:
        if upstream.health.on_cancelled(now_ms, now_ms - elapsed_ms):
            self.observations.record_failure(upstream.name)
