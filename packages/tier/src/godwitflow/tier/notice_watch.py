"""Follows what upstreams say of themselves, and logs and counts it."""

import random
import typing

from godwitflow.http1 import messages
from godwitflow.policy import header_decimals
from godwitflow.policy import registrations
from godwitflow.policy import upstream_notices
from godwitflow.tier import log as logs
from godwitflow.tier import metrics as metrics_module
from godwitflow.tier import services

RETRY_AFTER = b"retry-after"
LEAVES = b"1"
SERVICE_UNAVAILABLE = 503
DEFAULT_DRAIN_MS = 3_000.0


class NoticeWatch:
    """Keeps the notices of each upstream up to date.

    ``drain_ms`` is for how long an upstream that leaves still takes calls.
    """

    def __init__(
        self,
        leaving_header: bytes,
        log: logs.Log,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self.drain_ms = DEFAULT_DRAIN_MS
        self._leaving_header = leaving_header
        self._log = log
        self._metrics = metrics
        self._random = rng
        self._book = upstream_notices.NoticeBook()
        self._paused: set[services.Upstream] = set()
        self._unreadable: set[str] = set()

    def notices_of(
        self, registration: registrations.Registration
    ) -> upstream_notices.Notices:
        """Return the notices of a registered instance."""
        return self._book.of(registration.upstream, registration.started_at_ms)

    def on_response(
        self,
        upstream: services.Upstream,
        response: messages.Response,
        now_ms: float,
    ) -> bool:
        """Learn from a response; True if it names a time without calls."""
        if self._says_that_it_leaves(response):
            self._on_leaving(upstream, now_ms)
        if response.status != SERVICE_UNAVAILABLE:
            return False
        statement = upstream_notices.read_pause(_values(response, RETRY_AFTER))
        match statement:
            case upstream_notices.PauseStated(pause_ms):
                self._on_pause(upstream, pause_ms, now_ms)
                return True
            case header_decimals.Unreadable(text):
                self._on_unreadable(upstream, text)
        return False

    def _says_that_it_leaves(self, response: messages.Response) -> bool:
        value = messages.find_header(response.headers, self._leaving_header)
        return value is not None and value.strip() == LEAVES

    def _on_leaving(self, upstream: services.Upstream, now_ms: float) -> None:
        if not upstream.notices.on_leaving(now_ms, self.drain_ms):
            return
        self._metrics.count("upstream_notices", kind="leaving")
        self._log.limited_event(
            "upstream_leaving",
            upstream=upstream.name,
            service=upstream.registration.service,
            registered_as=upstream.registration.state.value,
        )

    def _on_pause(
        self, upstream: services.Upstream, pause_ms: float, now_ms: float
    ) -> None:
        left_ms = max(0.0, upstream.notices.paused_until_ms - now_ms)
        upstream.notices.on_pause(now_ms, pause_ms, self._random.random())
        self._paused.add(upstream)
        self._metrics.count("upstream_notices", kind="paused")
        self._log.limited_event(
            "upstream_paused",
            upstream=upstream.name,
            service=upstream.registration.service,
            pause_ms=round(pause_ms, 1),
            earlier_left_ms=round(left_ms, 1),
        )

    def _on_unreadable(self, upstream: services.Upstream, text: str) -> None:
        self._metrics.count("upstream_notices", kind="unreadable")
        if upstream.name in self._unreadable:
            return
        self._unreadable.add(upstream.name)
        self._log.limited_event(
            "pause_unreadable",
            upstream=upstream.name,
            service=upstream.registration.service,
            value=text,
        )

    def forget(self, upstream: services.Upstream) -> None:
        """Stop following an upstream that is gone or was started anew."""
        self._paused.discard(upstream)
        self._unreadable.discard(upstream.name)

    def tick(self, now_ms: float) -> None:
        """Log the pauses that have ended."""
        ended = [
            upstream
            for upstream in self._paused
            if now_ms >= upstream.notices.paused_until_ms
        ]
        for upstream in ended:
            self._paused.discard(upstream)
            self._log.limited_event(
                "upstream_resumed",
                upstream=upstream.name,
                service=upstream.registration.service,
            )

    def lines(self, now_ms: float) -> list[str]:
        """Return the pauses as metrics, one line of text each."""
        return [
            metrics_module.gauge_line(
                "upstream_paused_s",
                max(0.0, upstream.notices.paused_until_ms - now_ms) / 1e3,
                upstream=str(upstream.name),
            )
            for upstream in sorted(self._paused, key=lambda item: item.name)
        ]


def _values(
    response: messages.Response, name: bytes
) -> typing.Sequence[bytes]:
    return [value for key, value in response.headers if key.lower() == name]
