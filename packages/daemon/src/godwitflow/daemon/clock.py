"""Clocks, in milliseconds.

The daemon reads the time; policy code is given it as a number.
"""

import time
import typing

MS_PER_S = 1_000.0

NowMs = typing.Callable[[], float]


def monotonic_ms() -> float:
    """Return the monotonic time in milliseconds, for intervals."""
    return time.monotonic() * MS_PER_S


def unix_ms() -> float:
    """Return the Unix time in milliseconds, for data in the store."""
    return time.time() * MS_PER_S
