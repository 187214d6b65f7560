"""Seeded query arrivals, the same for every variant of a scenario."""

import dataclasses
import random
import typing

from godwitflow.fakes import deployment as deployment_module
from godwitflow.model import ids

RANK_MIX = (0.2, 0.3, 0.5)
"""The share of each rank in the ordinary load."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One query from a caller; a ``crashing`` one crashes its upstream."""

    at_ms: float
    number: int
    rank: ids.Rank
    deadline_ms: float
    target_ms: float
    crashing: bool = False


@dataclasses.dataclass(frozen=True)
class Load:
    """Each rank's offered load in a period, as a share of capacity."""

    shares: tuple[float, float, float]
    from_ms: float
    until_ms: float


def capacity_per_s(shape: deployment_module.ServiceShape) -> float:
    """Return the queries per second that a service's slots can run."""
    slots = shape.replicas * shape.upstream.slots
    return slots * 1_000.0 / shape.upstream.service_ms


def draw(
    deployment: deployment_module.Deployment,
    loads: typing.Sequence[Load],
    seed: int,
) -> list[Arrival]:
    """Draw Poisson arrivals for each load and rank, ordered by time."""
    rng = random.Random(seed)
    capacity = capacity_per_s(deployment.services[0])
    times: list[tuple[float, int]] = []
    for load in loads:
        for rank, share in enumerate(load.shares):
            rate_per_ms = capacity * share / 1_000.0
            if rate_per_ms <= 0.0:
                continue
            at_ms = load.from_ms + rng.expovariate(rate_per_ms)
            while at_ms < load.until_ms:
                times.append((at_ms, rank))
                at_ms += rng.expovariate(rate_per_ms)
    times.sort()
    drawn = []
    for number, (at_ms, rank) in enumerate(times):
        _, target_ms, deadline_ms, _, _ = deployment.priorities[rank]
        drawn.append(
            Arrival(at_ms, number, ids.Rank(rank), deadline_ms, target_ms)
        )
    return drawn


def steady_shares(share: float = 0.6) -> tuple[float, float, float]:
    """Return each rank's ordinary load; ``share`` is their sum."""
    return (RANK_MIX[0] * share, RANK_MIX[1] * share, RANK_MIX[2] * share)
