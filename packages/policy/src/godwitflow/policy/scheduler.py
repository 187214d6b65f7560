"""The order in which a dispatcher starts queued work.

The most urgent rank goes first; within a rank canaries do, as the rest
of their queries waits for them, then the earliest deadline, and equal
deadlines go by a hash of the query. All dispatchers use
this one key, so under pressure the same queries lose everywhere. Floors
keep a share of starts for each less urgent rank that has work waiting.
"""

import heapq
import itertools
import typing

from godwitflow.model import ids

CREDIT_CAP = 4.0
FLOOR_MARGIN = 1.15  # a query is as late as its unluckiest shard


class Entry(typing.Protocol):
    """What the scheduler needs to know of a queued item."""

    rank: ids.Rank
    deadline_at_ms: float
    order: int
    canary: bool
    done: bool
    queued: bool


Item = typing.TypeVar("Item", bound=Entry)
_Queued = tuple[float, int, int, typing.Any]


class Scheduler(typing.Generic[Item]):
    """A queue per rank with floors.

    Each start adds a rank's floor share to its credit, up to
    ``CREDIT_CAP``; a whole credit lets the rank go first once. A rank
    whose queue is empty for a moment thus keeps its share. Items marked
    ``done`` were cancelled and are skipped.
    """

    def __init__(self, floors: tuple[float, ...]) -> None:
        self.floors = floors
        self.credits = [0.0] * len(floors)
        self.counts = [0] * len(floors)
        self.waiting = 0
        self._canaries: list[list[_Queued]] = [[] for _ in floors]
        self._others: list[list[_Queued]] = [[] for _ in floors]
        self._serial = itertools.count()

    def __len__(self) -> int:
        return self.waiting

    def push(self, item: Item) -> None:
        """Queue an item; a rank beyond the last counts as the last."""
        rank = min(item.rank, len(self.floors) - 1)
        heaps = self._canaries if item.canary else self._others
        entry = (item.deadline_at_ms, item.order, next(self._serial), item)
        heapq.heappush(heaps[rank], entry)
        item.queued = True
        self.counts[rank] += 1
        self.waiting += 1

    def discard(self, item: Item) -> None:
        """Mark an item as cancelled; its entry is skipped later."""
        item.done = True
        if item.queued:
            item.queued = False
            self.counts[min(item.rank, len(self.floors) - 1)] -= 1
            self.waiting -= 1

    def peek(self, rank: int) -> Item | None:
        """Return a rank's first item without taking it."""
        first = _first(self._canaries[rank])
        return first or _first(self._others[rank])

    def pop(self, allowed: int) -> Item | None:
        """Take the next item among ranks up to ``allowed``.

        A rank whose floor credit is due goes first even beyond
        ``allowed``, since its floor is its own.
        """
        rank = self._next_rank(allowed)
        if rank is None:
            return None
        self._account(rank)
        return self._take(rank)

    def due(self) -> int | None:
        """Return the rank whose floor is due now, if any."""
        for rank in range(1, len(self.floors)):
            if self.counts[rank] and self.credits[rank] >= 1.0:
                return rank
        return None

    def _next_rank(self, allowed: int) -> int | None:
        due = self.due()
        if due is not None:
            return due
        for rank in range(min(allowed + 1, len(self.floors))):
            if self.counts[rank]:
                return rank
        return None

    def _account(self, chosen: int) -> None:
        if self.credits[chosen] >= 1.0:
            self.credits[chosen] -= 1.0
        for rank in range(1, len(self.floors)):
            raised = self.credits[rank] + self.floors[rank] * FLOOR_MARGIN
            self.credits[rank] = min(CREDIT_CAP, raised)

    def _take(self, rank: int) -> Item:
        heap = self._canaries[rank]
        if _first(heap) is None:
            heap = self._others[rank]
        return self._take_from(heap, rank)

    def _take_from(self, heap: "list[_Queued]", rank: int) -> Item:
        item = _first(heap)
        assert item is not None
        heapq.heappop(heap)
        item.queued = False
        self.counts[rank] -= 1
        self.waiting -= 1
        return item

    def drain(self) -> list[Item]:
        """Take out every item that still waits."""
        drained = []
        for rank in range(len(self.floors)):
            while self.peek(rank) is not None:
                drained.append(self._take(rank))
        return drained

    def drop_expired(self, now_ms: float) -> list[Item]:
        """Take out every item whose deadline has passed."""
        dropped = []
        for heaps in (self._canaries, self._others):
            for rank, heap in enumerate(heaps):
                while True:
                    item = _first(heap)
                    if item is None or item.deadline_at_ms > now_ms:
                        break
                    dropped.append(self._take_from(heap, rank))
        return dropped


def _first(heap: "list[_Queued]") -> typing.Any:
    """Return a heap's first item that is not cancelled, or None."""
    while heap and heap[0][3].done:
        heapq.heappop(heap)
    return heap[0][3] if heap else None
