"""Orders waiting calls by rank, and within a rank fairly by customer.

This is start-time fair queueing. Each call gets a start tag: the larger of
the queue's virtual time and the tag at which its customer's previous call
ends. The call with the lowest tag is next, and the virtual time becomes its
tag. A customer that sends many calls so waits behind its own calls, and one
that sends few waits for about one call of each other customer. Without
customers the order is that of arrival.
"""

import dataclasses
import heapq
import itertools
import typing

from godwitflow.model import ids

Item = typing.TypeVar("Item")


@dataclasses.dataclass(order=True, slots=True)
class Entry(typing.Generic[Item]):
    """A waiting item; ``item`` is None once it has been removed."""

    rank: int
    start: float
    sequence: int
    item: Item | None = dataclasses.field(compare=False)


class FairQueue(typing.Generic[Item]):
    """A queue of items that are taken or removed once each."""

    def __init__(self) -> None:
        self._heap: list[Entry[Item]] = []
        self._entries: dict[int, Entry[Item]] = {}
        self._sequence = itertools.count()
        self._virtual_times: dict[int, float] = {}
        self._ends: dict[tuple[int, ids.CustomerName | None], float] = {}

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._entries)

    def push(
        self,
        item: Item,
        rank: int,
        customer: ids.CustomerName | None = None,
        cost: float = 1.0,
    ) -> None:
        """Add an item; ``cost`` is its work, relative to that of others."""
        start = max(
            self._virtual_times.get(rank, 0.0),
            self._ends.get((rank, customer), 0.0),
        )
        self._ends[rank, customer] = start + cost
        entry = Entry(rank, start, next(self._sequence), item)
        self._entries[id(item)] = entry
        heapq.heappush(self._heap, entry)

    def pop(self) -> Entry[Item] | None:
        """Take the next entry; None if there is none."""
        while self._heap:
            entry = heapq.heappop(self._heap)
            if entry.item is not None:
                del self._entries[id(entry.item)]
                self._virtual_times[entry.rank] = entry.start
                return entry
        self._virtual_times.clear()
        self._ends.clear()
        return None

    def restore(self, entry: Entry[Item]) -> None:
        """Put back an entry that was taken; it keeps its place."""
        self._entries[id(entry.item)] = entry
        heapq.heappush(self._heap, entry)

    def remove(self, item: Item) -> None:
        """Remove an item, if it waits, and free what it holds."""
        entry = self._entries.pop(id(item), None)
        if entry is not None:
            entry.item = None
