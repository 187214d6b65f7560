"""Tests of scatter-gather requests, with simulated upstreams."""

import unittest

import simulated_upstreams
import simulation
import simulation_helpers as helpers

from godwitflow.policy import routing
from godwitflow.tier import gather_handler

Mode = simulated_upstreams.Mode


class GatherHandlerTest(unittest.TestCase):
    def test_log_says_why_each_part_is_missing(self):
        sim = simulation.Simulation(shards=5)
        helpers.set_all(sim, "s0", mode=Mode.ERROR)
        sim.request(b"/all/x")
        helpers.set_all(sim, "s0", mode=Mode.HEALTHY)
        helpers.set_all(sim, "s1", latency_ms=900.0)
        sim.advance(3_000.0)
        sim.request(b"/all/x")
        missing = [
            fields["missing"]
            for event, fields in sim.log.lines
            if event == "partial_answer"
        ]
        self.assertEqual([{"s0": "status 500"}, {"s1": "pending"}], missing)

    def test_part_cut_within_its_head_is_left_out(self):
        sim = simulation.Simulation(shards=4)
        helpers.set_all(sim, "s0", mode=Mode.CUT_HEAD)
        caller = sim.request(b"/all/x")
        self.assertEqual(200, caller.response.status)
        self.assertEqual(
            b"1", simulation.find_header(caller.response, b"x-missing")
        )

    def test_complete_response_lists_all_parts_and_top_records(self):
        sim = simulation.Simulation(shards=4)
        caller = sim.request(b"/all/x")
        response = caller.response
        parts = simulation.find_header(response, b"x-parts").split(b", ")
        self.assertEqual(4, len(parts))
        shards = {part.split(b"-")[0] for part in parts}
        self.assertEqual({b"s0", b"s1", b"s2", b"s3"}, shards)
        self.assertEqual(b"0", simulation.find_header(response, b"x-missing"))
        body_by_name = {
            upstream.name.encode(): upstream.body
            for upstreams in sim.services.values()
            for upstream in upstreams
        }
        records = sorted((body_by_name[part] for part in parts), reverse=True)
        self.assertEqual(b"".join(records[:5]), response.body)

    def test_call_to_paused_replica_is_hedged(self):
        sim = simulation.Simulation(shards=4)
        helpers.warm_up(sim)
        sim.services["s0"][0].latency_ms = 250.0
        durations_ms = []
        for _ in range(30):
            start_ms = sim.reactor.now_ms()
            caller = sim.request(b"/all/x")
            self.assertEqual(
                b"0", simulation.find_header(caller.response, b"x-missing")
            )
            durations_ms.append(caller.responded_at_ms - start_ms)
        self.assertLess(max(durations_ms), 100.0)

    def test_slow_shard_is_omitted_to_meet_target(self):
        sim = simulation.Simulation(shards=4)
        helpers.warm_up(sim)
        helpers.set_all(sim, "s0", latency_ms=400.0)
        start_ms = sim.reactor.now_ms()
        caller = sim.request(b"/all/x")
        self.assertEqual(
            b"1", simulation.find_header(caller.response, b"x-missing")
        )
        self.assertLess(caller.responded_at_ms - start_ms, 95.0)
        self.assertNotIn(
            b"s0", simulation.find_header(caller.response, b"x-parts")
        )

    def test_caller_with_new_connection_gets_earlier_cutoff(self):
        durations_ms = {}
        for first in (False, True):
            sim = simulation.Simulation(shards=4)
            helpers.warm_up(sim)
            helpers.set_all(sim, "s0", latency_ms=400.0)
            start_ms = sim.reactor.now_ms()
            caller = sim.request(b"/all/x", first_on_connection=first)
            self.assertEqual(
                b"1", simulation.find_header(caller.response, b"x-missing")
            )
            durations_ms[first] = caller.responded_at_ms - start_ms
        self.assertLess(durations_ms[True], durations_ms[False])

    def test_low_budget_is_reserved_for_stuck_calls(self):
        hedged_ms = {}
        for used_share in (0.0, 0.7):
            sim = simulation.Simulation(shards=2)
            helpers.warm_up(sim)
            helpers.set_all(sim, "s0", latency_ms=300.0)
            budget = sim.dispatcher.service("s0").retry_budget
            now_ms = sim.reactor.now_ms()
            available = next(
                count
                for count in range(99)
                if not budget.try_acquire(now_ms, 1, 1)
            )
            sim.advance(11_000.0, step_ms=100.0)
            for _ in range(int(used_share * available)):
                budget.try_acquire(sim.reactor.now_ms(), 1, 1)
            sim.log.lines.clear()
            sim.request(b"/all/x")
            hedged_ms[used_share] = next(
                fields["elapsed_ms"]
                for event, fields in sim.log.lines
                if event == "call_repeated" and fields["service"] == "s0"
            )
        self.assertLess(hedged_ms[0.0] + 10.0, hedged_ms[0.7])
        self.assertLess(hedged_ms[0.7], 70.0)

    def test_late_complete_response_is_logged(self):
        sim = simulation.Simulation(shards=2)
        helpers.warm_up(sim)
        helpers.set_all(sim, "s0", latency_ms=300.0)
        caller = sim.request(b"/all/x")
        self.assertEqual(
            b"0", simulation.find_header(caller.response, b"x-missing")
        )
        event, fields = sim.log.lines[-1]
        self.assertEqual("late_answer", event)
        self.assertEqual("s0", fields["last"])

    def test_unavailable_shard_does_not_delay_responses(self):
        sim = simulation.Simulation(shards=4)
        helpers.warm_up(sim)
        helpers.set_all(sim, "s0", mode=Mode.SILENT)
        helpers.warm_up(sim, count=30)
        durations_ms = []
        for _ in range(40):
            start_ms = sim.reactor.now_ms()
            caller = sim.request(b"/all/x")
            self.assertEqual(200, caller.response.status)
            durations_ms.append(caller.responded_at_ms - start_ms)
        durations_ms.sort()
        self.assertLess(durations_ms[30], 40.0)

    def test_trial_calls_do_not_delay_queries(self):
        sim = simulation.Simulation(shards=4)
        helpers.warm_up(sim)
        sim.services["s0"][0].mode = Mode.SILENT
        helpers.warm_up(sim, count=60)
        late = 0
        for _ in range(200):
            start_ms = sim.reactor.now_ms()
            caller = sim.request(b"/all/x")
            late += caller.responded_at_ms - start_ms > 18.0
        self.assertLessEqual(late, 2)

    def test_recovered_shard_is_used_again(self):
        sim = simulation.Simulation(shards=4)
        helpers.warm_up(sim)
        helpers.set_all(sim, "s0", mode=Mode.SILENT)
        helpers.warm_up(sim, count=60)
        helpers.set_all(sim, "s0", mode=Mode.HEALTHY)
        sim.advance(1_000.0)
        helpers.warm_up(sim, count=5)
        caller = sim.request(b"/all/x")
        self.assertEqual(
            b"0", simulation.find_header(caller.response, b"x-missing")
        )

    def test_too_few_shards_are_refused_immediately(self):
        sim = simulation.Simulation(shards=4)
        helpers.set_all(sim, "s0", mode=Mode.REJECT)
        helpers.set_all(sim, "s1", mode=Mode.REJECT)
        start_ms = sim.reactor.now_ms()
        caller = sim.request(b"/all/x")
        self.assertIn(caller.response.status, (502, 503))
        self.assertLess(caller.responded_at_ms - start_ms, 25.0)

    def test_response_without_parts_is_refused_with_min_share_0(self):
        sim = simulation.Simulation(shards=3)
        gather = routing.Gather(("s0", "s1", "s2"), 5, 0.0)
        sim.routes[-1] = simulation.make_route("all", b"/all/", gather)
        sim.apply_configuration()
        for number in range(3):
            helpers.set_all(sim, f"s{number}", mode=Mode.REJECT)
        start_ms = sim.reactor.now_ms()
        caller = sim.request(b"/all/x")
        self.assertIn(caller.response.status, (502, 503))
        self.assertLess(caller.responded_at_ms - start_ms, 50.0)

    def test_min_share_has_no_rounding_error(self):
        gather = routing.Gather(tuple(range(100)), 5, 0.07)
        self.assertTrue(gather.is_sufficient(7))
        self.assertFalse(gather.is_sufficient(6))

    def test_unavailable_shards_cause_503_with_retry_after(self):
        sim = simulation.Simulation(shards=4)
        helpers.warm_up(sim)
        helpers.set_all(sim, "s0", mode=Mode.SILENT)
        helpers.set_all(sim, "s1", mode=Mode.SILENT)
        for _ in range(6):
            sim.request(b"/all/x")
        sim.send(b"/all/trial")
        sim.advance(5.0)
        before = sum(
            helpers.execution_count(sim, f"s{number}") for number in (2, 3)
        )
        caller = sim.request(b"/all/x")
        self.assertEqual(503, caller.response.status)
        self.assertIsNotNone(
            simulation.find_header(caller.response, b"retry-after")
        )
        after = sum(
            helpers.execution_count(sim, f"s{number}") for number in (2, 3)
        )
        self.assertEqual(before, after)

    def test_trial_of_unavailable_shards_ends_within_target(self):
        sim = simulation.Simulation(shards=4)
        helpers.warm_up(sim)
        helpers.set_all(sim, "s0", mode=Mode.SILENT)
        helpers.set_all(sim, "s1", mode=Mode.SILENT)
        for _ in range(6):
            sim.request(b"/all/x")
        sim.advance(500.0)
        start_ms = sim.reactor.now_ms()
        caller = sim.request(b"/all/x")
        self.assertNotEqual(200, caller.response.status)
        self.assertLess(caller.responded_at_ms - start_ms, 100.0)

    def test_stale_response_is_not_used_as_part(self):
        sim = simulation.Simulation(shards=4)
        for number in range(4):
            helpers.set_all(sim, f"s{number}", mode=Mode.STALE)
        for _ in range(20):
            caller = sim.request(b"/all/x")
            parts = simulation.find_header(caller.response, b"x-parts")
            self.assertNotIn(b"forged", parts)
            self.assertNotIn(b"old", caller.response.body)

    def test_signed_error_is_not_used_as_part(self):
        sim = simulation.Simulation(shards=4)
        helpers.set_all(sim, "s2", mode=Mode.ERROR)
        caller = sim.request(b"/all/x")
        self.assertEqual(
            b"1", simulation.find_header(caller.response, b"x-missing")
        )
        self.assertNotIn(
            b"s2", simulation.find_header(caller.response, b"x-parts")
        )

    def test_rejecting_replicas_are_avoided(self):
        sim = simulation.Simulation(shards=4)
        for number in range(4):
            for upstream in sim.services[f"s{number}"][:2]:
                upstream.mode = Mode.REJECT
        helpers.warm_up(sim, count=60)
        complete = 0
        for _ in range(40):
            caller = sim.request(b"/all/x")
            if caller.response.status == 200:
                complete += (
                    simulation.find_header(caller.response, b"x-missing")
                    == b"0"
                )
        self.assertGreater(complete, 34)

    def test_retries_stay_within_budget(self):
        sim = simulation.Simulation(shards=4)
        for number in range(4):
            helpers.set_all(sim, f"s{number}", mode=Mode.RESET)
        for _ in range(200):
            sim.request(b"/all/x")
        for number in range(4):
            executed = helpers.execution_count(sim, f"s{number}")
            self.assertLessEqual(executed, 200 * 1.2 + 58)

    def test_calls_are_cancelled_when_caller_disconnects(self):
        sim = simulation.Simulation(shards=4)
        for number in range(4):
            helpers.set_all(sim, f"s{number}", latency_ms=400.0)
        _, exchange = sim.send(b"/all/x")
        sim.advance(5.0)
        exchange.on_caller_disconnected()
        sim.advance(200.0)
        sent = sum(
            helpers.execution_count(sim, f"s{number}") for number in range(4)
        )
        self.assertEqual(4, sent)
        cancelled = sum(
            upstream.cancelled
            for upstreams in sim.services.values()
            for upstream in upstreams
        )
        self.assertEqual(4, cancelled)

    def test_request_keeps_route_when_configuration_changes(self):
        sim = simulation.Simulation(shards=4)
        caller, _ = sim.send(b"/all/x")
        sim.routes = sim.routes[:2]
        sim.apply_configuration()
        sim.advance(50.0)
        self.assertEqual(200, caller.response.status)
        self.assertEqual(404, sim.request(b"/all/x").response.status)


class TopRecordsTest(unittest.TestCase):
    def test_duplicates_are_kept_and_partial_records_ignored(self):
        bodies = [b"a" * 16 + b"b" * 16 + b"zz", b"b" * 16]
        self.assertEqual(
            b"b" * 32 + b"a" * 16, gather_handler.top_records(bodies, 10)
        )
        self.assertEqual(b"b" * 32, gather_handler.top_records(bodies, 2))
