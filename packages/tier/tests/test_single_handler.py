"""Tests of requests to one service, with simulated upstreams."""

import unittest

import simulated_upstreams
import simulation
import simulation_helpers as helpers

from godwitflow.model import ids
from godwitflow.policy import crash_history

Mode = simulated_upstreams.Mode


class SingleHandlerTest(unittest.TestCase):
    def test_response_is_forwarded_unchanged(self):
        sim = simulation.Simulation()
        helpers.set_all(sim, "one", body=b"\x00whole\r\n")
        caller = sim.request(b"/one/a?b=c", method=b"POST", body=b"in\x00")
        self.assertEqual(200, caller.response.status)
        self.assertEqual(b"\x00whole\r\n", caller.response.body)
        self.assertIsNotNone(
            simulation.find_header(caller.response, b"x-sign")
        )
        execution = [
            upstream.executions[0]
            for upstream in sim.services["one"]
            if upstream.executions
        ][0]
        self.assertEqual(b"POST /one/a?b=c HTTP/1.1", execution[b"line"])
        self.assertEqual(b"in\x00", execution[b"body"])

    def test_deadline_and_expected_upstream_are_sent(self):
        sim = simulation.Simulation()
        sim.request(b"/one/", deadline_ms=700)
        for upstream in sim.services["one"]:
            for execution in upstream.executions:
                self.assertLessEqual(int(execution[b"x-left"]), 700)
                self.assertEqual(
                    upstream.name.encode(), execution[b"x-expect"]
                )

    def test_deadline_is_limited_by_route_timeout(self):
        sim = simulation.Simulation()
        sim.request(b"/one/", deadline_ms=60_000)
        execution = [
            upstream.executions[0]
            for upstream in sim.services["one"]
            if upstream.executions
        ][0]
        self.assertLessEqual(int(execution[b"x-left"]), 1_000)

    def test_unknown_route_gets_404_and_unready_node_503(self):
        sim = simulation.Simulation()
        self.assertEqual(404, sim.request(b"/none/").response.status)
        sim.router.registrations_known = False
        caller = sim.request(b"/none/")
        self.assertEqual(503, caller.response.status)
        self.assertIsNotNone(
            simulation.find_header(caller.response, b"retry-after")
        )

    def test_rejected_call_is_sent_to_other_upstream(self):
        sim = simulation.Simulation()
        sim.services["one"][0].mode = Mode.REJECT
        sim.services["one"][1].mode = Mode.REJECT
        statuses = [sim.request(b"/one/").response.status for _ in range(30)]
        self.assertGreater(statuses.count(200), 24)

    def test_request_rejected_by_all_upstreams_gets_503(self):
        sim = simulation.Simulation()
        helpers.set_all(sim, "one", mode=Mode.REJECT)
        caller = sim.request(b"/once/")
        self.assertEqual(503, caller.response.status)
        self.assertEqual(0, helpers.execution_count(sim, "one"))

    def test_non_idempotent_request_is_not_resent_if_maybe_executed(self):
        for mode in (Mode.RESET, Mode.ERROR, Mode.SILENT):
            sim = simulation.Simulation()
            helpers.set_all(sim, "one", mode=mode)
            caller = sim.request(b"/once/")
            self.assertNotIn(caller.response.status, (429, 503, 408, 421))
            self.assertLessEqual(helpers.execution_count(sim, "one"), 1, mode)

    def test_non_idempotent_request_is_resent_if_not_executed(self):
        sim = simulation.Simulation()
        sim.services["one"][0].mode = Mode.REFUSE
        sim.services["one"][1].mode = Mode.MISDIRECTED
        caller = sim.request(b"/once/")
        self.assertEqual(200, caller.response.status)
        self.assertEqual(1, helpers.execution_count(sim, "one"))

    def test_idempotent_request_is_retried_after_lost_connection(self):
        sim = simulation.Simulation()
        sim.services["one"][0].mode = Mode.RESET
        for _ in range(10):
            self.assertEqual(200, sim.request(b"/one/").response.status)

    def test_attempts_limit_calls_of_request(self):
        sim = simulation.Simulation(replicas=5)
        helpers.set_all(sim, "one", mode=Mode.RESET)
        sim.request(b"/one/")
        self.assertLessEqual(helpers.execution_count(sim, "one"), 2)

    def test_error_response_of_all_upstreams_is_forwarded(self):
        sim = simulation.Simulation()
        helpers.set_all(sim, "one", mode=Mode.ERROR)
        caller = sim.request(b"/one/")
        self.assertEqual(500, caller.response.status)
        self.assertIsNotNone(
            simulation.find_header(caller.response, b"x-sign")
        )

    def test_encoded_response_is_refused(self):
        sim = simulation.Simulation()
        helpers.set_all(sim, "one", mode=Mode.ENCODED)
        self.assertEqual(502, sim.request(b"/one/").response.status)

    def test_unsigned_success_is_refused_or_retried(self):
        for target in (b"/one/", b"/once/"):
            sim = simulation.Simulation()
            helpers.set_all(sim, "one", mode=Mode.UNSIGNED)
            self.assertEqual(502, sim.request(target).response.status)
        sim = simulation.Simulation()
        sim.services["one"][0].mode = Mode.UNSIGNED
        for _ in range(10):
            self.assertEqual(200, sim.request(b"/one/").response.status)

    def test_response_cut_within_its_head_never_becomes_a_success(self):
        for target, calls in ((b"/one/", 2), (b"/once/", 1)):
            sim = simulation.Simulation()
            helpers.set_all(sim, "one", mode=Mode.CUT_HEAD, body=b"x" * 32)
            caller = sim.request(target)
            self.assertEqual(502, caller.response.status)
            self.assertEqual(calls, helpers.execution_count(sim, "one"))
        sim = simulation.Simulation()
        sim.services["one"][0].mode = Mode.CUT_HEAD
        for _ in range(10):
            caller = sim.request(b"/one/")
            self.assertEqual(200, caller.response.status)
            self.assertEqual(16, len(caller.response.body))

    def test_unmarked_not_executed_status_is_not_forwarded(self):
        """An upstream may execute a request and still respond with 503."""
        for mode in (Mode.UNMARKED_503, Mode.UNMARKED_429):
            sim = simulation.Simulation()
            helpers.set_all(sim, "one", mode=mode)
            caller = sim.request(b"/once/")
            self.assertEqual(1, helpers.execution_count(sim, "one"))
            self.assertEqual(502, caller.response.status)
            self.assertIsNone(
                simulation.find_header(caller.response, b"x-sign")
            )

    def test_log_links_request_to_failing_upstream(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(sim, "one", mode=Mode.RESET)
        sim.request(b"/once/")
        lines = {event: fields for event, fields in sim.log.lines}
        self.assertEqual("one-0", lines["call_failed"]["upstream"])
        self.assertEqual("connection_lost", lines["call_failed"]["outcome"])
        self.assertEqual(502, lines["refused"]["status"])
        self.assertEqual(
            lines["call_failed"]["request"], lines["refused"]["request"]
        )

    def test_request_ends_at_route_timeout(self):
        sim = simulation.Simulation(timeout_ms=300.0)
        helpers.set_all(sim, "one", mode=Mode.SILENT)
        caller = sim.request(b"/one/", deadline_ms=5_000)
        self.assertEqual(504, caller.response.status)
        self.assertLess(caller.responded_at_ms - 1_000_000.0, 301.0)

    def test_upstream_call_is_cancelled_when_caller_disconnects(self):
        sim = simulation.Simulation()
        helpers.set_all(sim, "one", latency_ms=500.0)
        _, exchange = sim.send(b"/one/")
        sim.advance(20.0)
        exchange.on_caller_disconnected()
        sim.advance(1.0)
        cancelled = [upstream.cancelled for upstream in sim.services["one"]]
        self.assertEqual(1, sum(cancelled))
        self.assertFalse(sim.dispatcher.service("one").queue)

    def test_misdirected_upstream_gets_no_more_requests(self):
        sim = simulation.Simulation()
        sim.services["one"][0].mode = Mode.MISDIRECTED
        for _ in range(40):
            sim.request(b"/one/")
        self.assertLessEqual(sim.services["one"][0].rejected, 1)

    def test_removed_upstream_gets_no_more_requests(self):
        sim = simulation.Simulation()
        removed = sim.services["one"].pop(0)
        sim.apply_registrations()
        for _ in range(30):
            self.assertEqual(200, sim.request(b"/one/").response.status)
        self.assertEqual([], removed.executions)

    def test_call_is_queued_if_pool_has_no_connection_left(self):
        """Another call may take it after the upstream was chosen."""
        sim = simulation.Simulation(replicas=1)
        pool = sim.dispatcher.service("one").upstreams[0].pool
        try_send, pool.try_send = pool.try_send, lambda call: None
        caller, _ = sim.send(b"/one/")
        pool.try_send = try_send
        sim.dispatcher.service("one").dispatch_queue()
        sim.advance(50.0)
        self.assertEqual(200, caller.response.status)

    def test_connections_after_restart_stay_within_half_the_cap(self):
        """Upstreams may still count those of the previous process."""
        sim = simulation.Simulation(replicas=1)
        sim.dispatcher.apply_node_count(9)
        pool = sim.dispatcher.service("one").upstreams[0].pool
        before = pool.max_connections
        sim.dispatcher.apply_recent_start(True)
        self.assertLessEqual(9 * pool.max_connections, 26 // 2)
        self.assertGreaterEqual(pool.max_connections, 1)
        sim.dispatcher.apply_recent_start(False)
        self.assertEqual(before, pool.max_connections)

    def test_queued_calls_are_sent_most_urgent_first(self):
        sim = simulation.Simulation(replicas=1)
        sim.dispatcher.apply_node_count(26)
        earlier = [sim.send(b"/one/")[0] for _ in range(3)]
        sim.routes.append(
            simulation.make_route(
                "urgent",
                b"/urgent/",
                sim.routes[0].target,
                priority=ids.Rank(0),
            )
        )
        sim.apply_configuration()
        urgent, _ = sim.send(b"/urgent/")
        sim.advance(100.0)
        order = sorted(
            [*earlier, urgent], key=lambda caller: caller.responded_at_ms
        )
        self.assertIs(urgent, order[1])


class CrashHistoryTest(unittest.TestCase):
    def test_request_that_crashes_upstreams_is_refused(self):
        for target, services in ((b"/one/bad", ["one"]), (b"/all/bad", None)):
            sim = simulation.Simulation(shards=4)
            services = services or [f"s{number}" for number in range(4)]
            reports = []
            sim.dispatcher.on_crashes = lambda *args: reports.append(args)
            for service in services:
                helpers.set_all(sim, service, mode=Mode.RESET)
            for _ in range(4):
                caller = sim.request(target)
            before = sum(
                helpers.execution_count(sim, service) for service in services
            )
            for _ in range(5):
                caller = sim.request(target)
                self.assertEqual(503, caller.response.status)
            after = sum(
                helpers.execution_count(sim, service) for service in services
            )
            self.assertEqual(before, after)
            self.assertGreaterEqual(len(reports), 2)
            for service in services:
                helpers.set_all(sim, service, mode=Mode.HEALTHY)
            sim.advance(1_500.0)
            other = target.replace(b"bad", b"good")
            self.assertEqual(200, sim.request(other).response.status)

    def test_crashes_reported_by_peers_count(self):
        sim = simulation.Simulation()
        fingerprint = crash_history.fingerprint(b"GET", b"/one/bad", None)
        for _ in range(2):
            sim.dispatcher.crash_history.record_crashes(
                fingerprint, 2, sim.reactor.now_ms()
            )
        caller = sim.request(b"/one/bad")
        self.assertEqual(503, caller.response.status)
        self.assertEqual(0, helpers.execution_count(sim, "one"))
