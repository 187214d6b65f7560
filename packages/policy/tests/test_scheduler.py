"""Compares the scheduler with a sorted list."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.policy import scheduler

FLOORS = (0.0, 0.25, 0.1)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)


@dataclasses.dataclass(eq=False)
class Item:
    rank: int
    deadline_at_ms: float
    tie_breaker: int
    canary: bool = False
    done: bool = False
    queued: bool = False


class SortedList:
    """A reference implementation that sorts its items for each pop."""

    def __init__(self, floors):
        self.floors = floors
        self.credits = [0.0] * len(floors)
        self.items = []
        self.sequence = 0

    def push(self, item):
        self.sequence += 1
        self.items.append((item, self.sequence))

    def discard(self, item):
        self.items = [row for row in self.items if row[0] is not item]

    def pop(self, max_rank):
        waiting = {row[0].rank for row in self.items}
        due = [
            rank
            for rank in range(1, len(self.floors))
            if rank in waiting and self.credits[rank] >= 1.0
        ]
        fit = [rank for rank in sorted(waiting) if rank <= max_rank]
        if not due and not fit:
            return None
        rank = (due or fit)[0]
        if self.credits[rank] >= 1.0:
            self.credits[rank] -= 1.0
        for other in range(1, len(self.floors)):
            share = self.floors[other] * scheduler.FLOOR_MARGIN
            raised = self.credits[other] + share
            self.credits[other] = min(scheduler.CREDIT_CAP, raised)
        same_rank = [row for row in self.items if row[0].rank == rank]
        same_rank.sort(
            key=lambda row: (
                not row[0].canary,
                row[0].deadline_at_ms,
                row[0].tie_breaker,
                row[1],
            )
        )
        self.items.remove(same_rank[0])
        return same_rank[0][0]


PUSH = strategies.tuples(
    strategies.just("push"),
    strategies.integers(0, 2),
    strategies.integers(0, 5),
    strategies.integers(0, 3),
    strategies.booleans(),
)
POP = strategies.tuples(strategies.just("pop"), strategies.integers(0, 2))
DISCARD = strategies.tuples(
    strategies.just("discard"), strategies.integers(0, 30)
)
STEPS = strategies.lists(PUSH | PUSH | POP | DISCARD, max_size=60)


def agrees(kind, steps):
    real, reference = kind(FLOORS), SortedList(FLOORS)
    pushed = []
    for step in steps:
        match step:
            case ("push", rank, deadline, tie_breaker, canary):
                item = Item(rank, float(deadline), tie_breaker, canary)
                pushed.append(item)
                real.push(item)
                reference.push(item)
            case ("pop", max_rank):
                if real.pop(max_rank) is not reference.pop(max_rank):
                    return False
            case ("discard", index) if index < len(pushed):
                real.discard(pushed[index])
                reference.discard(pushed[index])
        if real.waiting != len(reference.items):
            return False
    return True


class NoDeadline(scheduler.Scheduler):
    """A mutation that ignores deadlines."""

    def push(self, item):
        item.deadline_at_ms, deadline_at_ms = 0.0, item.deadline_at_ms
        super().push(item)
        item.deadline_at_ms = deadline_at_ms


class NoFloor(scheduler.Scheduler):
    """A mutation that ignores the floors."""

    def due_rank(self):
        return None


class SchedulerTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(STEPS)
    def test_same_as_sorted_list(self, steps):
        self.assertTrue(agrees(scheduler.Scheduler, steps))

    def test_mutations_are_caught(self):
        for mutation in (NoDeadline, NoFloor):
            found = hypothesis.find(
                STEPS,
                lambda steps, kind=mutation: not agrees(kind, steps),
                settings=hypothesis.settings(SETTINGS, max_examples=3000),
            )
            self.assertTrue(found)

    def test_floors_hold_with_many_urgent_items(self):
        queue = scheduler.Scheduler(FLOORS)
        for number in range(2000):
            queue.push(Item(number % 3, 0.0, number))
        starts = [queue.pop(2).rank for _ in range(400)]
        self.assertGreaterEqual(starts.count(1), 0.25 * 400 - 4)
        self.assertGreaterEqual(starts.count(2), 0.10 * 400 - 4)

    def test_expired_items_are_dropped(self):
        queue = scheduler.Scheduler(FLOORS)
        for deadline in (1.0, 2.0, 3.0):
            queue.push(Item(1, deadline, 0))
        self.assertEqual(2, len(queue.drop_expired(2.0)))
        self.assertEqual(1, queue.waiting)
