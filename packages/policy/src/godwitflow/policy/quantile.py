"""A streaming estimate of one quantile of recent values."""

STEP_SHARE = 0.08


class RunningQuantile:
    """Estimates a quantile with constant memory.

    Each recorded value above the estimate raises it by ``quantile`` times
    a step; any other value lowers it by ``1 - quantile`` times the step.
    The step is a share of the estimate, so that it fits values of any
    scale and old values lose their weight.

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
        """Update the estimate with one value."""
        step = STEP_SHARE * self.value
        if value > self.value:
            self.value += step * self.quantile
        else:
            self.value -= step * (1.0 - self.quantile)
