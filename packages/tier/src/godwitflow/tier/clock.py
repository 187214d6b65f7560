"""The steady clock that every decision of a node goes by.

It counts the time that a VM is suspended, and no step of the time of
day moves it.
"""

import time
import typing

MS_PER_S = 1_000.0


def now_ms() -> float:
    """Return the time since the VM's start, in milliseconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


def _boottime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_monotonic_clock(reactor: typing.Any) -> None:
    """Make a reactor's timers go by the steady clock.

    Twisted's own go by the time of day, which may jump.
    """
    reactor.seconds = _boottime_s
