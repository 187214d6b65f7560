"""Hedging: repeats slow calls at a second replica within a budget."""

import collections

from godwitflow.policy import budget
from godwitflow.policy import calls
from godwitflow.policy import latency
from godwitflow.settings import config

BURST_TOKENS = 10.0
URGENT_RESERVE_TOKENS = 4.0  # only the most urgent rank may use these
FULL_BUDGET_BUSY_SHARE = 0.5  # the budget is reduced above this share
NO_BUDGET_BUSY_SHARE = 0.9  # nothing is hedged from this share on


class Hedging:
    """Detects late calls and limits how many of them are hedged.

    A call is late once it runs longer than ``delay_ms``, a recent
    quantile of the replica set's call times. ``delay_ms`` is None until
    enough calls have been recorded.

    The budget is a share of the primary calls. ``budget_factor`` reduces
    it to zero as the slots fill up, because a hedge then takes a slot
    from queued work. The last tokens are reserved for the most urgent
    rank.
    """

    def __init__(self, settings: config.Hedge) -> None:
        self.settings = settings
        self.budget = budget.ShareBudget(settings.budget_share, BURST_TOKENS)
        self.quantile = latency.RecentQuantile(settings.quantile)
        self.delay_ms: float | None = None
        self._in_start_order: collections.deque[calls.Call] = (
            collections.deque()
        )

    def update_settings(self, settings: config.Hedge) -> None:
        """Apply the settings of a newer configuration."""
        self.settings = settings
        self.budget.share = settings.budget_share
        if self.quantile.quantile != settings.quantile:
            self.quantile = latency.RecentQuantile(settings.quantile)

    def track(self, call: calls.Call) -> None:
        """Add a call that has just started."""
        self._in_start_order.append(call)

    def record(self, elapsed_ms: float) -> None:
        """Record how long a call took."""
        self.quantile.record(elapsed_ms)
        late_ms = self.quantile.value_ms()
        if late_ms is not None:
            self.delay_ms = max(late_ms, self.settings.min_delay_ms)

    def next_late_at_ms(self) -> float | None:
        """Return when the oldest call with unfinished jobs becomes late."""
        if self.delay_ms is None:
            return None
        queue = self._in_start_order
        while queue:
            call = queue[0]
            if call.is_unfinished():
                return call.started_at_ms + self.delay_ms
            queue.popleft()
        return None

    def take_late(self, now_ms: float) -> list[calls.Call]:
        """Remove and return the late calls that have unfinished jobs."""
        late: list[calls.Call] = []
        late_at_ms = self.next_late_at_ms()
        while late_at_ms is not None and late_at_ms <= now_ms:
            late.append(self._in_start_order.popleft())
            late_at_ms = self.next_late_at_ms()
        return late

    @staticmethod
    def budget_factor(busy_share: float) -> float:
        """Return the usable share of the budget at this load, 0 to 1.

        >>> Hedging.budget_factor(0.4), Hedging.budget_factor(0.95)
        (1.0, 0.0)
        """
        factor = (NO_BUDGET_BUSY_SHARE - busy_share) / (
            NO_BUDGET_BUSY_SHARE - FULL_BUDGET_BUSY_SHARE
        )
        return min(1.0, max(0.0, factor))
