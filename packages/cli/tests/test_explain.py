"""Tests of explaining one request from logs."""

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
    def test_lines_of_one_request_are_sorted_by_time(self):
        lines = commands.explain("r1", LINES)
        self.assertEqual(
            ["1.500 n1 call_repeated ", "2.500 n2 refused status=504"], lines
        )

    def test_unknown_request_gives_no_lines(self):
        self.assertEqual([], commands.explain("r9", LINES))
