"""A running estimate of one quantile of recent values."""

STEP_SHARE = 0.08


class RunningQuantile:
    """Moves up by ``quantile`` and down by the rest, a step a value.

    The step is a share of the estimate, so it adapts to any scale and
    forgets old values.

    >>> estimate = RunningQuantile(0.5, 10.0)
    >>> for _ in range(200):
    ...     estimate.record(20.0)
    >>> 18.0 < estimate.value < 22.0
    True
    """

    __slots__ = ("quantile", "value")

    def __init__(self, quantile: float, initial: float) -> None:
        self.quantile = quantile
        self.value = initial

    def record(self, value: float) -> None:
        """Learn one value."""
        step = STEP_SHARE * self.value
        if value > self.value:
            self.value += step * self.quantile
        else:
            self.value -= step * (1.0 - self.quantile)
