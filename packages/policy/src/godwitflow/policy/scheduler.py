"""The order in which a dispatcher starts queued work.

The most urgent rank goes first. Within a rank, canaries go first,
because the other pieces of their queries wait for them, then the
earliest deadline. A hash of the query breaks ties. All dispatchers use
the same order, so under overload they all drop the same queries. Floors
guarantee a share of starts to each less urgent rank that has work
waiting.
"""

import heapq
import itertools
import typing

from godwitflow.model import ids

CREDIT_CAP = 4.0
FLOOR_MARGIN = 1.15  # a query is as late as its slowest shard


class QueueItem(typing.Protocol):
    """The attributes of a queued item that the scheduler uses."""

    rank: ids.Rank
    deadline_at_ms: float
    tie_breaker: int
    canary: bool
    done: bool
    queued: bool


Item = typing.TypeVar("Item", bound=QueueItem)
_HeapEntry = tuple[float, int, int, typing.Any]


class Scheduler(typing.Generic[Item]):
    """A priority queue for each rank, with floor shares.

    Each start of any rank adds the floor shares to the ranks' credits, up
    to ``CREDIT_CAP``. A whole credit lets a rank go first once. A rank
    whose queue is briefly empty thus keeps its share. Items marked
    ``done`` were cancelled and are skipped.
    """

    def __init__(self, floor_shares: tuple[float, ...]) -> None:
        self.floor_shares = floor_shares
        self.credits = [0.0] * len(floor_shares)
        self.counts = [0] * len(floor_shares)
        self.waiting = 0
        self._canaries: list[list[_HeapEntry]] = [[] for _ in floor_shares]
        self._others: list[list[_HeapEntry]] = [[] for _ in floor_shares]
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return self.waiting

    def push(self, item: Item) -> None:
        """Queue an item; a rank above the last one counts as the last."""
        rank = min(item.rank, len(self.floor_shares) - 1)
        heaps = self._canaries if item.canary else self._others
        entry = (
            item.deadline_at_ms,
            item.tie_breaker,
            next(self._sequence),
            item,
        )
        heapq.heappush(heaps[rank], entry)
        item.queued = True
        self.counts[rank] += 1
        self.waiting += 1

    def discard(self, item: Item) -> None:
        """Cancel an item; its entry stays in the heap and is skipped."""
        item.done = True
        if item.queued:
            item.queued = False
            self.counts[min(item.rank, len(self.floor_shares) - 1)] -= 1
            self.waiting -= 1

    def peek(self, rank: int) -> Item | None:
        """Return a rank's first item without removing it."""
        first = _first(self._canaries[rank])
        return first or _first(self._others[rank])

    def pop(self, max_rank: int) -> Item | None:
        """Remove and return the next item of the ranks up to ``max_rank``.

        A rank with a whole floor credit goes first even if it is above
        ``max_rank``, because its floor share is guaranteed.
        """
        rank = self._next_rank(max_rank)
        if rank is None:
            return None
        self._update_credits(rank)
        return self._take(rank)

    def due_rank(self) -> int | None:
        """Return the first waiting rank with a whole credit, or None."""
        for rank in range(1, len(self.floor_shares)):
            if self.counts[rank] and self.credits[rank] >= 1.0:
                return rank
        return None

    def _next_rank(self, max_rank: int) -> int | None:
        due = self.due_rank()
        if due is not None:
            return due
        for rank in range(min(max_rank + 1, len(self.floor_shares))):
            if self.counts[rank]:
                return rank
        return None

    def _update_credits(self, chosen: int) -> None:
        if self.credits[chosen] >= 1.0:
            self.credits[chosen] -= 1.0
        for rank in range(1, len(self.floor_shares)):
            raised = (
                self.credits[rank] + self.floor_shares[rank] * FLOOR_MARGIN
            )
            self.credits[rank] = min(CREDIT_CAP, raised)

    def _take(self, rank: int) -> Item:
        heap = self._canaries[rank]
        if _first(heap) is None:
            heap = self._others[rank]
        return self._take_from(heap, rank)

    def _take_from(self, heap: "list[_HeapEntry]", rank: int) -> Item:
        item = _first(heap)
        assert item is not None
        heapq.heappop(heap)
        item.queued = False
        self.counts[rank] -= 1
        self.waiting -= 1
        return item

    def drain(self) -> list[Item]:
        """Remove and return all waiting items."""
        drained = []
        for rank in range(len(self.floor_shares)):
            while self.peek(rank) is not None:
                drained.append(self._take(rank))
        return drained

    def drop_expired(self, now_ms: float) -> list[Item]:
        """Remove and return the items whose deadline has passed."""
        dropped = []
        for heaps in (self._canaries, self._others):
            for rank, heap in enumerate(heaps):
                while True:
                    item = _first(heap)
                    if item is None or item.deadline_at_ms > now_ms:
                        break
                    dropped.append(self._take_from(heap, rank))
        return dropped


def _first(heap: "list[_HeapEntry]") -> typing.Any:
    """Return a heap's first item that is not cancelled, or None."""
    while heap and heap[0][3].done:
        heapq.heappop(heap)
    return heap[0][3] if heap else None
