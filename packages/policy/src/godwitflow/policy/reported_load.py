"""The load that upstreams report of themselves in their responses.

A report says how many calls run and wait, how many may run at once, and
optionally the pace: how long work takes now, in hundredths of the usual.
It is true at the moment of the response only, so it loses its weight
quickly. A report that is wrong costs an upstream calls, never all of them:
its effect is bounded.
"""

import dataclasses
import re
import typing

HALF_LIFE_MS = 250.0
MAX_WAITING_RATIO = 4.0  # calls that wait, relative to the slots
MIN_PACE = 0.5
MAX_PACE = 4.0
USUAL_PACE = 100.0
_REPORT = re.compile(
    rb"\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*(?:,\s*(\d{1,6})\s*)?"
)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream reported; ``pace`` is 1.0 as usual, 2.0 if slow."""

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


def read_report(values: typing.Sequence[bytes]) -> LoadReport | None:
    """Read the values of a response's load header; None if unreadable.

    >>> read_report([b"3,1,8,150"])
    LoadReport(running=3, waiting=1, slots=8, pace=1.5)
    >>> read_report([b"3,-1,8"]) is None
    True
    """
    if len(values) != 1:
        return None
    match = _REPORT.fullmatch(values[0])
    if match is None or not int(match[3]):
        return None
    pace = 1.0 if match[4] is None else int(match[4]) / USUAL_PACE
    return LoadReport(int(match[1]), int(match[2]), int(match[3]), pace)


@dataclasses.dataclass(slots=True)
class KnownLoad:
    """The latest report of one upstream."""

    report: LoadReport | None = None
    reported_at_ms: float = 0.0

    def apply(self, report: LoadReport, now_ms: float) -> None:
        """Replace the report by a newer one."""
        self.report = report
        self.reported_at_ms = now_ms

    def cost_factor(self, now_ms: float) -> float:
        """Return by how much a call takes longer than usual; 1.0 is usual.

        A call waits for those that wait already, and for a slot if none is
        free.
        """
        report = self.report
        if report is None:
            return 1.0
        age_ms = max(0.0, now_ms - self.reported_at_ms)
        weight = 0.5 ** (age_ms / HALF_LIFE_MS)
        full = 1.0 if report.running >= report.slots else 0.0
        ahead = full + min(MAX_WAITING_RATIO, report.waiting / report.slots)
        pace = min(MAX_PACE, max(MIN_PACE, report.pace))
        return 1.0 + weight * ((1.0 + ahead) * pace - 1.0)
