"""Estimates the load of a replica set and the wait of new work."""

import typing

from godwitflow.model import ids
from godwitflow.policy import latency
from godwitflow.policy import replicas
from godwitflow.policy import scheduler
from godwitflow.settings import config
from godwitflow.wire import messages

BUSY_WEIGHT = 0.02
SHARE_WEIGHT = 0.4
SHARE_WINDOW_STARTS = 25
MIN_SHARE = 0.02
MIN_URGENT_SHARE = 0.1


class LoadEstimator:
    """Tracks slots in use, service time and each rank's share of starts.

    All of these are exponentially weighted moving averages.

    ``canaries`` counts, for each rank, the queries of which only the
    canary has arrived.
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
        self.service_time = latency.MovingAverage(0.05)
        self.busy_share = 0.0
        self.slots = members.configured_slots()
        self.canaries = [0] * len(queue.floor_shares)
        self._starts = [0] * len(queue.floor_shares)
        self._shares = [0.0] * len(queue.floor_shares)

    def on_call_start(self, running: int) -> None:
        """Record the start of a call; ``running`` includes it."""
        busy = running / max(1, self.slots)
        self.busy_share += BUSY_WEIGHT * (busy - self.busy_share)

    def on_first_start(self, rank: int) -> None:
        """Record the first start of a piece of a rank."""
        self._starts[rank] += 1
        if sum(self._starts) >= SHARE_WINDOW_STARTS:
            self._update_shares()

    def _update_shares(self) -> None:
        total = sum(self._starts)
        for rank, count in enumerate(self._starts):
            change = count / total - self._shares[rank]
            self._shares[rank] += SHARE_WEIGHT * change
        self._starts = [0] * len(self._starts)

    def _share_of(self, rank: int) -> float:
        """Return the share of starts that a rank can expect.

        The most urgent rank gets what is not guaranteed to other ranks
        that have work queued. Any other rank gets what more urgent ranks
        do not use, but at least its floor.
        """
        floors = self.queue.floor_shares
        if rank == 0:
            guaranteed = (
                floors[other]
                for other in range(1, len(floors))
                if self.queue.counts[other]
            )
            return max(MIN_URGENT_SHARE, 1.0 - sum(guaranteed))
        more_urgent = sum(self._shares[:rank])
        floor = floors[rank] * scheduler.FLOOR_MARGIN
        return max(floor, 1.0 - more_urgent, MIN_SHARE)

    def wait_ms(self, rank: int) -> float:
        """Return how long a new piece of a rank would wait in the queue."""
        rank = min(rank, len(self.queue.floor_shares) - 1)
        queued = self.queue.counts[rank]
        return queued * self.wait_per_piece_ms(rank) if queued else 0.0

    def wait_per_piece_ms(self, rank: int) -> float:
        """Return how long each queued piece of a rank delays the next one."""
        slots = max(1, self.replicas.limit())
        service_ms = self.service_time.value_ms or replicas.DEFAULT_LATENCY_MS
        per_piece_ms = service_ms / (slots * self.service.batch_size)
        return per_piece_ms / self._share_of(rank)

    def report(
        self, name: ids.ServiceName, set_id: ids.ReplicaSetId
    ) -> messages.SetLoad:
        """Return the load report on which fronts base admission."""
        ranks = range(len(self.queue.floor_shares))
        per_piece = tuple(self.wait_per_piece_ms(rank) for rank in ranks)
        waits = tuple(
            per_piece_ms * count
            for per_piece_ms, count in zip(
                per_piece, self.queue.counts, strict=True
            )
        )
        return messages.SetLoad(
            name,
            set_id,
            waits,
            per_piece,
            tuple(self.canaries),
            self.busy_share,
        )
