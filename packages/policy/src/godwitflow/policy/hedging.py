"""When a slow call gets a second replica, and how often that may be."""

import collections

from godwitflow.policy import budget
from godwitflow.policy import calls
from godwitflow.policy import latency
from godwitflow.settings import config

BURST = 10.0
URGENT_RESERVE = 4.0
FULL_ROOM_AT = 0.5
NO_ROOM_AT = 0.9


class Hedging:
    """Keeps calls in start order and says which of them are late.

    A call is late once it takes longer than the set's recent quantile,
    which is ``delay_ms``; None until enough calls have been seen.
    The budget is a share of primary work; ``room`` shrinks it to nothing
    as slots fill, because a hedge then takes a slot from queued work. Its
    last tokens are for the most urgent rank.
    """

    def __init__(self, settings: config.Hedge) -> None:
        self.settings = settings
        self.budget = budget.ShareBudget(settings.budget_share, BURST)
        self.quantile = latency.RecentQuantile(settings.quantile)
        self.delay_ms: float | None = None
        self._in_order: collections.deque[calls.Call] = collections.deque()

    def apply(self, settings: config.Hedge) -> None:
        """Take the settings of a newer configuration."""
        self.settings = settings
        self.budget.share = settings.budget_share
        if self.quantile.quantile != settings.quantile:
            self.quantile = latency.RecentQuantile(settings.quantile)

    def track(self, call: calls.Call) -> None:
        """Watch a call that has just started."""
        self._in_order.append(call)

    def record(self, elapsed_ms: float) -> None:
        """Learn how long a call took."""
        self.quantile.record(elapsed_ms)
        late_ms = self.quantile.value_ms()
        if late_ms is not None:
            self.delay_ms = max(late_ms, self.settings.min_delay_ms)

    def next_late_at_ms(self) -> float | None:
        """Return when the oldest call still wanted turns late."""
        if self.delay_ms is None:
            return None
        queue = self._in_order
        while queue:
            call = queue[0]
            if call.wanted():
                return call.started_at_ms + self.delay_ms
            queue.popleft()
        return None

    def late(self, now_ms: float) -> list[calls.Call]:
        """Take out the calls that are late now and still wanted."""
        found: list[calls.Call] = []
        late_at_ms = self.next_late_at_ms()
        while late_at_ms is not None and late_at_ms <= now_ms:
            found.append(self._in_order.popleft())
            late_at_ms = self.next_late_at_ms()
        return found

    @staticmethod
    def room(busy_share: float) -> float:
        """Return the share of the budget that load leaves, 0 to 1.

        >>> Hedging.room(0.4), Hedging.room(0.95)
        (1.0, 0.0)
        """
        room = (NO_ROOM_AT - busy_share) / (NO_ROOM_AT - FULL_ROOM_AT)
        return min(1.0, max(0.0, room))
