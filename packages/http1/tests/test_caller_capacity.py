"""Tests of what callers' requests and connections may take together."""

import unittest

from godwitflow.http1 import caller_capacity

LIMITS = caller_capacity.CapacityLimits(request_bytes=100_000, connections=4)
LARGE_BYTES = 40_000
ORDER = caller_capacity.EvictionOrder


def ranked(order, since_ms):
    return caller_capacity.EvictionRank(order, since_ms)


READING = ranked(ORDER.READING, 0.0)


class FakeConnection:
    """A connection that records how it was ended."""

    def __init__(self, capacity, rank=READING):
        self.held_bytes = 0
        self.rank = rank
        self.refused = False
        self.evicted = False
        self._capacity = capacity
        capacity.add(self)

    def receive(self, count, incomplete=True):
        self._capacity.hold(self, count)
        self._capacity.on_received(self, incomplete)

    def refuse_incomplete(self):
        self.refused = True
        self._capacity.hold(self, 0)

    def eviction_rank(self):
        return self.rank

    def evict(self):
        self.evicted = True
        self._capacity.remove(self)


class CallerCapacityTest(unittest.TestCase):
    def setUp(self):
        self.capacity = caller_capacity.CallerCapacity(LIMITS)

    def connect(self, **options):
        return FakeConnection(self.capacity, **options)

    def test_oldest_incomplete_request_makes_room(self):
        connections = [self.connect() for _ in range(3)]
        for connection in connections:
            connection.receive(LARGE_BYTES)
        refused = [connection.refused for connection in connections]
        self.assertEqual([True, False, False], refused)
        self.assertEqual(2 * LARGE_BYTES, self.capacity.held_bytes)

    def test_complete_requests_are_not_taken_back(self):
        complete = [self.connect() for _ in range(3)]
        for connection in complete:
            connection.receive(LARGE_BYTES, incomplete=False)
        late = self.connect()
        late.receive(LARGE_BYTES)
        self.assertFalse(any(connection.refused for connection in complete))
        self.assertTrue(late.refused)
        self.assertFalse(self.capacity.has_room(complete[2]))

    def test_small_request_has_room_whatever_others_hold(self):
        for _ in range(3):
            self.connect().receive(LARGE_BYTES, incomplete=False)
        small = self.connect()
        small.receive(2_000)
        self.assertFalse(small.refused)
        self.assertTrue(self.capacity.has_room(small))

    def test_bytes_of_a_closed_connection_are_free_again(self):
        connection = self.connect()
        connection.receive(LARGE_BYTES)
        self.capacity.remove(connection)
        self.assertEqual(0, self.capacity.held_bytes)

    def test_connection_that_stalls_gives_way_to_a_new_one(self):
        stalled = self.connect(rank=ranked(ORDER.READING, 5.0))
        fresh = self.connect(rank=ranked(ORDER.READING, 9.0))
        idle = self.connect(rank=ranked(ORDER.IDLE, 1.0))
        serving = self.connect(rank=None)
        self.connect(rank=ranked(ORDER.IDLE, 10.0))
        self.assertTrue(stalled.evicted)
        for connection in (fresh, idle, serving):
            self.assertFalse(connection.evicted)

    def evict_once(self, *ranks):
        """Connect one too many; return which of the others had to go."""
        self.capacity = caller_capacity.CallerCapacity(
            caller_capacity.CapacityLimits(connections=len(ranks))
        )
        connections = [self.connect(rank=each) for each in ranks]
        self.connect(rank=None)
        return [connection.evicted for connection in connections]

    def test_answer_on_its_way_is_cut_only_if_nothing_else_can_go(self):
        # It was the first to be closed, so requests that had run were lost.
        answering = ranked(ORDER.ANSWERING, 1.0)
        for other in (ORDER.CLOSING, ORDER.READING, ORDER.IDLE):
            evicted = self.evict_once(answering, ranked(other, 9.0), None)
            self.assertEqual([False, True, False], evicted, other)
        later = ranked(ORDER.ANSWERING, 2.0)
        evicted = self.evict_once(later, answering, None)
        self.assertEqual([False, True, False], evicted)

    def test_eviction_of_several_spares_answers_on_their_way(self):
        ranks = [ranked(ORDER.ANSWERING, 1.0)] * 50 + [ranked(ORDER.IDLE, 2.0)]
        evicted = self.evict_once(*ranks)
        self.assertEqual([False] * 50 + [True], evicted)

    def test_answer_left_unread_is_the_first_to_be_cut(self):
        unread = ranked(ORDER.UNREAD, 9.0)
        closing = ranked(ORDER.CLOSING, 1.0)
        self.assertEqual([False, True], self.evict_once(closing, unread))

    def test_too_many_incomplete_requests_delay_no_others(self):
        self.capacity.limits = caller_capacity.CapacityLimits(
            request_bytes=10_000_000, incomplete_requests=2
        )
        connections = [self.connect() for _ in range(3)]
        for connection in connections:
            connection.receive(LARGE_BYTES)
        refused = [connection.refused for connection in connections]
        self.assertEqual([True, False, False], refused)
        small = self.connect()
        small.receive(2_000)
        self.assertFalse(small.refused)
