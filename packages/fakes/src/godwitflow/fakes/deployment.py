"""The two sample deployments: configuration, indexes and upstreams."""

import dataclasses
import typing

from twisted.internet import defer

from godwitflow.fakes import upstream
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.settings import folder


@dataclasses.dataclass(frozen=True)
class ServiceShape:
    """A service: its shards and replicas and how its upstreams behave."""

    name: str
    shards: int
    replicas: int
    upstream: upstream.Shape


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment: failure domains, priorities and services.

    Each priority is (name, target_ms, deadline_ms, floor_share, worth),
    the most urgent first. ``booking_service`` receives the demo's
    non-idempotent request.
    """

    name: str
    failure_domains: tuple[str, ...]
    priorities: tuple[tuple[str, float, float, float, float], ...]
    services: tuple[ServiceShape, ...]
    booking_service: str


BRITTANY = Deployment(
    "brittany",
    ("brest", "quimper", "rennes", "vannes"),
    (
        ("steward", 150.0, 600.0, 0.0, 20.0),
        ("conductor", 500.0, 1_500.0, 0.2, 5.0),
        ("clerk", 2_000.0, 4_000.0, 0.05, 1.0),
    ),
    (
        ServiceShape("planning", 25, 3, upstream.Shape(2, 25, 6.0, 20.0)),
        ServiceShape("archive", 2, 2, upstream.Shape(6, 100, 1.0, 20.0)),
    ),
    "planning",
)

SVEALAND = Deployment(
    "svealand",
    ("vasteras", "eskilstuna", "uppsala"),
    (
        ("installer", 150.0, 600.0, 0.0, 20.0),
        ("dispatcher", 500.0, 1_500.0, 0.2, 5.0),
        ("plant", 2_000.0, 4_000.0, 0.05, 1.0),
    ),
    (
        ServiceShape("orders", 25, 3, upstream.Shape(5, 40, 6.0, 40.0)),
        ServiceShape("plantboard", 10, 2, upstream.Shape(2, 40, 1.0, 20.0)),
        ServiceShape("spares", 5, 2, upstream.Shape(2, 40, 1.0, 20.0)),
    ),
    "orders",
)

DEPLOYMENTS = {
    deployment.name: deployment for deployment in (BRITTANY, SVEALAND)
}


def files(deployment: Deployment) -> tuple[folder.File, ...]:
    """Return the files of a deployment's configuration folder."""
    folder_files = [folder.File("00-system.yaml", _SYSTEM)]
    for service in deployment.services:
        text = _service_text(deployment, service)
        name = f"10-{service.name}.yaml"
        folder_files.append(folder.File(name, text.encode()))
    return tuple(folder_files)


_SYSTEM = b"""\
addresses:
  count: 3
  max_age_ms: 1000
journal:
  partitions: 16
  retention_ms: 600000
  commit_interval_ms: 50
"""


def _service_text(deployment: Deployment, service: ServiceShape) -> str:
    lines = [
        "services:",
        f"  {service.name}:",
        f"    index: index/{service.name}",
        f"    slots: {service.upstream.slots}",
        f"    connection_cap: {service.upstream.connection_cap}",
        "    priorities:",
    ]
    for rank, priority in enumerate(deployment.priorities):
        name, target_ms, deadline_ms, floor_share, worth = priority
        lines.append(
            f"      {name}: {{rank: {rank}, target_ms: {target_ms:g}, "
            f"deadline_ms: {deadline_ms:g}, floor_share: {floor_share:g}, "
            f"worth: {worth:g}}}"
        )
    return "\n".join(lines) + "\n"


class UpstreamFleet:
    """The fake upstreams of a deployment, and its indexes."""

    def __init__(
        self, reactor: typing.Any, deployment: Deployment, seed: int
    ) -> None:
        self.deployment = deployment
        self.upstreams: dict[str, upstream.FakeUpstream] = {}
        self.indexes: dict[str, index_model.Index] = {}
        for service in deployment.services:
            self._add(reactor, service, seed)

    def _add(
        self, reactor: typing.Any, service: ServiceShape, seed: int
    ) -> None:
        sets: dict[ids.ReplicaSetId, tuple[ids.UpstreamId, ...]] = {}
        shards: dict[ids.ShardId, ids.ReplicaSetId] = {}
        for number in range(service.shards):
            urls = []
            for replica in range(service.replicas):
                upstream_seed = seed * 100_000 + number * 10 + replica
                fake = upstream.FakeUpstream(
                    reactor, service.upstream, upstream_seed
                )
                urls.append(ids.UpstreamId(fake.listen()))
                self.upstreams[urls[-1]] = fake
            set_id = ids.ReplicaSetId(f"r{number:02d}")
            sets[set_id] = tuple(urls)
            shards[ids.ShardId(f"s{number:02d}")] = set_id
        self.indexes[service.name] = index_model.Index(
            ids.ServiceName(service.name),
            ids.SnapshotVersion(1),
            sets,
            shards,
        )

    def run_count(self, payload: str) -> int:
        """Return how often a non-idempotent payload ran on all upstreams."""
        return sum(
            fake.run_counts[payload] for fake in self.upstreams.values()
        )

    async def close(self) -> None:
        """Stop all fake upstreams."""
        closing = [
            defer.ensureDeferred(fake.close())
            for fake in self.upstreams.values()
        ]
        await defer.gatherResults(closing)
