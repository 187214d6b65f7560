"""Measures journal claims per second, by partitions and store latency."""

import dataclasses
import random

from godwitflow.lab import measure as measure_module
from godwitflow.lab import virtual_clock
from godwitflow.policy import journal
from godwitflow.policy import ownership
from godwitflow.wire import messages

PARTITIONS = (1, 4, 16)
LATENCIES_MS = (5.0, 200.0)
INTERVAL_MS = 50.0
RATE_PER_S = 400.0
SPAN_MS = 5_000.0
BUDGET_MS = 1_500.0


@dataclasses.dataclass(frozen=True)
class Claims:
    """Journal throughput; waits are those of successful claims."""

    partitions: int
    latency_ms: float
    per_s: float
    wait_p50_ms: float
    wait_p99_ms: float
    writes_per_s: float
    refused: int


class _JournalModel:
    """Journal partitions on a simulated store with a fixed latency."""

    def __init__(self, partitions: int, latency_ms: float) -> None:
        self.clock = virtual_clock.Clock()
        self.latency_ms = latency_ms
        self.partitions = [
            journal.Partition(number, 600_000.0, INTERVAL_MS)
            for number in range(partitions)
        ]
        self.versions = [0] * partitions
        self.values = [b""] * partitions
        self.sent_at_ms: dict[int, float] = {}
        self.waits: list[float] = []
        self.refused = 0

    def claim(self, number: int) -> None:
        """Submit one claim of a new key."""
        now_ms = self.clock.now_ms
        key = f"s/key-{number}"
        index = ownership.hash64(key) % len(self.partitions)
        self.sent_at_ms[number] = now_ms
        claim = messages.Claim(number, index, key, f"f/{number}", BUDGET_MS)
        partition = self.partitions[index]
        self.perform(index, partition.on_claim(now_ms, now_ms, "f", claim))

    def perform(self, index: int, actions: list[journal.Action]) -> None:
        """Perform actions on a store with a fixed latency."""
        for action in actions:
            match action:
                case journal.Read():
                    self.clock.after(self.latency_ms, self._read, index)
                case journal.Write():
                    self.clock.after(
                        self.latency_ms, self._write, index, action
                    )
                case journal.ReplyClaim(reply=reply):
                    self._reply(reply)

    def _reply(self, reply: messages.ClaimReply) -> None:
        if reply.verdict is messages.ClaimVerdict.CLAIMED:
            waited_ms = self.clock.now_ms - self.sent_at_ms[reply.claim_id]
            self.waits.append(waited_ms)
        else:
            self.refused += 1

    def _read(self, index: int) -> None:
        now_ms = self.clock.now_ms
        partition = self.partitions[index]
        value, version = self.values[index], self.versions[index]
        self.perform(index, partition.on_read(now_ms, now_ms, value, version))

    def _write(self, index: int, write: journal.Write) -> None:
        self.versions[index] += 1
        self.values[index] = write.value
        now_ms = self.clock.now_ms
        partition = self.partitions[index]
        version = self.versions[index]
        self.perform(index, partition.on_written(now_ms, now_ms, version))

    def step(self) -> None:
        """Step the partitions with pending work, as the daemon does."""
        now_ms = self.clock.now_ms
        for index, partition in enumerate(self.partitions):
            if partition.has_pending_work:
                self.perform(index, partition.step(now_ms, now_ms))
        self.clock.after(5.0, self.step)


def measure(partitions: int, latency_ms: float) -> Claims:
    """Submit claims as a Poisson process for ``SPAN_MS``."""
    rng = random.Random(partitions)
    model = _JournalModel(partitions, latency_ms)
    model.step()
    at_ms = 0.0
    number = 0
    while at_ms < SPAN_MS:
        at_ms += rng.expovariate(RATE_PER_S / 1e3)
        number += 1
        model.clock.at(at_ms, model.claim, number)
    model.clock.run(SPAN_MS + 2 * BUDGET_MS)
    waits = sorted(model.waits)
    writes = sum(item.writes for item in model.partitions)
    return Claims(
        partitions,
        latency_ms,
        round(len(waits) * 1e3 / SPAN_MS, 1),
        round(measure_module.quantile(waits, 0.5), 1),
        round(measure_module.quantile(waits, 0.99), 1),
        round(writes * 1e3 / SPAN_MS, 1),
        model.refused,
    )


def measure_all() -> list[Claims]:
    """Measure every combination of partitions and latency."""
    return [
        measure(partitions, latency_ms)
        for latency_ms in LATENCIES_MS
        for partitions in PARTITIONS
    ]
