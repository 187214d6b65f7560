"""Tests of the story of one request."""

import unittest

from godwitflow.cli import commands

LINES = [
    ' 1.2 n2 {"time":2.5,"node":"n2","event":"refused","request":"r1",'
    '"status":504}',
    '{"time":1.5,"node":"n1","event":"call_repeated","request":"r1"}',
    '{"time":1.6,"node":"n1","event":"call_repeated","request":"r2"}',
    "no json here",
    "{broken",
    "[1]",
]


class ExplainTest(unittest.TestCase):
    def test_lines_of_one_request_come_in_order(self):
        story = commands.explain("r1", LINES)
        self.assertEqual(
            ["1.500 n1 call_repeated ", "2.500 n2 refused status=504"], story
        )

    def test_unknown_request_has_no_story(self):
        self.assertEqual([], commands.explain("r9", LINES))
