"""Follows the rate limits of upstreams, and logs and counts what they do.

Explains afterwards which limit was known on this node, since when and from
whom, and which calls the limited upstream got and did not get.
"""

import collections
import enum
import typing

from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import header_decimals
from godwitflow.policy import rate_limits
from godwitflow.tier import log as logs
from godwitflow.tier import metrics as metrics_module
from godwitflow.tier import services

SUMMARY_INTERVAL_MS = 1_000.0
UNREADABLE_INTERVAL_MS = 10_000.0
REPEAT_REPORT_MS = 2_000.0
MAX_REPORTS_PER_ROUND = 16


class CallKind(enum.Enum):
    """Why a call is made; the values are logged."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"
    TRIAL = "trial"


class LimitWatch:
    """Keeps the known limit of each upstream up to date."""

    def __init__(
        self,
        node: ids.NodeId,
        header: bytes,
        log: logs.Log,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.node = node
        self._header = header
        self._log = log
        self._metrics = metrics
        self._limited: dict[ids.UpstreamId, services.Upstream] = {}
        self._calls: dict[ids.UpstreamId, collections.Counter[str]] = {}
        self._next_summary_ms = 0.0
        self._next_unreadable_ms = 0.0
        self._to_report: dict[ids.UpstreamId, services.Upstream] = {}
        self._reported_at_ms: dict[ids.UpstreamId, float] = {}

    # News ---------------------------------------------------------------

    def on_response(
        self,
        upstream: services.Upstream,
        response: messages.Response,
        call_started_at_ms: float,
        now_ms: float,
        failed: bool,
    ) -> None:
        """Learn from a response of the upstream.

        A failed response, such as a rejection, may state a limit, but says
        nothing if it states none.
        """
        statement = rate_limits.read_statement(
            [
                value
                for name, value in response.headers
                if name.lower() == self._header
            ]
        )
        match statement:
            case header_decimals.Unreadable(text):
                self._on_unreadable(upstream, text, now_ms)
            case header_decimals.NotStated() if failed:
                return
        news = rate_limits.news_of_response(
            statement, call_started_at_ms, now_ms, self.node
        )
        if news is None:
            return
        self.apply(upstream, news, now_ms)
        if upstream.limit.calls_per_s is not None:
            self._to_report[upstream.name] = upstream

    def _on_unreadable(
        self, upstream: services.Upstream, text: str, now_ms: float
    ) -> None:
        self._metrics.count("unreadable_limits")
        if now_ms < self._next_unreadable_ms:
            return
        self._next_unreadable_ms = now_ms + UNREADABLE_INTERVAL_MS
        self._log.limited_event(
            "limit_unreadable",
            upstream=upstream.name,
            service=upstream.registration.service,
            value=text,
        )

    def apply(
        self,
        upstream: services.Upstream,
        news: rate_limits.LimitNews,
        now_ms: float,
    ) -> None:
        """Apply news of an upstream, from this node or from a peer."""
        previous = upstream.limit.calls_per_s
        if not upstream.limit.apply(news, now_ms):
            return
        if news.calls_per_s is None:
            self._limited.pop(upstream.name, None)
        else:
            self._limited[upstream.name] = upstream
        if previous is None or news.calls_per_s is None:
            self._to_report[upstream.name] = upstream
        self._metrics.count("limit_changes")
        self._log.limited_event(
            "limit_ended" if news.calls_per_s is None else "limit_known",
            upstream=upstream.name,
            service=upstream.registration.service,
            calls_per_s=news.calls_per_s,
            previous=previous,
            source=news.source,
            age_ms=round(now_ms - news.heard_at_ms, 1),
        )

    def forget(self, upstream: services.Upstream) -> None:
        """Drop an upstream that is gone or was started anew."""
        if self._limited.get(upstream.name) is upstream:
            del self._limited[upstream.name]
        self._to_report.pop(upstream.name, None)
        self._reported_at_ms.pop(upstream.name, None)

    def end_round(
        self, now_ms: float
    ) -> list[tuple[services.Upstream, rate_limits.LimitNews]]:
        """Return the news that peers should know.

        The begin and the end of a limit are passed on by each node that
        hears of it, so that they reach all nodes within a few rounds. An
        unchanged limit is repeated from time to time by the nodes that
        still hear it from the upstream.
        """
        reports: list[tuple[services.Upstream, rate_limits.LimitNews]] = []
        while self._to_report and len(reports) < MAX_REPORTS_PER_ROUND:
            name, upstream = self._to_report.popitem()
            news = upstream.limit.news
            if news is None or not self._is_due(name, news, now_ms):
                continue
            if news.calls_per_s is None:
                self._reported_at_ms.pop(name, None)
            else:
                self._reported_at_ms[name] = now_ms
            reports.append((upstream, news))
        return reports

    def _is_due(
        self, name: ids.UpstreamId, news: rate_limits.LimitNews, now_ms: float
    ) -> bool:
        reported_at_ms = self._reported_at_ms.get(name)
        if reported_at_ms is None or news.calls_per_s is None:
            return True
        own = news.source == self.node
        return own and now_ms - reported_at_ms >= REPEAT_REPORT_MS

    # Calls --------------------------------------------------------------

    def on_turned_away(self, upstream: services.Upstream, reason: str) -> None:
        """Count a call that was not made for lack of a permit."""
        self._count(upstream, reason)
        self._metrics.count("calls_without_permit", reason=reason)

    def on_call(self, upstream: services.Upstream, kind: CallKind) -> None:
        """Count a call, if the upstream is limited."""
        if upstream.limit.calls_per_s is None:
            return
        self._count(upstream, kind.value)
        self._metrics.count("limited_calls", kind=kind.value)

    def _count(self, upstream: services.Upstream, key: str) -> None:
        counts = self._calls.setdefault(upstream.name, collections.Counter())
        counts[key] += 1

    def tick(self, now_ms: float) -> None:
        """Log a summary of the calls to limited upstreams, if it is due."""
        if not self._calls or now_ms < self._next_summary_ms:
            return
        self._next_summary_ms = now_ms + SUMMARY_INTERVAL_MS
        calls, self._calls = self._calls, {}
        self._log.limited_event(
            "limited_calls",
            upstreams={
                str(name): self._summary(name, counts)
                for name, counts in calls.items()
            },
        )

    def _summary(
        self, name: ids.UpstreamId, counts: "collections.Counter[str]"
    ) -> dict[str, typing.Any]:
        upstream = self._limited.get(name)
        limit = None if upstream is None else upstream.limit.calls_per_s
        return {"calls_per_s": limit, **counts}

    def lines(self) -> list[str]:
        """Return the known limits as metrics, one line of text each."""
        return [
            metrics_module.gauge_line(
                "upstream_limit_calls_per_s",
                upstream.limit.calls_per_s or 0.0,
                upstream=str(name),
                service=str(upstream.registration.service),
            )
            for name, upstream in sorted(self._limited.items())
        ]
