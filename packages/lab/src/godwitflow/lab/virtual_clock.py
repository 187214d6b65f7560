"""A virtual clock for discrete-event simulation."""

import heapq
import itertools
import typing


class Clock:
    """Runs scheduled callbacks in time order.

    ``now_ms`` advances to the time of each event as it runs.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, typing.Callable, tuple]] = []
        self._sequence = itertools.count()

    def at(
        self, time_ms: float, callback: typing.Callable, *args: typing.Any
    ) -> None:
        """Schedule a callback at a time, or now if that is in the past."""
        when_ms = time_ms if time_ms > self.now_ms else self.now_ms
        event = (when_ms, next(self._sequence), callback, args)
        heapq.heappush(self._events, event)

    def after(
        self, delay_ms: float, callback: typing.Callable, *args: typing.Any
    ) -> None:
        """Schedule a callback after a delay, which must not be negative."""
        when_ms = self.now_ms + delay_ms
        event = (when_ms, next(self._sequence), callback, args)
        heapq.heappush(self._events, event)

    def run(self, until_ms: float) -> None:
        """Run every event up to and including a time."""
        events = self._events
        pop = heapq.heappop
        while events and events[0][0] <= until_ms:
            self.now_ms, _, callback, args = pop(events)
            callback(*args)
        self.now_ms = until_ms
