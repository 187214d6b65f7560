"""The targets of each scenario, derived from the guarantees to users."""

import dataclasses
import typing

from godwitflow.lab import measure

Rows = dict[tuple[str, str], measure.Row]
"""The rows of one scenario, deployment and seed by (variant, priority)."""

TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True)
class Verdict:
    """A target, the value measured, and whether the target is met."""

    text: str
    measured: str
    holds: bool


class Case:
    """One run of a scenario, and the ``steady`` run of the same seed.

    ``priorities`` are in order of rank, the most urgent first.
    """

    def __init__(self, rows: Rows, steady: Rows) -> None:
        self.rows = rows
        self.steady = steady
        self.priorities = [
            name for variant, name in rows if variant == "godwitflow"
        ]

    def godwitflow_row(self, rank: int) -> measure.Row:
        """Return godwitflow's row for a rank."""
        return self.rows[("godwitflow", self.priorities[rank])]

    def naive_row(self, rank: int) -> measure.Row:
        """Return the naive variant's row for a rank."""
        return self.rows[("naive", self.priorities[rank])]

    def steady_p99_ms(self) -> float:
        """Return godwitflow's p99 of the most urgent rank in ``steady``."""
        return self.steady[("godwitflow", self.priorities[0])].p99_ms

    def godwitflow_rows(self) -> list[measure.Row]:
        """Return godwitflow's row for each rank."""
        return [
            self.godwitflow_row(rank) for rank in range(len(self.priorities))
        ]


def _at_most(text: str, value: float, bound: float) -> Verdict:
    holds = value <= bound + TOLERANCE
    return Verdict(text, f"{value:.4g} (bound {bound:.4g})", holds)


def _at_least(text: str, value: float, bound: float) -> Verdict:
    holds = value >= bound - TOLERANCE
    return Verdict(text, f"{value:.4g} (bound {bound:.4g})", holds)


def _extra_load(case: Case, bound: float) -> Verdict:
    return _at_most(
        "extra load", case.godwitflow_row(0).extra_load_ratio, bound
    )


def _complete_share(rows: list[measure.Row]) -> float:
    answered = sum(row.answered for row in rows)
    complete = sum(row.complete * row.answered for row in rows)
    return complete / answered if answered else 0.0


def _complete_share_of_offered(row: measure.Row) -> float:
    return row.complete * row.answered / max(1, row.offered)


def _answers_in_time(row: measure.Row, text: str) -> Verdict:
    """Check the number of answers in time.

    It must be at least 95% of the offered queries or of the floor,
    whichever is smaller.
    """
    required = min(row.offered, row.floor_share * row.capacity)
    return _at_least(text, row.in_time, 0.95 * required)


def _serves_floor(row: measure.Row, text: str) -> Verdict:
    """Check that a rank gets at least its floor.

    A rank that offers less than its floor must have 95% of its queries
    answered in time.
    """
    floor = row.floor_share * row.capacity
    if row.offered >= floor:
        return _at_least(text, row.served, floor)
    return _at_least(text, row.in_time, 0.95 * row.offered)


def _consistent(case: Case) -> Verdict:
    wrong = sum(row.wrong for row in case.godwitflow_rows())
    return _at_most("answers with wrong coverage or mixed snapshots", wrong, 0)


def steady(case: Case) -> list[Verdict]:
    """Check each p99 against the naive variant, and the extra load."""
    verdicts = [
        _at_most(
            f"{name} p99 ms <= naive",
            case.godwitflow_row(rank).p99_ms,
            case.naive_row(rank).p99_ms,
        )
        for rank, name in enumerate(case.priorities)
    ]
    return [*verdicts, _extra_load(case, 0.02)]


def straggler(case: Case) -> list[Verdict]:
    """Check the most urgent p99, extra load and completeness."""
    godwitflow, naive = case.godwitflow_row(0), case.naive_row(0)
    return [
        _at_most(
            "urgent p99 ms <= 0.5 naive", godwitflow.p99_ms, naive.p99_ms / 2
        ),
        _extra_load(case, 0.05),
        _at_least("complete", _complete_share(case.godwitflow_rows()), 0.999),
    ]


def flood_low(case: Case) -> list[Verdict]:
    """Check that a flood of the lowest rank does not harm the others."""
    bound_ms = 1.3 * case.steady_p99_ms()
    urgent = case.godwitflow_row(0)
    return [
        _at_most("urgent p99 ms <= 1.3 steady", urgent.p99_ms, bound_ms),
        _at_least(
            "urgent complete", _complete_share_of_offered(urgent), 0.999
        ),
        _answers_in_time(case.godwitflow_row(1), "middle answered"),
        _extra_load(case, 0.05),
        _at_least("useful slot time", urgent.useful_share, 0.9),
    ]


def flood_urgent(case: Case) -> list[Verdict]:
    """Check throughput, the other ranks' floors and completeness."""
    rows = case.godwitflow_rows()
    in_time = sum(row.in_time for row in rows)
    verdicts = [
        _at_least("answered in time", in_time, 0.85 * rows[0].capacity),
        _at_least("complete share of answers", _complete_share(rows), 0.99),
    ]
    floors = [_serves_floor(row, f"{row.priority} floor") for row in rows[1:]]
    return verdicts + floors


def loss(case: Case) -> list[Verdict]:
    """Check the most urgent rank from three seconds after a loss."""
    share = _complete_share_of_offered(case.godwitflow_row(0))
    return [_at_least("urgent complete", share, 0.995), _consistent(case)]


def repartition(case: Case) -> list[Verdict]:
    """Check snapshots, coverage and completeness."""
    share = _complete_share(case.godwitflow_rows())
    return [_consistent(case), _at_least("complete", share, 0.995)]


def crashing(case: Case) -> list[Verdict]:
    """Check how many upstreams one request crashed."""
    crashes = case.godwitflow_row(0).crashes
    return [_at_most("upstreams lost", crashes, 2), _consistent(case)]


def silent(case: Case) -> list[Verdict]:
    """Check the most urgent p99, and that every query gets a result."""
    godwitflow = case.godwitflow_row(0)
    lost = sum(
        row.offered - row.answered - sum(row.refused.values())
        for row in case.godwitflow_rows()
    )
    return [
        _at_most(
            "urgent p99 ms <= 2 steady",
            godwitflow.p99_ms,
            2 * case.steady_p99_ms(),
        ),
        _at_most("queries without answer or refusal", lost, 0),
    ]


def cold(case: Case) -> list[Verdict]:
    """Check consistency only; there is no latency target."""
    return [_consistent(case)]


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
