"""Tests of calls to upstreams that leave or ask for no calls."""

import unittest

import simulated_upstreams
import simulation
import simulation_helpers as helpers

from godwitflow.http1 import messages

Mode = simulated_upstreams.Mode
DRAIN_MS = 3_000.0


def logged(sim, event):
    return [fields for name, fields in sim.log.lines if name == event]


def retry_after_s(caller):
    return float(messages.find_header(caller.response.headers, b"retry-after"))


class LeavingTest(unittest.TestCase):
    def test_one_that_leaves_gets_no_calls_while_others_answer(self):
        # Requests went on to it for as long as the store said nothing.
        for mode in (Mode.HEALTHY, Mode.ERROR, Mode.REJECT):
            sim = simulation.Simulation()
            leaving, *_ = sim.services["one"]
            leaving.leaving = (b"1",)
            leaving.mode = mode
            for _ in range(60):
                sim.request(b"/one/")
            arrived = len(leaving.arrived_at_ms)
            self.assertGreater(arrived, 0)
            for _ in range(40):
                caller = sim.request(b"/one/")
                self.assertEqual(200, caller.response.status)
            self.assertEqual(arrived, len(leaving.arrived_at_ms), mode)
            self.assertEqual(1, len(logged(sim, "upstream_leaving")))

    def test_last_one_is_used_until_it_has_drained(self):
        sim = simulation.Simulation(replicas=1)
        (last,) = sim.services["one"]
        last.leaving = (b"1",)
        heard_at_ms = None
        for _ in range(50):
            caller = sim.request(b"/one/")
            if heard_at_ms is None:
                heard_at_ms = sim.reactor.now_ms()
            sim.advance(100.0)
        self.assertEqual(503, caller.response.status)
        served_ms = max(last.arrived_at_ms) - heard_at_ms
        self.assertLess(served_ms, DRAIN_MS)
        self.assertGreater(served_ms, 0.7 * DRAIN_MS)

    def test_shard_without_others_is_left_out_after_it_has_drained(self):
        sim = simulation.Simulation(shards=4, replicas=1)
        (last,) = sim.services["s0"]
        last.leaving = (b"1",)
        sim.request(b"/all/")
        sim.advance(DRAIN_MS)
        caller = sim.request(b"/all/")
        self.assertEqual(200, caller.response.status)
        self.assertEqual(
            b"1", messages.find_header(caller.response.headers, b"x-missing")
        )
        self.assertEqual(1, len(last.arrived_at_ms))

    def test_registration_of_the_same_instance_ends_nothing(self):
        sim = simulation.Simulation(replicas=1)
        (last,) = sim.services["one"]
        last.leaving = (b"1",)
        sim.request(b"/one/")
        last.leaving = ()
        upstreams = sim.services["one"]
        sim.services["one"] = []
        sim.apply_registrations()
        sim.services["one"] = upstreams
        sim.apply_registrations()
        sim.advance(DRAIN_MS)
        self.assertEqual(503, sim.request(b"/one/").response.status)
        last.started_at_ms = 2
        sim.apply_registrations()
        self.assertEqual(200, sim.request(b"/one/").response.status)

    def test_response_of_another_upstream_or_odd_value_says_nothing(self):
        for mode, value in (
            (Mode.MISDIRECTED, b"1"),
            (Mode.HEALTHY, b"0"),
            (Mode.HEALTHY, b""),
        ):
            sim = simulation.Simulation(replicas=1)
            helpers.set_all(sim, "one", leaving=(value,), mode=mode)
            sim.request(b"/one/")
            self.assertEqual([], logged(sim, "upstream_leaving"))


class PauseTest(unittest.TestCase):
    def test_paused_one_gets_no_calls_and_all_requests_are_served(self):
        # It was asked again within the time, as any that is full.
        sim = simulation.Simulation(replicas=4)
        paused, *_ = sim.services["one"]
        paused.mode = Mode.REJECT
        paused.retry_after = (b"2",)
        callers = []
        while not paused.arrived_at_ms:
            callers.append(sim.request(b"/one/"))
        until_ms = sim.reactor.now_ms() + 1_900.0
        while sim.reactor.now_ms() < until_ms:
            callers.append(sim.request(b"/one/"))
            sim.advance(5.0)
        self.assertEqual(1, len(paused.arrived_at_ms))
        self.assertEqual({200}, {caller.response.status for caller in callers})

    def test_unmarked_503_that_names_a_time_counts_too(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(
            sim, "one", mode=Mode.UNMARKED_503, retry_after=(b"2",)
        )
        sim.request(b"/one/")
        sim.advance(1_000.0)
        sim.request(b"/one/")
        self.assertEqual(1, len(sim.services["one"][0].arrived_at_ms))

    def test_caller_is_told_when_the_first_one_is_back(self):
        sim = simulation.Simulation(replicas=2)
        helpers.set_all(sim, "one", mode=Mode.REJECT, retry_after=(b"2",))
        sim.request(b"/one/")
        sim.request(b"/one/")
        helpers.set_all(sim, "one", mode=Mode.HEALTHY)
        refused = sim.request(b"/one/")
        self.assertEqual(503, refused.response.status)
        self.assertLess(refused.responded_at_ms - refused.sent_at_ms, 5.0)
        wait_s = retry_after_s(refused)
        self.assertGreater(wait_s, 1.5)
        self.assertLess(wait_s, 2.6)
        sim.advance(1_000.0 * wait_s)
        self.assertEqual(200, sim.request(b"/one/").response.status)
        sim.dispatcher.notice_watch.tick(sim.reactor.now_ms() + 500.0)
        self.assertEqual(2, len(logged(sim, "upstream_paused")))
        self.assertEqual(2, len(logged(sim, "upstream_resumed")))

    def test_caller_of_a_query_is_told_when_enough_shards_are_back(self):
        sim = simulation.Simulation(shards=4, replicas=1)
        for service, pause in (("s0", b"2"), ("s1", b"4")):
            helpers.set_all(
                sim, service, mode=Mode.REJECT, retry_after=(pause,)
            )
        sim.request(b"/all/")
        refused = sim.request(b"/all/")
        self.assertEqual(503, refused.response.status)
        self.assertGreater(retry_after_s(refused), 1.8)
        self.assertLess(retry_after_s(refused), 2.6)

    def test_queued_requests_are_refused_when_all_are_paused(self):
        sim = simulation.Simulation(replicas=1)
        (upstream,) = sim.services["one"]
        upstream.mode = Mode.REJECT
        upstream.retry_after = (b"2",)
        callers = [sim.send(b"/one/")[0] for _ in range(200)]
        sim.advance(300.0)
        self.assertEqual({503}, {caller.response.status for caller in callers})
        first_ms = min(upstream.arrived_at_ms)
        late = [at for at in upstream.arrived_at_ms if at > first_ms + 50.0]
        self.assertEqual([], late)

    def test_paused_one_is_neither_slow_nor_faulty(self):
        sim = simulation.Simulation(replicas=2)
        helpers.set_all(sim, "one", mode=Mode.REJECT, retry_after=(b"1",))
        for _ in range(3):
            sim.request(b"/one/")
            sim.advance(1_200.0)
        for upstream in sim.dispatcher.service("one").upstreams:
            self.assertEqual(0.0, upstream.health.failure_share)
        self.assertEqual([], logged(sim, "upstream_doubted"))

    def test_unreadable_time_is_logged_once_and_pauses_nothing(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(sim, "one", mode=Mode.REJECT, retry_after=(b"-1",))
        for _ in range(5):
            sim.request(b"/one/")
            sim.advance(500.0)
        self.assertEqual(1, len(logged(sim, "pause_unreadable")))
        self.assertEqual(5, len(sim.services["one"][0].arrived_at_ms))
