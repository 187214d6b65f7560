"""Tests of requests to one service, on scripted upstreams.

Each plays a load or a fault under a virtual clock.
"""

import unittest

import loads
import net

from godwitflow.model import ids
from godwitflow.policy import crash_history

Mode = net.Mode


class SingleRunTest(unittest.TestCase):
    def test_answer_is_the_upstreams_to_the_byte(self):
        world = net.World()
        loads.all_of(world, "one", body=b"\x00whole\r\n")
        caller = world.ask(b"/one/a?b=c", method=b"POST", body=b"in\x00")
        self.assertEqual(200, caller.response.status)
        self.assertEqual(b"\x00whole\r\n", caller.response.body)
        self.assertIsNotNone(net.value(caller.response, b"x-sign"))
        ran = [up.runs[0] for up in world.services["one"] if up.runs][0]
        self.assertEqual(b"POST /one/a?b=c HTTP/1.1", ran[b"line"])
        self.assertEqual(b"in\x00", ran[b"body"])

    def test_time_left_and_the_expected_upstream_are_sent(self):
        world = net.World()
        world.ask(b"/one/", deadline_ms=700)
        for upstream in world.services["one"]:
            for ran in upstream.runs:
                self.assertLessEqual(int(ran[b"x-left"]), 700)
                self.assertEqual(upstream.name.encode(), ran[b"x-expect"])

    def test_time_left_never_exceeds_the_routes_timeout(self):
        world = net.World()
        world.ask(b"/one/", deadline_ms=60_000)
        ran = [up.runs[0] for up in world.services["one"] if up.runs][0]
        self.assertLessEqual(int(ran[b"x-left"]), 1_000)

    def test_unknown_route_gets_404_and_an_unready_node_503(self):
        world = net.World()
        self.assertEqual(404, world.ask(b"/none/").response.status)
        world.front.registrations_known = False
        caller = world.ask(b"/none/")
        self.assertEqual(503, caller.response.status)
        self.assertIsNotNone(net.value(caller.response, b"retry-after"))

    def test_rejected_call_is_sent_to_another(self):
        world = net.World()
        world.services["one"][0].mode = Mode.REJECT
        world.services["one"][1].mode = Mode.REJECT
        statuses = [world.ask(b"/one/").response.status for _ in range(30)]
        self.assertGreater(statuses.count(200), 24)

    def test_request_that_no_upstream_ran_is_refused_as_not_run(self):
        world = net.World()
        loads.all_of(world, "one", mode=Mode.REJECT)
        caller = world.ask(b"/once/")
        self.assertEqual(503, caller.response.status)
        self.assertEqual(0, loads.runs(world, "one"))

    def test_non_idempotent_request_is_never_sent_after_it_may_have_run(self):
        for mode in (Mode.RESET, Mode.ERROR, Mode.SILENT):
            world = net.World()
            loads.all_of(world, "one", mode=mode)
            caller = world.ask(b"/once/")
            self.assertNotIn(caller.response.status, (429, 503, 408, 421))
            self.assertLessEqual(loads.runs(world, "one"), 1, mode)

    def test_non_idempotent_request_moves_on_where_nothing_was_sent(self):
        world = net.World()
        world.services["one"][0].mode = Mode.REFUSE
        world.services["one"][1].mode = Mode.MISDIRECTED
        caller = world.ask(b"/once/")
        self.assertEqual(200, caller.response.status)
        self.assertEqual(1, loads.runs(world, "one"))

    def test_idempotent_request_survives_a_lost_answer(self):
        world = net.World()
        world.services["one"][0].mode = Mode.RESET
        for _ in range(10):
            self.assertEqual(200, world.ask(b"/one/").response.status)

    def test_attempts_bound_the_upstreams_of_one_request(self):
        world = net.World(replicas=5)
        loads.all_of(world, "one", mode=Mode.RESET)
        world.ask(b"/one/")
        self.assertLessEqual(loads.runs(world, "one"), 2)

    def test_failure_of_all_upstreams_is_passed_on(self):
        world = net.World()
        loads.all_of(world, "one", mode=Mode.ERROR)
        caller = world.ask(b"/one/")
        self.assertEqual(500, caller.response.status)
        self.assertIsNotNone(net.value(caller.response, b"x-sign"))

    def test_encoded_answer_is_no_answer(self):
        world = net.World()
        loads.all_of(world, "one", mode=Mode.ENCODED)
        self.assertEqual(502, world.ask(b"/one/").response.status)

    def test_success_without_a_signature_is_no_answer(self):
        for target in (b"/one/", b"/once/"):
            world = net.World()
            loads.all_of(world, "one", mode=Mode.UNSIGNED)
            self.assertEqual(502, world.ask(target).response.status)
        world = net.World()
        world.services["one"][0].mode = Mode.UNSIGNED
        for _ in range(10):
            self.assertEqual(200, world.ask(b"/one/").response.status)

    def test_status_that_promises_no_run_is_not_taken_from_one_that_ran(self):
        for mode in (Mode.FULL_UNMARKED, Mode.LATE_UNMARKED):
            world = net.World()
            loads.all_of(world, "one", mode=mode)
            caller = world.ask(b"/once/")
            self.assertEqual(1, loads.runs(world, "one"))
            self.assertEqual(502, caller.response.status)
            self.assertIsNone(net.value(caller.response, b"x-sign"))

    def test_log_leads_from_a_request_to_the_upstream_at_fault(self):
        world = net.World(replicas=1)
        loads.all_of(world, "one", mode=Mode.RESET)
        world.ask(b"/once/")
        lines = {event: fields for event, fields in world.log.lines}
        self.assertEqual("one-0", lines["call_failed"]["upstream"])
        self.assertEqual("connection_lost", lines["call_failed"]["outcome"])
        self.assertEqual(502, lines["refused"]["status"])
        self.assertEqual(
            lines["call_failed"]["request"], lines["refused"]["request"]
        )

    def test_no_request_is_held_past_its_routes_timeout(self):
        world = net.World(timeout_ms=300.0)
        loads.all_of(world, "one", mode=Mode.SILENT)
        caller = world.ask(b"/one/", deadline_ms=5_000)
        self.assertEqual(504, caller.response.status)
        self.assertLess(caller.answered_at_ms - 1_000_000.0, 301.0)

    def test_upstream_call_ends_when_the_caller_leaves(self):
        world = net.World()
        loads.all_of(world, "one", latency_ms=500.0)
        _, exchange = world.send(b"/one/")
        world.run(20.0)
        exchange.caller_disconnected()
        world.run(1.0)
        cancelled = [up.cancelled for up in world.services["one"]]
        self.assertEqual(1, sum(cancelled))
        self.assertFalse(world.dispatcher.service("one").queue)

    def test_misdirected_upstream_gets_no_more_requests(self):
        world = net.World()
        world.services["one"][0].mode = Mode.MISDIRECTED
        for _ in range(40):
            world.ask(b"/one/")
        self.assertLessEqual(world.services["one"][0].rejected, 1)

    def test_drained_upstream_gets_no_more_requests(self):
        world = net.World()
        leaving = world.services["one"].pop(0)
        world.register()
        for _ in range(30):
            self.assertEqual(200, world.ask(b"/one/").response.status)
        self.assertEqual([], leaving.runs)

    def test_call_whose_place_was_taken_waits_for_the_next(self):
        world = net.World(replicas=1)
        place = world.dispatcher.service("one").upstreams[0].pool
        real, place.try_send = place.try_send, lambda call: None
        caller, _ = world.send(b"/one/")
        place.try_send = real
        world.dispatcher.service("one").dispatch_queue()
        world.run(50.0)
        self.assertEqual(200, caller.response.status)

    def test_connections_of_two_lives_fit_the_cap(self):
        world = net.World(replicas=1)
        world.dispatcher.apply_node_count(9)
        place = world.dispatcher.service("one").upstreams[0].pool
        before = place.max_connections
        world.dispatcher.apply_recent_start(True)
        self.assertLessEqual(9 * place.max_connections, 26 // 2)
        self.assertGreaterEqual(place.max_connections, 1)
        world.dispatcher.apply_recent_start(False)
        self.assertEqual(before, place.max_connections)

    def test_calls_wait_for_a_place_most_urgent_first(self):
        world = net.World(replicas=1)
        world.dispatcher.apply_node_count(26)
        late = [world.send(b"/one/")[0] for _ in range(3)]
        world.routes.append(
            net.route(
                "urgent",
                b"/urgent/",
                world.routes[0].target,
                priority=ids.Rank(0),
            )
        )
        world.apply()
        urgent, _ = world.send(b"/urgent/")
        world.run(100.0)
        order = sorted([*late, urgent], key=lambda one: one.answered_at_ms)
        self.assertIs(urgent, order[1])


class StrikesTest(unittest.TestCase):
    def test_request_that_crashes_upstreams_is_refused_before_it_runs(self):
        for target, services in ((b"/one/bad", ["one"]), (b"/all/bad", None)):
            world = net.World(shards=4)
            services = services or [f"s{number}" for number in range(4)]
            told = []
            world.dispatcher.on_crashes = lambda *strike: told.append(strike)
            for service in services:
                loads.all_of(world, service, mode=Mode.RESET)
            for _ in range(4):
                caller = world.ask(target)
            before = sum(loads.runs(world, service) for service in services)
            for _ in range(5):
                caller = world.ask(target)
                self.assertEqual(503, caller.response.status)
            after = sum(loads.runs(world, service) for service in services)
            self.assertEqual(before, after)
            self.assertGreaterEqual(len(told), 2)
            for service in services:
                loads.all_of(world, service, mode=Mode.SOUND)
            world.run(1_500.0)
            other = target.replace(b"bad", b"good")
            self.assertEqual(200, world.ask(other).response.status)

    def test_strikes_of_peers_count(self):
        world = net.World()
        mark = crash_history.fingerprint(b"GET", b"/one/bad", None)
        for _ in range(2):
            world.dispatcher.crash_history.record_crashes(
                mark, 2, world.net.now_ms()
            )
        caller = world.ask(b"/one/bad")
        self.assertEqual(503, caller.response.status)
        self.assertEqual(0, loads.runs(world, "one"))
