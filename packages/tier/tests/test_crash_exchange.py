"""Tests of what nodes tell each other of requests that crash upstreams."""

import unittest

from godwitflow.policy import crash_history
from godwitflow.tier import crash_exchange

FINGERPRINT = 5


class Member:
    """A node that hears what the others broadcast."""

    def __init__(self, fleet):
        self.now_ms = 1_000.0
        self.history = crash_history.CrashHistory()
        self.exchange = crash_exchange.CrashExchange(
            self.history,
            lambda message: fleet.broadcast(self, message),
            lambda: self.now_ms,
        )

    def refuses(self):
        return self.history.is_blocked(FINGERPRINT, self.now_ms)


class Fleet:
    """Two members with clocks that differ."""

    def __init__(self):
        self.members = [Member(self), Member(self)]
        self.members[1].now_ms = 900_000.0

    def broadcast(self, sender, message):
        for member in self.members:
            if member is not sender:
                member.exchange.on_suspicions(message)


class CrashExchangeTest(unittest.TestCase):
    def test_strikes_of_all_nodes_count_at_each(self):
        fleet = Fleet()
        first, second = fleet.members
        for member in (first, second):
            member.history.record_crashes(FINGERPRINT, 2, member.now_ms)
            member.exchange.report(FINGERPRINT, 2)
        self.assertTrue(first.refuses())
        self.assertTrue(second.refuses())

    def test_node_that_starts_learns_what_is_refused_and_since_when(self):
        first, started = Fleet().members
        for _ in range(2):
            first.history.record_crashes(FINGERPRINT, 2, first.now_ms)
        first.now_ms += 60_000.0
        started.exchange.on_suspicions(first.exchange.suspicions())
        self.assertTrue(started.refuses())
        started.now_ms += crash_history.RETENTION_MS - 60_000.0 + 1.0
        self.assertFalse(started.refuses())

    def test_node_that_refuses_nothing_tells_nothing(self):
        first, _ = Fleet().members
        first.history.record_crashes(FINGERPRINT, 2, first.now_ms)
        self.assertEqual((), first.exchange.suspicions().entries)
