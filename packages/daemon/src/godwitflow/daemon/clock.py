"""The present time, read once at the edge and passed on as a number."""

import time
import typing

MS_PER_S = 1_000.0

NowMs = typing.Callable[[], float]


def monotonic_ms() -> float:
    """Return milliseconds that only ever grow."""
    return time.monotonic() * MS_PER_S


def unix_ms() -> float:
    """Return milliseconds since 1970, for what is kept in the store."""
    return time.time() * MS_PER_S
