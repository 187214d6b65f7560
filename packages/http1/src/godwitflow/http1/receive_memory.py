"""Limits the memory that incomplete responses take in one process.

An upstream in trouble may send a head or a body that never ends, fast or a
byte at a time. Many of them at the same time must not exhaust the memory of
the process.
"""

LIMIT_BYTES = 33_554_432
SMALL_RESPONSE_BYTES = 4_096  # responses up to this size are never dropped


class ReceiveMemory:
    """Counts the bytes of all responses that are being received.

    While they exceed the limit, each response may hold an equal share of it.
    ``dropped_count`` counts the responses that held more.
    """

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        self.held_bytes = 0
        self.dropped_count = 0
        self._limit_bytes = limit_bytes
        self._responses = 0

    def resize(self, previous_bytes: int, current_bytes: int) -> None:
        """Count what one response holds now; 0 if it is complete."""
        self.held_bytes += current_bytes - previous_bytes
        self._responses += bool(current_bytes) - bool(previous_bytes)

    def must_drop(self, response_bytes: int) -> bool:
        """Return whether a response that holds so much is to be dropped.

        >>> memory = ReceiveMemory(limit_bytes=1_000_000)
        >>> memory.resize(0, 800_000)
        >>> memory.resize(0, 400_000)
        >>> memory.must_drop(800_000), memory.must_drop(400_000)
        (True, False)
        """
        if self.held_bytes <= self._limit_bytes:
            return False
        share_bytes = self._limit_bytes / max(1, self._responses)
        must_drop = response_bytes > max(SMALL_RESPONSE_BYTES, share_bytes)
        self.dropped_count += must_drop
        return must_drop
