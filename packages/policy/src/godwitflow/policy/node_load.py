"""Estimates the load of a node and whether it is busy.

Callers are given the addresses of the nodes with the most cores first,
until those are busy; this spreads a flood of requests over nodes of
different sizes. The load is estimated from the upstream calls that a node
makes, because they are nearly all of its work.
"""

CPU_MS_PER_CALL = 0.5
MIN_CORES = 0.01
WINDOW_MS = 1_000.0
BUSY_LOAD = 0.5
CALM_LOAD = 0.3


class NodeLoad:
    """The share of its cores that a node used in the last window."""

    def __init__(self, cores: float) -> None:
        self.busy = False
        self.load = 0.0
        self._cores = max(MIN_CORES, cores)
        self._calls_at_window_start = 0
        self._window_start_ms: float | None = None

    def update(self, now_ms: float, calls: int) -> bool:
        """Recompute the load at the end of a window.

        ``calls`` is the number of calls since the node started. Returns
        True if ``busy`` changed. A busy node stays busy until its load
        falls below ``CALM_LOAD``; this hysteresis keeps callers from
        being moved back and forth.
        """
        if self._window_start_ms is None:
            self._window_start_ms = now_ms
            self._calls_at_window_start = calls
            return False
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < WINDOW_MS:
            return False
        new_calls = calls - self._calls_at_window_start
        self.load = new_calls * CPU_MS_PER_CALL / elapsed_ms / self._cores
        self._calls_at_window_start = calls
        self._window_start_ms = now_ms
        before = self.busy
        threshold = CALM_LOAD if before else BUSY_LOAD
        self.busy = self.load >= threshold
        return self.busy is not before
