"""What a scenario acts on: upstreams, indexes, outcomes."""

import dataclasses
import random
import typing

from godwitflow.fakes import deployment as deployment_module
from godwitflow.lab import arrivals
from godwitflow.lab import model_upstream
from godwitflow.lab import virtual
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.settings import config

FRONTS = 9
HOP_MS = 0.5


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one query; ``wrong`` marks a broken promise."""

    arrival: arrivals.Arrival
    latency_ms: float
    coverage: float
    refusal: str = ""
    wrong: bool = False

    @property
    def in_time(self) -> bool:
        """Whether a complete answer came before the deadline."""
        full = not self.refusal and self.coverage >= 1.0
        return full and self.latency_ms <= self.arrival.deadline_ms


class World:
    """The model upstreams of a deployment's first service."""

    def __init__(
        self, deployment: deployment_module.Deployment, seed: int
    ) -> None:
        self.clock = virtual.Clock()
        self.random = random.Random(seed * 7919 + 1)
        self.deployment = deployment
        self.shape = deployment.services[0]
        files = deployment_module.files(deployment)
        parsed = config.parse(files)
        self.service = parsed.services[self.shape.name]
        self.upstreams: dict[ids.UpstreamId, model_upstream.ModelUpstream] = {}
        self.outcomes: list[Outcome] = []
        self.pieces = 0
        self.calls = 0
        self.network: typing.Any = None
        self.on_index: typing.Callable[[index_model.Index], None]
        self.index = self._build()

    def _build(self) -> index_model.Index:
        sets: dict[ids.ReplicaSetId, tuple[ids.UpstreamId, ...]] = {}
        shards: dict[ids.ShardId, ids.ReplicaSetId] = {}
        for number in range(self.shape.shards):
            set_id = ids.ReplicaSetId(f"r{number:02d}")
            names = []
            for replica in range(self.shape.replicas):
                name = ids.UpstreamId(f"{set_id}/{replica}")
                names.append(name)
                self.upstreams[name] = model_upstream.ModelUpstream(
                    self.clock,
                    name,
                    self.shape.upstream.slots,
                    self.shape.upstream.service_ms,
                    random.Random(self.random.getrandbits(32)),
                )
            sets[set_id] = tuple(names)
            shards[ids.ShardId(f"s{number:02d}")] = set_id
        return index_model.Index(
            ids.ServiceName(self.shape.name),
            ids.SnapshotVersion(1),
            sets,
            shards,
        )

    def finish(
        self,
        arrival: arrivals.Arrival,
        result: answers.Answer | answers.Refusal,
    ) -> None:
        """Record what a caller received, and check it."""
        latency_ms = self.clock.now_ms - arrival.at_ms
        match result:
            case answers.Answer(coverage=coverage):
                wrong = not _honest(result)
                row = Outcome(arrival, latency_ms, coverage.share, wrong=wrong)
            case answers.Refusal(code=code):
                row = Outcome(arrival, latency_ms, 0.0, code.value)
        self.outcomes.append(row)

    def slot_ms(self) -> float:
        """Return the slot time used so far."""
        return sum(item.slot_ms for item in self.upstreams.values())

    def useful_ms(self) -> float:
        """Return the slot time of queries answered in time."""
        good = {
            str(row.arrival.number) for row in self.outcomes if row.in_time
        }
        return sum(
            spent_ms
            for item in self.upstreams.values()
            for query, spent_ms in item.slot_ms_of.items()
            if query in good
        )

    def slots(self) -> int:
        """Return the number of slots in all."""
        return sum(item.slots for item in self.upstreams.values())


def _honest(answer: answers.Answer) -> bool:
    """Check rows against the coverage and the snapshot claimed.

    Model upstreams answer ``["shard@snapshot"]``.
    """
    text = bytes(answer.rows).decode()[1:-1]
    rows = [row.strip('"') for row in text.split(",") if row]
    shards = [row.split("@")[0] for row in rows]
    snapshots = {row.split("@")[1] for row in rows}
    distinct = len(set(shards)) == len(shards) == answer.coverage.answered
    return distinct and snapshots <= {str(answer.snapshot)}
