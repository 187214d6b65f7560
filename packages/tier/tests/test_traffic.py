"""Tests of the byte counts by purpose and failure domain."""

import unittest

import simulation

from godwitflow.model import ids
from godwitflow.tier import traffic

Purpose = traffic.Purpose


class TrafficTest(unittest.TestCase):
    def setUp(self):
        self.traffic = traffic.Traffic(ids.FailureDomain("d1"))

    def test_counts_by_locality(self):
        calls = Purpose.UPSTREAM_CALLS
        self.traffic.count_for(calls, ids.FailureDomain("d1")).sent += 10
        self.traffic.count_for(calls, ids.FailureDomain("d2")).sent += 7
        self.traffic.count_for(calls, ids.FailureDomain("d3")).received += 5
        self.traffic.count_for(calls, None).sent += 1
        self.assertEqual(
            {
                "upstream_calls/same_domain": [10, 0],
                "upstream_calls/other_domain": [7, 5],
                "upstream_calls/unknown": [1, 0],
            },
            self.traffic.summary(),
        )

    def test_lines_have_one_value_a_direction(self):
        count = self.traffic.count_for(
            Purpose.MEMBERSHIP, ids.FailureDomain("d2")
        )
        count.sent += 3
        labels = 'purpose="membership",locality="other_domain"'
        self.assertEqual(
            [
                f'godwitflow_bytes_total{{{labels},direction="sent"}} 3',
                f'godwitflow_bytes_total{{{labels},direction="received"}} 0',
            ],
            self.traffic.lines(),
        )


class UpstreamTrafficTest(unittest.TestCase):
    def test_calls_are_counted_in_both_directions(self):
        sim = simulation.Simulation(shards=2)
        sim.request(b"/all/x")
        sent, received = sim.traffic.summary()["upstream_calls/same_domain"]
        request_bytes = len(b"GET /all/x HTTP/1.1\r\n\r\n")
        self.assertGreater(sent, 2 * request_bytes)
        self.assertGreater(received, 2 * 16)  # a record from each shard
