"""A virtual clock that runs events in the order of their time."""

import heapq
import itertools
import typing


class Clock:
    """Events in a heap; ``now_ms`` jumps from one to the next."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, typing.Callable, tuple]] = []
        self._serial = itertools.count()

    def at(
        self, time_ms: float, work: typing.Callable, *args: typing.Any
    ) -> None:
        """Run work at a time, or now where that has passed."""
        when_ms = time_ms if time_ms > self.now_ms else self.now_ms
        event = (when_ms, next(self._serial), work, args)
        heapq.heappush(self._events, event)

    def after(
        self, delay_ms: float, work: typing.Callable, *args: typing.Any
    ) -> None:
        """Run work after a delay, which is not negative."""
        when_ms = self.now_ms + delay_ms
        event = (when_ms, next(self._serial), work, args)
        heapq.heappush(self._events, event)

    def run(self, until_ms: float) -> None:
        """Run every event up to a time."""
        events = self._events
        pop = heapq.heappop
        while events and events[0][0] <= until_ms:
            self.now_ms, _, work, args = pop(events)
            work(*args)
        self.now_ms = until_ms
