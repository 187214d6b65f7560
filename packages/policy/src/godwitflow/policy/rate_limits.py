"""The rate limits that upstreams state in their responses.

An upstream in need states how many calls a second it takes from all nodes
together. The limit holds until a later response of the same instance
states another one or none. Responses arrive out of order and peers pass
on what they have heard, so everything known carries the time at which it
was heard, and the latest wins.
"""

import dataclasses
import typing

from godwitflow.model import ids
from godwitflow.policy import header_decimals

# An upstream that states less is still called this often, or the end of
# its limit would never be heard.
MIN_CALLS_PER_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Stated:
    """The response states a limit."""

    calls_per_s: float


Statement = Stated | header_decimals.NotStated | header_decimals.Unreadable


def read_statement(values: typing.Sequence[bytes]) -> Statement:
    """Read the values of a response's limit header, in calls a second.

    Of several values the lowest counts. Values that are no plain decimal
    numbers are skipped.

    >>> read_statement([b"16.4"])
    Stated(calls_per_s=16.4)
    >>> read_statement([b"nan", b"8"])
    Stated(calls_per_s=8.0)
    >>> read_statement([b"-1"])
    Unreadable(text='-1')
    """
    match header_decimals.read_one(values, min):
        case float(rate):
            return Stated(max(MIN_CALLS_PER_S, rate))
        case unstated:
            return unstated


def lowest(*rates: float | None) -> float | None:
    """Return the lowest of some limits; None if there is none.

    >>> lowest(None, 8.0, 5.0)
    5.0
    """
    return min((rate for rate in rates if rate is not None), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNews:
    """What a response of an upstream said, and when a node heard it.

    ``calls_per_s`` is None if the response stated no limit. ``source`` is
    the node that received the response.
    """

    calls_per_s: float | None
    heard_at_ms: float
    source: ids.NodeId


@dataclasses.dataclass(slots=True)
class KnownLimit:
    """The latest news of one upstream's limit; without any, no limit.

    ``since_ms`` is when this node learned of the value.
    """

    news: LimitNews | None = None
    since_ms: float = 0.0

    @property
    def calls_per_s(self) -> float | None:
        """The limit in calls a second; None if there is none."""
        return None if self.news is None else self.news.calls_per_s

    def apply(self, news: LimitNews, now_ms: float) -> bool:
        """Apply news unless later news is known; True if the value changed.

        News from the future is taken as heard now, or it could not be
        replaced for as long.
        """
        news = dataclasses.replace(
            news, heard_at_ms=min(news.heard_at_ms, now_ms)
        )
        known = self.news
        if known is not None and news.heard_at_ms < known.heard_at_ms:
            return False
        changed = news.calls_per_s != self.calls_per_s
        self.news = news
        if changed:
            self.since_ms = now_ms
        return changed


def news_of_response(
    statement: Statement,
    call_started_at_ms: float,
    now_ms: float,
    source: ids.NodeId,
) -> LimitNews | None:
    """Return the news in a response that has just been received.

    That no limit is stated only counts as of the start of the call: the
    response may have been under way when another one stated a limit.
    """
    match statement:
        case Stated(calls_per_s):
            return LimitNews(calls_per_s, now_ms, source)
        case header_decimals.NotStated():
            return LimitNews(None, call_started_at_ms, source)
        case header_decimals.Unreadable():
            return None
