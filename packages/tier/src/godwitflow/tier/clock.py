"""The monotonic clock that a node uses for all timers and decisions.

Unlike ``time.monotonic()`` it includes time in which the VM is
suspended. Changes of the system time do not affect it.
"""

import time
import typing

MS_PER_S = 1_000.0


def now_ms() -> float:
    """Return the time since the VM's boot, in milliseconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


def _boottime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_monotonic_clock(reactor: typing.Any) -> None:
    """Make a reactor's timers use this clock.

    By default Twisted uses the system time, which may jump.
    """
    reactor.seconds = _boottime_s
