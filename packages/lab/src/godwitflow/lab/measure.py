"""Runs one variant through a scenario and prints its figures."""

import dataclasses
import gc
import sys
import typing

import msgspec

from godwitflow.fakes import deployment as deployment_module
from godwitflow.lab import arrivals
from godwitflow.lab import scenarios
from godwitflow.lab import simulation as simulation_module
from godwitflow.lab import variant_godwitflow
from godwitflow.lab import variant_naive
from godwitflow.model import ids

VARIANTS: dict[str, typing.Any] = {
    "naive": variant_naive.Naive,
    "godwitflow": variant_godwitflow.Godwitflow,
}
DRAIN_MS = 5_000.0


class Row(msgspec.Struct):
    """The figures of one priority in one run; times in milliseconds.

    Shares and ratios are fractions. ``capacity`` is the number of queries
    that the slots can run in the measured period.
    """

    scenario: str
    deployment: str
    variant: str
    seed: int
    priority: str
    offered: int
    answered: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    within_target: float
    mean_coverage: float
    complete: float
    in_time: int
    served: int
    refused: dict[str, int]
    extra_load_ratio: float
    utilisation: float
    useful_share: float
    wrong: int
    capacity: float
    floor_share: float
    crashes: int


@dataclasses.dataclass(frozen=True)
class _Totals:
    extra_load_ratio: float
    utilisation: float
    useful_share: float
    capacity: float
    crashes: int


def run(
    scenario: scenarios.Scenario,
    deployment: deployment_module.Deployment,
    variant: str,
    seed: int,
) -> list[Row]:
    """Run one variant through a scenario; return a row per priority."""
    simulation = simulation_module.Simulation(deployment, seed)
    system = VARIANTS[variant](simulation)
    queries = arrivals.draw(deployment, scenario.loads, seed)
    if scenario.crashing:
        queries += _crashing_arrivals(deployment, len(queries))
    for arrival in queries:
        simulation.clock.at(arrival.at_ms, system.submit, arrival)
    for fault in scenario.faults:
        fault(simulation)
    simulation.clock.run(scenario.end_ms)
    slot_ms = simulation.slot_ms()
    simulation.clock.run(scenario.end_ms + DRAIN_MS)
    totals = _totals(simulation, scenario, slot_ms)
    return [
        _row(simulation, scenario, variant, seed, rank, totals)
        for rank in range(len(deployment.priorities))
    ]


def _crashing_arrivals(
    deployment: deployment_module.Deployment, first: int
) -> list[arrivals.Arrival]:
    _, target_ms, deadline_ms, _, _ = deployment.priorities[1]
    return [
        arrivals.Arrival(
            scenarios.FAULT_AT_MS + position * scenarios.CRASH_RESEND_GAP_MS,
            first + position,
            ids.Rank(1),
            deadline_ms,
            target_ms,
            crashing=True,
        )
        for position in range(scenarios.CRASH_RESENDS)
    ]


def _totals(
    simulation: simulation_module.Simulation,
    scenario: scenarios.Scenario,
    slot_ms: float,
) -> _Totals:
    capacity_per_s = arrivals.capacity_per_s(simulation.shape)
    span_s = (scenario.count_until_ms - scenario.count_from_ms) / 1_000.0
    used_slot_ms = max(1.0, simulation.slot_ms())
    return _Totals(
        max(
            0.0,
            (simulation.calls - simulation.pieces) / max(1, simulation.pieces),
        ),
        slot_ms / (simulation.slot_count() * scenario.end_ms),
        simulation.useful_slot_ms() / used_slot_ms,
        capacity_per_s * span_s,
        sum(item.crashes for item in simulation.upstreams.values()),
    )


def _row(
    simulation: simulation_module.Simulation,
    scenario: scenarios.Scenario,
    variant: str,
    seed: int,
    rank: int,
    totals: _Totals,
) -> Row:
    name, _, _, floor_share, _ = simulation.deployment.priorities[rank]
    outcomes = [
        item
        for item in simulation.outcomes
        if item.arrival.rank == rank
        and not item.arrival.crashing
        and _is_counted(scenario, item.arrival)
    ]
    answered = [item for item in outcomes if not item.refusal]
    latencies = sorted(item.latency_ms for item in answered)
    refused: dict[str, int] = {}
    for outcome in outcomes:
        if outcome.refusal:
            refused[outcome.refusal] = refused.get(outcome.refusal, 0) + 1
    within = [item for item in answered if _within_target(item)]
    complete = [item for item in answered if item.coverage >= 1.0]
    coverage = sum(item.coverage for item in answered)
    return Row(
        scenario.name,
        simulation.deployment.name,
        variant,
        seed,
        name,
        len(outcomes),
        len(answered),
        round(quantile(latencies, 0.5), 1),
        round(quantile(latencies, 0.99), 1),
        round(quantile(latencies, 0.999), 1),
        round(len(within) / max(1, len(outcomes)), 4),
        round(coverage / max(1, len(answered)), 5),
        round(len(complete) / max(1, len(answered)), 5),
        sum(item.in_time for item in outcomes),
        _served(simulation, scenario, rank),
        refused,
        round(totals.extra_load_ratio, 4),
        round(totals.utilisation, 3),
        round(totals.useful_share, 3),
        sum(item.wrong for item in simulation.outcomes),
        totals.capacity,
        floor_share,
        totals.crashes,
    )


def _is_counted(
    scenario: scenarios.Scenario, arrival: arrivals.Arrival
) -> bool:
    return scenario.count_from_ms <= arrival.at_ms < scenario.count_until_ms


def _served(
    simulation: simulation_module.Simulation,
    scenario: scenarios.Scenario,
    rank: int,
) -> int:
    """Count the complete, timely answers given in the measured period.

    A floor is a share of the slots over a period. Counting by arrival
    would leave out the answers to queries that were already queued when
    the period began.
    """
    ends_ms = (
        item.arrival.at_ms + item.latency_ms
        for item in simulation.outcomes
        if item.arrival.rank == rank and item.in_time
    )
    return sum(
        scenario.count_from_ms <= end_ms < scenario.count_until_ms
        for end_ms in ends_ms
    )


def _within_target(outcome: simulation_module.Outcome) -> bool:
    return (
        outcome.coverage >= 1.0
        and outcome.latency_ms <= outcome.arrival.target_ms
    )


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values; 0.0 if there are none."""
    if not ordered:
        return 0.0
    position = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[position]


def main(arguments: list[str]) -> None:
    """Run ``SCENARIO DEPLOYMENT VARIANT SEED``; print rows as JSON."""
    name, deployment, variant, seed = arguments
    # Most objects are short-lived: frequent collections cost time and
    # free little.
    gc.freeze()
    gc.set_threshold(100_000, 50, 1_000)
    rows = run(
        scenarios.SCENARIOS[name],
        deployment_module.DEPLOYMENTS[deployment],
        variant,
        int(seed),
    )
    for row in rows:
        print(msgspec.json.encode(row).decode())


if __name__ == "__main__":
    main(sys.argv[1:])
