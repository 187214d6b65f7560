"""Runs a scenario for both variants on the same arrivals."""

import dataclasses
import gc
import sys
import typing

import msgspec

from godwitflow.fakes import deployment as deployment_module
from godwitflow.lab import arrivals
from godwitflow.lab import scenarios
from godwitflow.lab import variant_naive
from godwitflow.lab import variant_ours
from godwitflow.lab import world as world_module
from godwitflow.model import ids

VARIANTS: dict[str, typing.Any] = {
    "naive": variant_naive.Naive,
    "godwitflow": variant_ours.Godwitflow,
}
DRAIN_MS = 5_000.0


class Row(msgspec.Struct):
    """The figures of one priority in one run; times in milliseconds."""

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
    """Run one variant; return a row for each priority."""
    world = world_module.World(deployment, seed)
    system = VARIANTS[variant](world)
    drawn = arrivals.draw(deployment, scenario.loads, seed)
    if scenario.crashing:
        drawn += _crashing(deployment, len(drawn))
    for arrival in drawn:
        world.clock.at(arrival.at_ms, system.submit, arrival)
    for fault in scenario.faults:
        fault(world)
    world.clock.run(scenario.end_ms)
    slot_ms = world.slot_ms()
    world.clock.run(scenario.end_ms + DRAIN_MS)
    totals = _totals(world, scenario, slot_ms)
    return [
        _row(world, scenario, variant, seed, rank, totals)
        for rank in range(len(deployment.priorities))
    ]


def _crashing(
    deployment: deployment_module.Deployment, first: int
) -> list[arrivals.Arrival]:
    _, target_ms, deadline_ms, _, _ = deployment.priorities[1]
    return [
        arrivals.Arrival(
            scenarios.FAULT_MS + place * scenarios.CRASH_GAP_MS,
            first + place,
            ids.Rank(1),
            deadline_ms,
            target_ms,
            crashing=True,
        )
        for place in range(scenarios.CRASH_RESENDS)
    ]


def _totals(
    world: world_module.World,
    scenario: scenarios.Scenario,
    slot_ms: float,
) -> _Totals:
    per_s = arrivals.capacity_per_s(world.shape)
    span_s = (scenario.count_until_ms - scenario.count_from_ms) / 1_000.0
    used = max(1.0, world.slot_ms())
    return _Totals(
        max(0.0, (world.calls - world.pieces) / max(1, world.pieces)),
        slot_ms / (world.slots() * scenario.end_ms),
        world.useful_ms() / used,
        per_s * span_s,
        sum(item.crashes for item in world.upstreams.values()),
    )


def _row(
    world: world_module.World,
    scenario: scenarios.Scenario,
    variant: str,
    seed: int,
    rank: int,
    totals: _Totals,
) -> Row:
    name, _, _, floor_share, _ = world.deployment.priorities[rank]
    rows = [
        row
        for row in world.outcomes
        if row.arrival.rank == rank
        and not row.arrival.crashing
        and _counts(scenario, row.arrival)
    ]
    given = [row for row in rows if not row.refusal]
    latencies = sorted(row.latency_ms for row in given)
    refused: dict[str, int] = {}
    for row in rows:
        if row.refusal:
            refused[row.refusal] = refused.get(row.refusal, 0) + 1
    within = [row for row in given if _within_target(row)]
    full = [row for row in given if row.coverage >= 1.0]
    coverage = sum(row.coverage for row in given)
    return Row(
        scenario.name,
        world.deployment.name,
        variant,
        seed,
        name,
        len(rows),
        len(given),
        round(quantile(latencies, 0.5), 1),
        round(quantile(latencies, 0.99), 1),
        round(quantile(latencies, 0.999), 1),
        round(len(within) / max(1, len(rows)), 4),
        round(coverage / max(1, len(given)), 5),
        round(len(full) / max(1, len(given)), 5),
        sum(row.in_time for row in rows),
        _served(world, scenario, rank),
        refused,
        round(totals.extra_load_ratio, 4),
        round(totals.utilisation, 3),
        round(totals.useful_share, 3),
        sum(row.wrong for row in world.outcomes),
        totals.capacity,
        floor_share,
        totals.crashes,
    )


def _counts(scenario: scenarios.Scenario, arrival: arrivals.Arrival) -> bool:
    return scenario.count_from_ms <= arrival.at_ms < scenario.count_until_ms


def _served(
    world: world_module.World, scenario: scenarios.Scenario, rank: int
) -> int:
    """Count answers given in time while figures count, by their end.

    A floor is a share of slots over a time. By arrival, a queue that
    was full when the count began would hide the service it got.
    """
    ends_ms = (
        row.arrival.at_ms + row.latency_ms
        for row in world.outcomes
        if row.arrival.rank == rank and row.in_time
    )
    return sum(
        scenario.count_from_ms <= end_ms < scenario.count_until_ms
        for end_ms in ends_ms
    )


def _within_target(row: world_module.Outcome) -> bool:
    return row.coverage >= 1.0 and row.latency_ms <= row.arrival.target_ms


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of ordered values, 0.0 for none."""
    if not ordered:
        return 0.0
    place = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[place]


def main(arguments: list[str]) -> None:
    """Run ``SCENARIO DEPLOYMENT VARIANT SEED``; print JSON lines."""
    name, deployment, variant, seed = arguments
    # Short-lived values dominate; frequent collections would only cost.
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
