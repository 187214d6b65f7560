"""Tests of a node's lifecycle: start, readiness, addresses and stop."""

import dataclasses
import unittest

import node_fixture

from godwitflow.model import ids
from godwitflow.policy import node_load
from godwitflow.policy import retry_budget
from godwitflow.tier import settings
from godwitflow.wire import codec
from godwitflow.wire import messages


class NodeTest(unittest.TestCase):
    def test_node_without_configuration_is_not_ready(self):
        fixture = node_fixture.NodeFixture()
        fixture.advance(300.0)
        self.assertIn(b" 503 ", fixture.request(2))
        self.assertIn(b" 503 ", fixture.request(3))
        self.assertIn(b" 503 ", fixture.request(1, b"/one/"))

    def test_node_serves_with_configuration_and_registrations(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        self.assertIn(b" 200 ", fixture.request(2))
        self.assertIn(b"10.0.0.1:1", fixture.request(3))
        self.assertIn(b"whole", fixture.request(1, b"/one/"))
        self.assertIn(b"answers_total", fixture.request(4))

    def test_invalid_registration_is_logged_and_ignored(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.store.write("upstreams", "odd", {"state": 7})
        fixture.advance(1_000.0)
        unusable = [
            row["upstream"]
            for event, row in fixture.log.lines
            if event == "registration_unusable"
        ]
        self.assertEqual(["odd"], unusable)
        self.assertIn(b"whole", fixture.request(1, b"/one/"))

    def test_address_ttl_is_limited_by_settings(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        self.assertIn(b"ttl 2.0", fixture.request(3))
        current = fixture.node._settings
        bounds = dataclasses.replace(current.bounds, max_address_age_ms=700.0)
        fixture.node.apply_settings(
            dataclasses.replace(current, bounds=bounds)
        )
        self.assertIn(b"ttl 0.7", fixture.request(3))

    def test_changed_settings_keep_what_upstreams_said(self):
        fixture = node_fixture.serving_node()
        fixture.upstream.leaving = (b"1",)
        fixture.request(1, b"/one/")
        current = fixture.node._settings
        bounds = dataclasses.replace(current.bounds, drain_ms=9_000.0)
        fixture.node.apply_settings(
            dataclasses.replace(current, bounds=bounds)
        )
        fixture.advance(3_000.0)
        arrived = len(fixture.upstream.arrived_at_ms)
        self.assertIn(b" 503 ", fixture.request(1, b"/one/"))
        self.assertEqual(arrived, len(fixture.upstream.arrived_at_ms))

    def test_first_start_registers_node_in_store(self):
        fixture = node_fixture.NodeFixture()
        fixture.advance(100.0)
        (entry,) = fixture.store.listing("members").objects
        self.assertEqual("10.0.0.1:5", entry.spec["inner"])

    def test_starting_node_learns_which_requests_crash_upstreams(self):
        # It ran them again, as peers had told it of no earlier strike.
        fixture = node_fixture.serving_node()
        history = fixture.node.dispatcher.crash_history
        for _ in range(2):
            history.record_crashes(5, 2, fixture.node._now_ms())
        told = []
        fixture.node.peers.transport = fixture.reactor
        fixture.reactor.write = lambda data, address: told.append(data)
        header = codec.Header(codec.VERSION, "n2", 7, "10.0.0.2:5")
        pull = codec.encode(header, [messages.MembersPull()])
        fixture.node.peers.datagramReceived(pull, ("10.0.0.2", 5))
        started = node_fixture.serving_node()
        for data in told:
            started.node.peers.datagramReceived(data, ("10.0.0.1", 5))
        now_ms = started.node._now_ms()
        started_history = started.node.dispatcher.crash_history
        self.assertTrue(started_history.is_blocked(5, now_ms))

    def test_stop_withdraws_address_and_finishes_requests(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        fixture.upstream.latency_ms = 2_500.0
        slow = fixture.connect(1)
        slow.dataReceived(node_fixture.GET % b"/one/")
        fixture.node.stop()
        self.assertIn(b" 503 ", fixture.request(2))
        self.assertIn(b" 503 ", fixture.request(3))
        fixture.advance(700.0)
        self.assertEqual([], fixture.stop_results)
        later = fixture.connect(1)
        fixture.upstream.latency_ms = 10.0
        later.dataReceived(node_fixture.GET % b"/one/")
        fixture.advance(100.0)
        self.assertIn(b"whole", later.transport.value())
        self.assertIn(b"Connection: close", later.transport.value())
        fixture.advance(node_fixture.GRACE_MS)
        self.assertEqual([None], fixture.stop_results)
        self.assertTrue(slow.transport.value())

    def test_idle_stopping_node_serves_until_address_ttl_ends(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        fixture.node.stop()
        fixture.advance(fixture.node.directory.address_ttl_ms + 100.0)
        self.assertEqual([], fixture.stop_results)
        self.assertIn(b"whole", fixture.request(1, b"/one/"))
        fixture.advance(node_fixture.GRACE_MS)
        self.assertEqual([None], fixture.stop_results)

    def test_request_taken_late_in_a_stop_is_answered_before_its_end(self):
        for path in (b"/long/", b"/once/"):
            fixture = node_fixture.NodeFixture()
            fixture.fill_store()
            fixture.advance(1_000.0)
            fixture.upstream.latency_ms = 8_000.0
            fixture.node.stop()
            fixture.advance(3_200.0)
            connection = fixture.connect(1)
            connection.dataReceived(node_fixture.GET % path)
            fixture.advance(100.0)
            self.assertEqual(1, len(fixture.upstream.executions))
            fixture.advance(node_fixture.GRACE_MS)
            self.assertEqual([None], fixture.stop_results)
            self.assertIn(b" 504 ", connection.transport.value())

    def test_request_that_cannot_end_before_the_stop_is_refused_at_once(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        fixture.node.stop()
        fixture.advance(3_600.0)
        self.assertIn(b" 503 ", fixture.request(1, b"/once/"))
        self.assertIn(b" 200 ", fixture.request(1, b"/long/"))
        self.assertEqual(1, len(fixture.upstream.executions))

    def test_exception_in_loop_is_logged_and_loop_restarted(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        exceptions = [RuntimeError("once")]
        calls = []

        def action():
            calls.append(1)
            if exceptions:
                raise exceptions.pop()

        fixture.node._start_loop(0.1, action)
        fixture.advance(1_000.0)
        self.assertGreater(len(calls), 5)
        logged_errors = [
            row["error"]
            for event, row in fixture.log.lines
            if event == "task_failed"
        ]
        self.assertEqual(1, len(logged_errors))
        self.assertIn("once", logged_errors[0])
        self.assertIn(b"whole", fixture.request(1, b"/one/"))

    def test_stop_ends_within_grace_with_open_connection(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        fixture.connect(1)
        fixture.node.stop()
        fixture.node.stop()
        fixture.advance(node_fixture.GRACE_MS - 100.0)
        self.assertEqual([None], fixture.stop_results)

    def test_only_changed_members_are_logged(self):
        fixture = node_fixture.NodeFixture()
        fixture.advance(300.0)
        for number in range(60):
            update = messages.MemberUpdate(
                ids.NodeId(f"m{number}"),
                ids.FailureDomain("d1"),
                f"10.0.2.{number}:5",
                "",
                "",
                1,
                messages.MemberState.ALIVE,
            )
            fixture.node.peers.membership.merge(0.0, [update])
            fixture.node.peers._report_changes()
        lines = [row for event, row in fixture.log.lines if event == "members"]
        names = [name for row in lines for name in row["changed"]]
        self.assertEqual(61, len(names))
        self.assertEqual(61, len(set(names)))

    def test_busy_and_calm_are_announced_and_logged(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        for calls, load in ((5_000, node_load.BUSY_LOAD), (0, 0.0)):
            for _ in range(4):
                fixture.node.dispatcher.call_count += calls
                fixture.advance(500.0)
            self.assertEqual(load, fixture.node.peers.membership.me.load)
        events = [event for event, _ in fixture.log.lines]
        self.assertLess(events.index("busy"), events.index("calm"))

    def test_changed_retry_limits_are_applied(self):
        fixture = node_fixture.NodeFixture()
        fixture.fill_store()
        fixture.advance(1_000.0)
        current = fixture.node._settings
        changed = settings.Bounds(
            node_fixture.GRACE_MS,
            1.0,
            retry_budget.RetryLimits(0.0, 0.0, 10_000.0),
        )
        fixture.node.apply_settings(
            dataclasses.replace(current, bounds=changed)
        )
        budget = fixture.node.dispatcher.service("one").retry_budget
        self.assertFalse(budget.try_acquire(0.0, 1, 0))
