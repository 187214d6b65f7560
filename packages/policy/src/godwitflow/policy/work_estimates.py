"""Predicts how much work a call is, from what similar calls took.

Requests of one route may cost an upstream very different amounts of work.
The estimate is the median time of the route's calls times a ratio, which is
learned for the target, for the customer and for the size of the body. The
most specific key with enough calls decides most: its ratio counts in
proportion to its calls, and the rest comes from the next one. Nothing is
learned from calls to upstreams that are slow themselves. An observation
moves a ratio by a bounded step, as
pauses of upstreams and lost packets make single calls much longer.

Memory is bounded: the keys used least recently are dropped.
"""

import collections
import dataclasses
import math
import zlib

from godwitflow.model import ids

MAX_KEYS = 4_096
MIN_MEDIAN_MS = 0.01
MIN_RATIO = 0.1
MAX_RATIO = 20.0
MIN_STEP = 0.08  # of the logarithm, for each call
FIRST_STEP = 1.5
TRUSTED_CALLS = 3.0  # calls at which a key counts as much as the next one
MAX_CALLS = 20.0
BODY_SIZE_BASE = 4  # bodies within a factor of this are alike


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """What is known of a request before it is sent.

    ``keys`` identify the groups of requests that it belongs to, the most
    specific last.
    """

    keys: tuple[int, ...]


def features_of(
    route: str,
    target: bytes,
    customer: ids.CustomerName | None,
    body_bytes: int,
) -> Features:
    """Return the features of a request, without keeping its text."""
    size = 0
    while body_bytes:
        body_bytes //= BODY_SIZE_BASE
        size += 1
    keys = [_key("size", route, str(size))]
    if customer is not None:
        keys.append(_key("customer", route, customer))
    keys.append(_key("target", route, target.decode("latin-1")))
    return Features(tuple(keys))


def _key(kind: str, route: str, value: str) -> int:
    return zlib.crc32(f"{kind} {route} {value}".encode())


@dataclasses.dataclass(slots=True)
class _Ratio:
    """The logarithm of a ratio, and the calls that it was learned from."""

    log: float = 0.0
    calls: float = 0.0

    def record(self, observed: float) -> None:
        """Move towards an observed ratio, by less with each call."""
        self.calls = min(MAX_CALLS, self.calls + 1.0)
        step = max(MIN_STEP, FIRST_STEP / self.calls)
        error = math.log(observed) - self.log
        self.log += min(step, max(-step, error))


class WorkEstimates:
    """Ratios of the work of requests to the median of their route."""

    def __init__(self) -> None:
        self._ratios: collections.OrderedDict[int, _Ratio] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._ratios)

    def ratio(self, features: Features) -> float:
        """Return the expected work of a request, relative to the median.

        1.0 is that of a request of which nothing is known.
        """
        result = 0.0
        for key in features.keys:
            known = self._ratios.get(key)
            if known is not None:
                weight = known.calls / (known.calls + TRUSTED_CALLS)
                result += weight * (known.log - result)
        return math.exp(result)

    def record(
        self,
        features: Features,
        elapsed_ms: float,
        median_ms: float,
    ) -> None:
        """Learn from a call that took ``elapsed_ms``.

        ``median_ms`` is the median of the route's calls.
        """
        ratio = elapsed_ms / max(median_ms, MIN_MEDIAN_MS)
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        for key in features.keys:
            known = self._ratios.get(key)
            if known is None:
                known = self._ratios[key] = _Ratio()
            self._ratios.move_to_end(key)
            known.record(ratio)
        while len(self._ratios) > MAX_KEYS:
            self._ratios.popitem(last=False)
