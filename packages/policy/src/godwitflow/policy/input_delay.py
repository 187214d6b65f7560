"""How long input may have waited before it was read.

While a process is paused, datagrams wait in the kernel. They say how old
their news was when they were sent, so what is read after a pause may be
older by the time of the pause.
"""

# Longer than a busy process is late; a pause counts in whole seconds.
PAUSE_THRESHOLD_MS = 500.0


class InputDelay:
    """Bounds the delay by the ticks of a periodic task.

    All input is read between two ticks. What is read now has therefore come
    since the tick before the last one. After a pause, either a tick or
    input may be the first to be processed.
    """

    def __init__(self, now_ms: float) -> None:
        self._last_tick_ms = now_ms
        self._tick_before_ms = now_ms

    def on_tick(self, now_ms: float) -> None:
        """Record that the periodic task runs."""
        self._tick_before_ms = self._last_tick_ms
        self._last_tick_ms = now_ms

    def max_ms(self, now_ms: float) -> float:
        """Return how long input may have waited; 0 unless there was a pause.

        >>> delay = InputDelay(0.0)
        >>> delay.on_tick(100.0)
        >>> delay.max_ms(150.0), delay.max_ms(8_000.0)
        (0.0, 8000.0)
        >>> delay.on_tick(8_000.0)
        >>> delay.max_ms(8_010.0)
        7910.0
        >>> delay.on_tick(8_100.0)
        >>> delay.max_ms(8_110.0)
        0.0
        """
        waited_ms = now_ms - self._tick_before_ms
        return waited_ms if waited_ms > PAUSE_THRESHOLD_MS else 0.0
