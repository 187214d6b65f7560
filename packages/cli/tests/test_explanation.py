"""Tests of explaining one request from logs."""

import json
import unittest

from godwitflow.cli import explanation

LINES = [
    ' 1.2 n2 {"time":2.5,"node":"n2","event":"refused","request":"r1",'
    '"status":504}',
    '{"time":1.5,"node":"n1","event":"call_repeated","request":"r1"}',
    '{"time":1.6,"node":"n1","event":"call_repeated","request":"r2"}',
    "no json here",
    "{broken",
    "[1]",
]


def line(at_s, event, node="n1", **fields):
    """Return a line of a node's log."""
    entry = {"time": at_s, "steady_ms": at_s * 1e3, "node": node}
    return json.dumps({**entry, "event": event, **fields})


def notice(at_s, event, upstream="u1", **fields):
    return line(at_s, event, upstream=upstream, service="one", **fields)


RETRIED = line(5.0, "call_repeated", request="r1", service="one")


class ExplainTest(unittest.TestCase):
    def test_lines_of_one_request_are_sorted_by_time(self):
        lines = explanation.explain("r1", LINES)
        self.assertEqual(
            ["1.500 n1 call_repeated ", "2.500 n2 refused status=504"], lines
        )

    def test_unknown_request_gives_no_lines(self):
        self.assertEqual([], explanation.explain("r9", LINES))

    def test_lines_with_odd_values_are_no_error(self):
        lines = [
            '{"time":"soon","event":"upstream_paused","pause_ms":[]}',
            '{"time":null,"event":"refused","request":"r1","missing":3}',
        ]
        self.assertEqual(1, len(explanation.explain("r1", lines)))


class NodeViewTest(unittest.TestCase):
    def known(self, *lines):
        """Return what the node knew when it repeated the call."""
        story = explanation.explain("r1", [*lines, RETRIED])
        return [text.strip() for text in story if text.startswith(" ")]

    def test_notice_is_the_reason_of_the_choice_of_another_upstream(self):
        self.assertEqual(
            ["u1 of one wants no calls for 1.5 s more", "u2 of one leaves"],
            self.known(
                notice(4.5, "upstream_paused", pause_ms=2_000.0),
                notice(4.7, "upstream_leaving", upstream="u2"),
            ),
        )

    def test_what_has_ended_or_is_of_another_service_is_left_out(self):
        other = line(4.0, "upstream_leaving", upstream="u3", service="two")
        self.assertEqual(
            [],
            self.known(
                notice(4.0, "upstream_paused", pause_ms=500.0),
                notice(4.6, "upstream_resumed"),
                notice(4.0, "upstream_doubted"),
                notice(4.6, "upstream_back"),
                notice(4.0, "limit_known", calls_per_s=2.0),
                notice(4.6, "limit_ended"),
                other,
            ),
        )

    def test_what_another_node_or_an_earlier_process_knew_is_left_out(self):
        self.assertEqual(
            [],
            self.known(
                line(
                    4.0,
                    "upstream_leaving",
                    node="n2",
                    upstream="u1",
                    service="one",
                ),
                notice(4.0, "upstream_leaving"),
                line(4.5, "started"),
            ),
        )

    def test_shards_that_are_missing_are_explained(self):
        story = explanation.explain(
            "r1",
            [
                notice(4.0, "limit_known", calls_per_s=2.0),
                line(
                    5.0,
                    "partial_answer",
                    request="r1",
                    missing={"one": "rate_limited"},
                ),
            ],
        )
        self.assertEqual("    u1 of one takes 2.0 calls/s", story[-1])

    def test_each_reason_is_given_once(self):
        story = explanation.explain(
            "r1", [notice(4.0, "upstream_leaving"), RETRIED, RETRIED]
        )
        self.assertEqual(3, len(story))

    def test_evacuation_is_the_reason_until_it_ends(self):
        begin = line(4.0, "evacuation", failure_domain="east")
        end = line(4.5, "evacuation_ended", failure_domain="east")
        self.assertEqual(
            ["upstreams of east get no calls: evacuated"], self.known(begin)
        )
        self.assertEqual([], self.known(begin, end))
