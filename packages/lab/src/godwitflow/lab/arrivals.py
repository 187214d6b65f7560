"""Seeded arrivals, the same for every variant of a scenario."""

import dataclasses
import random
import typing

from godwitflow.fakes import deployment as deployment_module
from godwitflow.model import ids

MIX = (0.2, 0.3, 0.5)
"""The share of each rank in the load of ordinary times."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One query as a caller sends it; ``crashing`` kills upstreams."""

    at_ms: float
    number: int
    rank: ids.Rank
    deadline_ms: float
    target_ms: float
    crashing: bool = False


@dataclasses.dataclass(frozen=True)
class Load:
    """Each rank's offered load as a share of capacity, over a time."""

    shares: tuple[float, float, float]
    from_ms: float
    until_ms: float


def capacity_per_s(shape: deployment_module.ServiceShape) -> float:
    """Return the queries a second that the slots of a service carry."""
    slots = shape.replicas * shape.upstream.slots
    return slots * 1_000.0 / shape.upstream.service_ms


def draw(
    deployment: deployment_module.Deployment,
    loads: typing.Sequence[Load],
    seed: int,
) -> list[Arrival]:
    """Draw Poisson arrivals for each load and rank, in time order."""
    source = random.Random(seed)
    capacity = capacity_per_s(deployment.services[0])
    rows: list[tuple[float, int]] = []
    for load in loads:
        for rank, share in enumerate(load.shares):
            rate_per_ms = capacity * share / 1_000.0
            if rate_per_ms <= 0.0:
                continue
            at_ms = load.from_ms + source.expovariate(rate_per_ms)
            while at_ms < load.until_ms:
                rows.append((at_ms, rank))
                at_ms += source.expovariate(rate_per_ms)
    rows.sort()
    found = []
    for number, (at_ms, rank) in enumerate(rows):
        _, target_ms, deadline_ms, _, _ = deployment.priorities[rank]
        found.append(
            Arrival(at_ms, number, ids.Rank(rank), deadline_ms, target_ms)
        )
    return found


def steady(share: float = 0.6) -> tuple[float, float, float]:
    """Return ordinary load at a share of capacity."""
    return (MIX[0] * share, MIX[1] * share, MIX[2] * share)
