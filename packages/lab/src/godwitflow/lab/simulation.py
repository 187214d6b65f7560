"""The state of one simulated run: upstreams, index and outcomes."""

import dataclasses
import random
import typing

from godwitflow.fakes import deployment as deployment_module
from godwitflow.lab import arrivals
from godwitflow.lab import model_upstream
from godwitflow.lab import virtual_clock
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.settings import config

FRONT_COUNT = 9
HOP_MS = 0.5


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of one query as its caller sees it.

    ``wrong`` marks an answer whose rows contradict its coverage or
    snapshot; ``refusal`` is the refusal code, empty for an answer.
    """

    arrival: arrivals.Arrival
    latency_ms: float
    coverage: float
    refusal: str = ""
    wrong: bool = False

    @property
    def in_time(self) -> bool:
        """Whether a complete answer arrived by the deadline."""
        complete = not self.refusal and self.coverage >= 1.0
        return complete and self.latency_ms <= self.arrival.deadline_ms


class Simulation:
    """Simulates the upstreams of a deployment's first service.

    The variant under test sets ``network`` and ``on_index``. ``pieces``
    counts the pieces of all queries, ``calls`` the pieces sent to
    upstreams, including retries and hedges.
    """

    def __init__(
        self, deployment: deployment_module.Deployment, seed: int
    ) -> None:
        self.clock = virtual_clock.Clock()
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
        self.index = self._build_index()

    def _build_index(self) -> index_model.Index:
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
        """Record a query's result and check its consistency."""
        latency_ms = self.clock.now_ms - arrival.at_ms
        match result:
            case answers.Answer(coverage=coverage):
                wrong = not _is_consistent(result)
                outcome = Outcome(
                    arrival, latency_ms, coverage.share, wrong=wrong
                )
            case answers.Refusal(code=code):
                outcome = Outcome(arrival, latency_ms, 0.0, code.value)
        self.outcomes.append(outcome)

    def slot_ms(self) -> float:
        """Return the slot time used so far, over all upstreams."""
        return sum(item.slot_ms for item in self.upstreams.values())

    def useful_slot_ms(self) -> float:
        """Return the slot time spent on queries answered in time."""
        in_time = {
            str(item.arrival.number) for item in self.outcomes if item.in_time
        }
        return sum(
            spent_ms
            for item in self.upstreams.values()
            for query, spent_ms in item.slot_ms_by_query.items()
            if query in in_time
        )

    def slot_count(self) -> int:
        """Return the number of slots of all upstreams."""
        return sum(item.slots for item in self.upstreams.values())


def _is_consistent(answer: answers.Answer) -> bool:
    """Check that the rows match the answer's coverage and snapshot.

    The rows of a model upstream are ``["shard@snapshot"]``.
    """
    text = bytes(answer.rows).decode()[1:-1]
    rows = [row.strip('"') for row in text.split(",") if row]
    shards = [row.split("@")[0] for row in rows]
    snapshots = {row.split("@")[1] for row in rows}
    distinct = len(set(shards)) == len(shards) == answer.coverage.answered
    return distinct and snapshots <= {str(answer.snapshot)}
