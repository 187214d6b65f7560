"""Tests of the ages of news."""

import doctest
import unittest

from godwitflow.wire import ages
from godwitflow.wire import messages


class AddTest(unittest.TestCase):
    def test_all_news_of_a_message_is_older(self):
        want = messages.PermitWant(1, "u1", 1, True, 5.0, 30.0)
        suspicion = messages.Suspicion(5, 1, 30.0, 1)
        limit = messages.LimitReport("u1", 1, 5.0, 30.0)
        kind = messages.KindRevision("servers", 7, True, 30.0)
        for message, field in (
            (messages.PermitRequest(True, (want, want)), "wants"),
            (messages.Suspicions((suspicion, suspicion)), "entries"),
            (messages.LimitReports((limit, limit)), "reports"),
            (messages.Revisions((kind, kind)), "kinds"),
        ):
            older = getattr(ages.add(message, 500.0), field)
            self.assertEqual([530.0] * 2, [item.age_ms for item in older])

    def test_messages_without_news_stay_as_they_are(self):
        message = messages.MembersPull(5)
        self.assertIs(message, ages.add(message, 500.0))


def load_tests(loader, tests, pattern):
    """Add the doctests."""
    tests.addTests(doctest.DocTestSuite(ages))
    return tests
