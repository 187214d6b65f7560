"""When nodes and the store were disturbed.

The guarantees with a time limit hold for a node that has not been disturbed
for some time, while the store has not been disturbed either.
"""

import collections
import math

from godwitflow.standins import fixtures


class Disturbances:
    """Intervals in which single nodes, or the store, were disturbed."""

    def __init__(self) -> None:
        self._store: list[tuple[float, float]] = []
        self._nodes: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )

    def add_store(self, start_s: float, end_s: float) -> None:
        """Record that the store was disturbed."""
        self._store.append((start_s, end_s))

    def add_node(self, node: str, start_s: float, end_s: float) -> None:
        """Record that a node, or its way to the store, was disturbed."""
        self._nodes[node].append((start_s, end_s))

    def store_is_stable(self, at_s: float) -> bool:
        """Return whether the store was stable at a point in time.

        >>> disturbances = Disturbances()
        >>> disturbances.add_store(10.0, 11.0)
        >>> [disturbances.store_is_stable(at_s) for at_s in (9.0, 14.0, 16.0)]
        [True, False, True]
        """
        return _is_clear(self._store, at_s)

    def undisturbed(self, node: str, from_s: float, to_s: float) -> bool:
        """Return whether a node and the store were undisturbed for long.

        That has to hold from a point in time until another one.
        """
        window_s = (from_s - fixtures.STABLE_WINDOW_S, to_s)
        return not any(
            start_s <= window_s[1] and window_s[0] <= end_s
            for start_s, end_s in self._nodes[node] + self._store
        )


def _is_clear(intervals: list[tuple[float, float]], at_s: float) -> bool:
    earliest_s = at_s - fixtures.STABLE_WINDOW_S
    return not any(
        start_s <= at_s and earliest_s <= end_s for start_s, end_s in intervals
    )


class Ongoing:
    """Turns the moments at which a node is seen disturbed into intervals."""

    def __init__(self, disturbances: Disturbances, max_gap_s: float) -> None:
        self._disturbances = disturbances
        self._max_gap_s = max_gap_s
        self._seen_at_s: dict[str, float] = {}

    def observe(self, node: str, now_s: float) -> None:
        """Record that a node is disturbed now, and has been since seen."""
        seen_at_s = self._seen_at_s.get(node, -math.inf)
        start_s = now_s
        if now_s - seen_at_s <= self._max_gap_s:
            start_s = seen_at_s
        self._disturbances.add_node(node, start_s, now_s)
        self._seen_at_s[node] = now_s
