"""Token buckets that limit extra requests and call rates."""


class ShareBudget:
    """Allows extra requests up to a share of the primary requests.

    Each primary request adds ``share`` tokens and each extra request
    takes one whole token, so the extra load exceeds the share only
    briefly. The bucket holds at most ``burst`` tokens, which limits what
    idle periods can accumulate.

    >>> budget = ShareBudget(share=0.5, burst=2.0)
    >>> for _ in range(4):
    ...     budget.on_primary()
    >>> [budget.try_acquire() for _ in range(3)]
    [True, True, False]
    """

    __slots__ = ("burst", "share", "tokens")

    def __init__(
        self, share: float, burst: float, initial: float = 0.0
    ) -> None:
        self.share = share
        self.burst = burst
        self.tokens = initial

    def on_primary(self, count: int = 1) -> None:
        """Add the tokens for ``count`` primary requests."""
        self.tokens = min(self.burst, self.tokens + self.share * count)

    def try_acquire(self, reserve: float = 0.0) -> bool:
        """Take a token if that leaves ``reserve`` tokens in the bucket."""
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True


class RateLimiter:
    """A token bucket that limits a rate of calls, such as to the store."""

    __slots__ = ("_at_ms", "burst", "rate_per_s", "tokens")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self._at_ms = 0.0

    def try_acquire(self, now_ms: float) -> bool:
        """Take a token; False if the rate allows no call now."""
        self._refill(now_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._at_ms) / 1_000.0
        self._at_ms = now_ms
        refilled = self.tokens + elapsed_s * self.rate_per_s
        self.tokens = min(self.burst, refilled)
