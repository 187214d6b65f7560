"""How loaded a replica set is, and how long new work would wait."""

import typing

from godwitflow.model import ids
from godwitflow.policy import latency
from godwitflow.policy import replicas
from godwitflow.policy import scheduler
from godwitflow.settings import config
from godwitflow.wire import messages

BUSY_WEIGHT = 0.02
SHARE_WEIGHT = 0.4
SHARE_WINDOW = 25
MIN_SHARE = 0.02
MIN_URGENT_SHARE = 0.1


class Load:
    """Slots in use, service time, and each rank's share of starts.

    ``canaries`` counts, for each rank, queries of which only the canary
    has arrived.
    """

    def __init__(
        self,
        service: config.Service,
        queue: scheduler.Scheduler[typing.Any],
        members: replicas.Replicas,
    ) -> None:
        self.service = service
        self.queue = queue
        self.replicas = members
        self.service_time = latency.Average(0.05)
        self.busy_share = 0.0
        self.slots = members.stated_slots()
        self.canaries = [0] * len(queue.floors)
        self._starts = [0] * len(queue.floors)
        self._shares = [0.0] * len(queue.floors)

    def on_call(self, running: int) -> None:
        """Note that a call starts, with how many now run."""
        busy = running / max(1, self.slots)
        self.busy_share += BUSY_WEIGHT * (busy - self.busy_share)

    def on_first_start(self, rank: int) -> None:
        """Note that a piece of a rank starts for the first time."""
        self._starts[rank] += 1
        if sum(self._starts) >= SHARE_WINDOW:
            self._follow_shares()

    def _follow_shares(self) -> None:
        total = sum(self._starts)
        for rank, count in enumerate(self._starts):
            change = count / total - self._shares[rank]
            self._shares[rank] += SHARE_WEIGHT * change
        self._starts = [0] * len(self._starts)

    def _share_of(self, rank: int) -> float:
        """Return the share of starts that a rank can count on."""
        floors = self.queue.floors
        if rank == 0:
            kept = (
                floors[other]
                for other in range(1, len(floors))
                if self.queue.counts[other]
            )
            return max(MIN_URGENT_SHARE, 1.0 - sum(kept))
        more_urgent = sum(self._shares[:rank])
        floor = floors[rank] * scheduler.FLOOR_MARGIN
        return max(floor, 1.0 - more_urgent, MIN_SHARE)

    def wait_ms(self, rank: int) -> float:
        """Return how long a new piece of a rank would queue."""
        rank = min(rank, len(self.queue.floors) - 1)
        own = self.queue.counts[rank]
        return own * self.turn_ms(rank) if own else 0.0

    def turn_ms(self, rank: int) -> float:
        """Return how much each queued piece of a rank adds to a wait."""
        slots = max(1, self.replicas.limit())
        each_ms = self.service_time.value_ms or replicas.UNMEASURED_MS
        per_piece_ms = each_ms / (slots * self.service.batch_size)
        return per_piece_ms / self._share_of(rank)

    def report(
        self, name: ids.ServiceName, set_id: ids.ReplicaSetId
    ) -> messages.SetLoad:
        """Return what fronts base their admission on."""
        ranks = range(len(self.queue.floors))
        turns = tuple(self.turn_ms(rank) for rank in ranks)
        waits = tuple(
            turn_ms * count
            for turn_ms, count in zip(turns, self.queue.counts, strict=True)
        )
        return messages.SetLoad(
            name, set_id, waits, turns, tuple(self.canaries), self.busy_share
        )
