"""Tests of queries over many shards, on scripted upstreams.

Each plays a load or a fault under a virtual clock.
"""

import unittest

import loads
import net

from godwitflow.policy import routing
from godwitflow.tier import gather_handler

Mode = net.Mode


class GatherRunTest(unittest.TestCase):
    def test_whole_answer_names_every_part_and_the_greatest_records(self):
        world = net.World(shards=4)
        caller = world.ask(b"/all/x")
        response = caller.response
        parts = net.value(response, b"x-parts").split(b", ")
        self.assertEqual(4, len(parts))
        shards = {part.split(b"-")[0] for part in parts}
        self.assertEqual({b"s0", b"s1", b"s2", b"s3"}, shards)
        self.assertEqual(b"0", net.value(response, b"x-missing"))
        by_name = {
            upstream.name.encode(): upstream.body
            for found in world.services.values()
            for upstream in found
        }
        records = sorted((by_name[part] for part in parts), reverse=True)
        self.assertEqual(b"".join(records[:5]), response.body)

    def test_paused_replica_is_hedged(self):
        world = net.World(shards=4)
        loads.warm(world)
        world.services["s0"][0].latency_ms = 250.0
        took_ms = []
        for _ in range(30):
            start_ms = world.net.now_ms()
            caller = world.ask(b"/all/x")
            self.assertEqual(b"0", net.value(caller.response, b"x-missing"))
            took_ms.append(caller.answered_at_ms - start_ms)
        self.assertLess(max(took_ms), 100.0)

    def test_slow_shard_is_left_out_in_time_for_the_target(self):
        world = net.World(shards=4)
        loads.warm(world)
        loads.all_of(world, "s0", latency_ms=400.0)
        start_ms = world.net.now_ms()
        caller = world.ask(b"/all/x")
        self.assertEqual(b"1", net.value(caller.response, b"x-missing"))
        self.assertLess(caller.answered_at_ms - start_ms, 95.0)
        self.assertNotIn(b"s0", net.value(caller.response, b"x-parts"))

    def test_new_caller_gets_its_answer_sooner(self):
        took_ms = {}
        for new in (False, True):
            world = net.World(shards=4)
            loads.warm(world)
            loads.all_of(world, "s0", latency_ms=400.0)
            start_ms = world.net.now_ms()
            caller = world.ask(b"/all/x", new=new)
            self.assertEqual(b"1", net.value(caller.response, b"x-missing"))
            took_ms[new] = caller.answered_at_ms - start_ms
        self.assertLess(took_ms[True], took_ms[False])

    def test_budget_that_runs_low_is_kept_for_calls_that_are_stuck(self):
        hedged_ms = {}
        for used_share in (0.0, 0.7):
            world = net.World(shards=2)
            loads.warm(world)
            loads.all_of(world, "s0", latency_ms=300.0)
            budget = world.dispatcher.service("s0").retry_budget
            now_ms = world.net.now_ms()
            room = next(
                count
                for count in range(99)
                if not budget.try_acquire(now_ms, 1, 1)
            )
            world.run(11_000.0, step_ms=100.0)
            for _ in range(int(used_share * room)):
                budget.try_acquire(world.net.now_ms(), 1, 1)
            world.log.lines.clear()
            world.ask(b"/all/x")
            hedged_ms[used_share] = next(
                fields["elapsed_ms"]
                for event, fields in world.log.lines
                if event == "call_repeated" and fields["service"] == "s0"
            )
        self.assertLess(hedged_ms[0.0] + 10.0, hedged_ms[0.7])
        self.assertLess(hedged_ms[0.7], 70.0)

    def test_whole_answer_after_its_target_is_logged(self):
        world = net.World(shards=2)
        loads.warm(world)
        loads.all_of(world, "s0", latency_ms=300.0)
        caller = world.ask(b"/all/x")
        self.assertEqual(b"0", net.value(caller.response, b"x-missing"))
        event, fields = world.log.lines[-1]
        self.assertEqual("late_answer", event)
        self.assertEqual("s0", fields["last"])

    def test_unavailable_shard_no_longer_holds_answers_back(self):
        world = net.World(shards=4)
        loads.warm(world)
        loads.all_of(world, "s0", mode=Mode.SILENT)
        loads.warm(world, count=30)
        took_ms = []
        for _ in range(40):
            start_ms = world.net.now_ms()
            caller = world.ask(b"/all/x")
            self.assertEqual(200, caller.response.status)
            took_ms.append(caller.answered_at_ms - start_ms)
        took_ms.sort()
        self.assertLess(took_ms[30], 40.0)

    def test_trials_of_a_silent_replica_cost_no_query_time(self):
        world = net.World(shards=4)
        loads.warm(world)
        world.services["s0"][0].mode = Mode.SILENT
        loads.warm(world, count=60)
        late = 0
        for _ in range(200):
            start_ms = world.net.now_ms()
            caller = world.ask(b"/all/x")
            late += caller.answered_at_ms - start_ms > 18.0
        self.assertLessEqual(late, 2)

    def test_unavailable_shard_is_back_soon_after_it_answers(self):
        world = net.World(shards=4)
        loads.warm(world)
        loads.all_of(world, "s0", mode=Mode.SILENT)
        loads.warm(world, count=60)
        loads.all_of(world, "s0", mode=Mode.SOUND)
        world.run(1_000.0)
        loads.warm(world, count=5)
        caller = world.ask(b"/all/x")
        self.assertEqual(b"0", net.value(caller.response, b"x-missing"))

    def test_too_few_shards_are_refused_at_once(self):
        world = net.World(shards=4)
        loads.all_of(world, "s0", mode=Mode.REJECT)
        loads.all_of(world, "s1", mode=Mode.REJECT)
        start_ms = world.net.now_ms()
        caller = world.ask(b"/all/x")
        self.assertIn(caller.response.status, (502, 503))
        self.assertLess(caller.answered_at_ms - start_ms, 25.0)

    def test_answer_with_no_part_is_none_however_small_the_least_share(self):
        world = net.World(shards=3)
        gather = routing.Gather(("s0", "s1", "s2"), 5, 0.0)
        world.routes[-1] = net.route("all", b"/all/", gather)
        world.apply()
        for number in range(3):
            loads.all_of(world, f"s{number}", mode=Mode.REJECT)
        start_ms = world.net.now_ms()
        caller = world.ask(b"/all/x")
        self.assertIn(caller.response.status, (502, 503))
        self.assertLess(caller.answered_at_ms - start_ms, 50.0)

    def test_share_is_met_exactly(self):
        gather = routing.Gather(tuple(range(100)), 5, 0.07)
        self.assertTrue(gather.is_sufficient(7))
        self.assertFalse(gather.is_sufficient(6))

    def test_two_unavailable_shards_are_refused_as_not_run_with_a_time(self):
        world = net.World(shards=4)
        loads.warm(world)
        loads.all_of(world, "s0", mode=Mode.SILENT)
        loads.all_of(world, "s1", mode=Mode.SILENT)
        for _ in range(6):
            world.ask(b"/all/x")
        world.send(b"/all/trial")
        world.run(5.0)
        before = sum(loads.runs(world, f"s{number}") for number in (2, 3))
        caller = world.ask(b"/all/x")
        self.assertEqual(503, caller.response.status)
        self.assertIsNotNone(net.value(caller.response, b"retry-after"))
        after = sum(loads.runs(world, f"s{number}") for number in (2, 3))
        self.assertEqual(before, after)

    def test_trial_of_unavailable_shards_ends_by_the_target(self):
        world = net.World(shards=4)
        loads.warm(world)
        loads.all_of(world, "s0", mode=Mode.SILENT)
        loads.all_of(world, "s1", mode=Mode.SILENT)
        for _ in range(6):
            world.ask(b"/all/x")
        world.run(500.0)
        start_ms = world.net.now_ms()
        caller = world.ask(b"/all/x")
        self.assertNotEqual(200, caller.response.status)
        self.assertLess(caller.answered_at_ms - start_ms, 100.0)

    def test_stale_answer_never_becomes_a_part(self):
        world = net.World(shards=4)
        for number in range(4):
            loads.all_of(world, f"s{number}", mode=Mode.STALE)
        for _ in range(20):
            caller = world.ask(b"/all/x")
            parts = net.value(caller.response, b"x-parts")
            self.assertNotIn(b"forged", parts)
            self.assertNotIn(b"old", caller.response.body)

    def test_failure_with_a_signature_is_no_part(self):
        world = net.World(shards=4)
        loads.all_of(world, "s2", mode=Mode.ERROR)
        caller = world.ask(b"/all/x")
        self.assertEqual(b"1", net.value(caller.response, b"x-missing"))
        self.assertNotIn(b"s2", net.value(caller.response, b"x-parts"))

    def test_rejecting_replicas_are_learnt(self):
        world = net.World(shards=4)
        for number in range(4):
            for upstream in world.services[f"s{number}"][:2]:
                upstream.mode = Mode.REJECT
        loads.warm(world, count=60)
        whole = 0
        for _ in range(40):
            caller = world.ask(b"/all/x")
            if caller.response.status == 200:
                whole += net.value(caller.response, b"x-missing") == b"0"
        self.assertGreater(whole, 34)

    def test_retries_keep_the_budget(self):
        world = net.World(shards=4)
        for number in range(4):
            loads.all_of(world, f"s{number}", mode=Mode.RESET)
        for _ in range(200):
            world.ask(b"/all/x")
        for number in range(4):
            found = loads.runs(world, f"s{number}")
            self.assertLessEqual(found, 200 * 1.2 + 58)

    def test_all_calls_end_when_the_caller_leaves(self):
        world = net.World(shards=4)
        for number in range(4):
            loads.all_of(world, f"s{number}", latency_ms=400.0)
        _, exchange = world.send(b"/all/x")
        world.run(5.0)
        exchange.caller_disconnected()
        world.run(200.0)
        sent = sum(loads.runs(world, f"s{number}") for number in range(4))
        self.assertEqual(4, sent)
        cancelled = sum(
            upstream.cancelled
            for found in world.services.values()
            for upstream in found
        )
        self.assertEqual(4, cancelled)

    def test_run_keeps_its_route_when_the_configuration_changes(self):
        world = net.World(shards=4)
        caller, _ = world.send(b"/all/x")
        world.routes = world.routes[:2]
        world.apply()
        world.run(50.0)
        self.assertEqual(200, caller.response.status)
        self.assertEqual(404, world.ask(b"/all/x").response.status)


class GreatestTest(unittest.TestCase):
    def test_equal_records_all_count_and_a_remainder_does_not(self):
        bodies = [b"a" * 16 + b"b" * 16 + b"zz", b"b" * 16]
        self.assertEqual(
            b"b" * 32 + b"a" * 16, gather_handler.top_records(bodies, 10)
        )
        self.assertEqual(b"b" * 32, gather_handler.top_records(bodies, 2))
