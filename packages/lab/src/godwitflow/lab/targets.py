"""The targets of the scenarios, from the users' promises."""

import dataclasses
import typing

from godwitflow.lab import measure

Rows = dict[tuple[str, str], measure.Row]
"""The rows of one scenario, deployment and seed by variant, priority."""

SLACK = 1e-9


@dataclasses.dataclass(frozen=True)
class Verdict:
    """One target, what was measured, and whether it holds."""

    text: str
    measured: str
    holds: bool


class Case:
    """One run of a scenario, with the steady run of the same seed."""

    def __init__(self, rows: Rows, steady: Rows) -> None:
        self.rows = rows
        self.steady = steady
        self.names = [
            name for variant, name in rows if variant == "godwitflow"
        ]

    def ours(self, place: int) -> measure.Row:
        """Return our row of the priority at a place."""
        return self.rows[("godwitflow", self.names[place])]

    def naive(self, place: int) -> measure.Row:
        """Return the naive row of the priority at a place."""
        return self.rows[("naive", self.names[place])]

    def steady_p99_ms(self) -> float:
        """Return our most urgent p99 in ``steady``."""
        return self.steady[("godwitflow", self.names[0])].p99_ms

    def all_ours(self) -> list[measure.Row]:
        """Return our row of each priority."""
        return [self.ours(place) for place in range(len(self.names))]


def _at_most(text: str, value: float, bound: float) -> Verdict:
    holds = value <= bound + SLACK
    return Verdict(text, f"{value:.4g} (bound {bound:.4g})", holds)


def _at_least(text: str, value: float, bound: float) -> Verdict:
    holds = value >= bound - SLACK
    return Verdict(text, f"{value:.4g} (bound {bound:.4g})", holds)


def _extra(case: Case, bound: float) -> Verdict:
    return _at_most("extra load", case.ours(0).extra_load_ratio, bound)


def _complete(rows: list[measure.Row]) -> float:
    given = sum(row.answered for row in rows)
    full = sum(row.complete * row.answered for row in rows)
    return full / given if given else 0.0


def _complete_of_offered(row: measure.Row) -> float:
    return row.complete * row.answered / max(1, row.offered)


def _floor(row: measure.Row, text: str) -> Verdict:
    """Answered at least 95% of what was offered or of the floor."""
    wanted = min(row.offered, row.floor_share * row.capacity)
    return _at_least(text, row.in_time, 0.95 * wanted)


def _kept(row: measure.Row, text: str) -> Verdict:
    """A rank that offers its floor or more is served its floor.

    One that offers less has nearly all of it answered.
    """
    floor = row.floor_share * row.capacity
    if row.offered >= floor:
        return _at_least(text, row.served, floor)
    return _at_least(text, row.in_time, 0.95 * row.offered)


def _honest(case: Case) -> Verdict:
    wrong = sum(row.wrong for row in case.all_ours())
    return _at_most("answers with wrong coverage or mixed", wrong, 0)


def steady(case: Case) -> list[Verdict]:
    """Compare each priority's tail with the naive one."""
    found = [
        _at_most(
            f"{name} p99 ms <= naive",
            case.ours(place).p99_ms,
            case.naive(place).p99_ms,
        )
        for place, name in enumerate(case.names)
    ]
    return [*found, _extra(case, 0.02)]


def straggler(case: Case) -> list[Verdict]:
    """Check the most urgent tail, extra load and completeness."""
    ours, naive = case.ours(0), case.naive(0)
    return [
        _at_most("urgent p99 ms <= 0.5 naive", ours.p99_ms, naive.p99_ms / 2),
        _extra(case, 0.05),
        _at_least("complete", _complete(case.all_ours()), 0.999),
    ]


def flood_low(case: Case) -> list[Verdict]:
    """Check that the flood leaves the others their service."""
    bound_ms = 1.3 * case.steady_p99_ms()
    urgent = case.ours(0)
    return [
        _at_most("urgent p99 ms <= 1.3 steady", urgent.p99_ms, bound_ms),
        _at_least("urgent complete", _complete_of_offered(urgent), 0.999),
        _floor(case.ours(1), "middle answered"),
        _extra(case, 0.05),
        _at_least("useful slot time", urgent.useful_share, 0.9),
    ]


def flood_urgent(case: Case) -> list[Verdict]:
    """Check throughput, the others' floors and completeness."""
    rows = case.all_ours()
    in_time = sum(row.in_time for row in rows)
    found = [
        _at_least("answered in time", in_time, 0.85 * rows[0].capacity),
        _at_least("complete of given", _complete(rows), 0.99),
    ]
    floors = [_kept(row, f"{row.priority} floor") for row in rows[1:]]
    return found + floors


def loss(case: Case) -> list[Verdict]:
    """Check the most urgent from three seconds after a loss."""
    share = _complete_of_offered(case.ours(0))
    return [_at_least("urgent complete", share, 0.995), _honest(case)]


def repartition(case: Case) -> list[Verdict]:
    """Check snapshots, coverage and completeness."""
    share = _complete(case.all_ours())
    return [_honest(case), _at_least("complete", share, 0.995)]


def crashing(case: Case) -> list[Verdict]:
    """Check how many upstreams one fingerprint took."""
    lost = case.ours(0).crashes
    return [_at_most("upstreams lost", lost, 2), _honest(case)]


def silent(case: Case) -> list[Verdict]:
    """Check the most urgent tail, and that nothing is lost."""
    ours = case.ours(0)
    lost = sum(
        row.offered - row.answered - sum(row.refused.values())
        for row in case.all_ours()
    )
    return [
        _at_most(
            "urgent p99 ms <= 2 steady", ours.p99_ms, 2 * case.steady_p99_ms()
        ),
        _at_most("queries without answer or refusal", lost, 0),
    ]


def cold(case: Case) -> list[Verdict]:
    """State no target; check honesty alone."""
    return [_honest(case)]


CHECKS: dict[str, typing.Callable[[Case], list[Verdict]]] = {
    "steady": steady,
    "straggler": straggler,
    "flood-low": flood_low,
    "flood-urgent": flood_urgent,
    "replica-loss": loss,
    "repartition": repartition,
    "crashing-request": crashing,
    "silent-connections": silent,
    "cold-start": cold,
    "double": loss,
}
