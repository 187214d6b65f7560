"""Tests of runs: what callers get, and what upstreams are sent.

Each test plays a load or a fault on scripted upstreams under a virtual
clock.
"""

import unittest

import net

from godwitflow.model import ids
from godwitflow.policy import strikes
from godwitflow.tier import query

Mode = net.Mode


def all_of(world, service, **changes):
    for upstream in world.services[service]:
        for name, found in changes.items():
            setattr(upstream, name, found)


def runs(world, service):
    return sum(len(upstream.runs) for upstream in world.services[service])


def warm(world, target=b"/all/x", count=40):
    for _ in range(count):
        world.ask(target)


class SingleRunTest(unittest.TestCase):
    def test_answer_is_the_upstreams_to_the_byte(self):
        world = net.World()
        all_of(world, "one", body=b"\x00whole\r\n")
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
        all_of(world, "one", mode=Mode.REJECT)
        caller = world.ask(b"/once/")
        self.assertEqual(503, caller.response.status)
        self.assertEqual(0, runs(world, "one"))

    def test_non_idempotent_request_is_never_sent_after_it_may_have_run(self):
        for mode in (Mode.RESET, Mode.ERROR, Mode.SILENT):
            world = net.World()
            all_of(world, "one", mode=mode)
            caller = world.ask(b"/once/")
            self.assertNotIn(caller.response.status, (429, 503, 408, 421))
            self.assertLessEqual(runs(world, "one"), 1, mode)

    def test_non_idempotent_request_moves_on_where_nothing_was_sent(self):
        world = net.World()
        world.services["one"][0].mode = Mode.REFUSE
        world.services["one"][1].mode = Mode.MISDIRECTED
        caller = world.ask(b"/once/")
        self.assertEqual(200, caller.response.status)
        self.assertEqual(1, runs(world, "one"))

    def test_idempotent_request_survives_a_lost_answer(self):
        world = net.World()
        world.services["one"][0].mode = Mode.RESET
        for _ in range(10):
            self.assertEqual(200, world.ask(b"/one/").response.status)

    def test_attempts_bound_the_upstreams_of_one_request(self):
        world = net.World(replicas=5)
        all_of(world, "one", mode=Mode.RESET)
        world.ask(b"/one/")
        self.assertLessEqual(runs(world, "one"), 2)

    def test_failure_of_all_upstreams_is_passed_on(self):
        world = net.World()
        all_of(world, "one", mode=Mode.ERROR)
        caller = world.ask(b"/one/")
        self.assertEqual(500, caller.response.status)
        self.assertIsNotNone(net.value(caller.response, b"x-sign"))

    def test_encoded_answer_is_no_answer(self):
        world = net.World()
        all_of(world, "one", mode=Mode.ENCODED)
        self.assertEqual(502, world.ask(b"/one/").response.status)

    def test_success_without_a_signature_is_no_answer(self):
        for target in (b"/one/", b"/once/"):
            world = net.World()
            all_of(world, "one", mode=Mode.UNSIGNED)
            self.assertEqual(502, world.ask(target).response.status)
        world = net.World()
        world.services["one"][0].mode = Mode.UNSIGNED
        for _ in range(10):
            self.assertEqual(200, world.ask(b"/one/").response.status)

    def test_log_leads_from_a_request_to_the_upstream_at_fault(self):
        world = net.World(replicas=1)
        all_of(world, "one", mode=Mode.RESET)
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
        all_of(world, "one", mode=Mode.SILENT)
        caller = world.ask(b"/one/", deadline_ms=5_000)
        self.assertEqual(504, caller.response.status)
        self.assertLess(caller.answered_at_ms - 1_000_000.0, 301.0)

    def test_upstream_call_ends_when_the_caller_leaves(self):
        world = net.World()
        all_of(world, "one", latency_ms=500.0)
        _, exchange = world.send(b"/one/")
        world.run(20.0)
        exchange.abandon()
        world.run(1.0)
        cancelled = [up.cancelled for up in world.services["one"]]
        self.assertEqual(1, sum(cancelled))
        self.assertFalse(world.dispatcher.service("one").waiting)

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
        real, place.start = place.start, lambda call: None
        caller, _ = world.send(b"/one/")
        place.start = real
        world.dispatcher.service("one").drain()
        world.run(50.0)
        self.assertEqual(200, caller.response.status)

    def test_connections_of_two_lives_fit_the_cap(self):
        world = net.World(replicas=1)
        world.dispatcher.apply_nodes(9)
        place = world.dispatcher.service("one").upstreams[0].pool
        before = place.limit
        world.dispatcher.apply_recent_start(True)
        self.assertLessEqual(9 * place.limit, 26 // 2)
        self.assertGreaterEqual(place.limit, 1)
        world.dispatcher.apply_recent_start(False)
        self.assertEqual(before, place.limit)

    def test_calls_wait_for_a_place_most_urgent_first(self):
        world = net.World(replicas=1)
        world.dispatcher.apply_nodes(26)
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
            world.dispatcher.on_strike = lambda *strike: told.append(strike)
            for service in services:
                all_of(world, service, mode=Mode.RESET)
            for _ in range(4):
                caller = world.ask(target)
            before = sum(runs(world, service) for service in services)
            for _ in range(5):
                caller = world.ask(target)
                self.assertEqual(503, caller.response.status)
            after = sum(runs(world, service) for service in services)
            self.assertEqual(before, after)
            self.assertGreaterEqual(len(told), 2)
            for service in services:
                all_of(world, service, mode=Mode.SOUND)
            world.run(1_500.0)
            other = target.replace(b"bad", b"good")
            self.assertEqual(200, world.ask(other).response.status)

    def test_strikes_of_peers_count(self):
        world = net.World()
        mark = strikes.fingerprint(b"GET", b"/one/bad", None)
        for _ in range(2):
            world.dispatcher.strikes.add(mark, 2, world.net.now_ms())
        caller = world.ask(b"/one/bad")
        self.assertEqual(503, caller.response.status)
        self.assertEqual(0, runs(world, "one"))


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
        warm(world)
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
        warm(world)
        all_of(world, "s0", latency_ms=400.0)
        start_ms = world.net.now_ms()
        caller = world.ask(b"/all/x")
        self.assertEqual(b"1", net.value(caller.response, b"x-missing"))
        self.assertLess(caller.answered_at_ms - start_ms, 95.0)
        self.assertNotIn(b"s0", net.value(caller.response, b"x-parts"))

    def test_new_caller_gets_its_answer_sooner(self):
        took_ms = {}
        for new in (False, True):
            world = net.World(shards=4)
            warm(world)
            all_of(world, "s0", latency_ms=400.0)
            start_ms = world.net.now_ms()
            caller = world.ask(b"/all/x", new=new)
            self.assertEqual(b"1", net.value(caller.response, b"x-missing"))
            took_ms[new] = caller.answered_at_ms - start_ms
        self.assertLess(took_ms[True], took_ms[False])

    def test_budget_that_runs_low_is_kept_for_calls_that_are_stuck(self):
        hedged_ms = {}
        for used_share in (0.0, 0.7):
            world = net.World(shards=2)
            warm(world)
            all_of(world, "s0", latency_ms=300.0)
            budget = world.dispatcher.service("s0").budget
            now_ms = world.net.now_ms()
            room = next(
                count for count in range(99) if not budget.take(now_ms, 1, 1)
            )
            world.run(11_000.0, step_ms=100.0)
            for _ in range(int(used_share * room)):
                budget.take(world.net.now_ms(), 1, 1)
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
        warm(world)
        all_of(world, "s0", latency_ms=300.0)
        caller = world.ask(b"/all/x")
        self.assertEqual(b"0", net.value(caller.response, b"x-missing"))
        event, fields = world.log.lines[-1]
        self.assertEqual("late_answer", event)
        self.assertEqual("s0", fields["last"])

    def test_dark_shard_no_longer_holds_answers_back(self):
        world = net.World(shards=4)
        warm(world)
        all_of(world, "s0", mode=Mode.SILENT)
        warm(world, count=30)
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
        warm(world)
        world.services["s0"][0].mode = Mode.SILENT
        warm(world, count=60)
        late = 0
        for _ in range(200):
            start_ms = world.net.now_ms()
            caller = world.ask(b"/all/x")
            late += caller.answered_at_ms - start_ms > 18.0
        self.assertLessEqual(late, 2)

    def test_dark_shard_is_back_soon_after_it_answers(self):
        world = net.World(shards=4)
        warm(world)
        all_of(world, "s0", mode=Mode.SILENT)
        warm(world, count=60)
        all_of(world, "s0", mode=Mode.SOUND)
        world.run(1_000.0)
        warm(world, count=5)
        caller = world.ask(b"/all/x")
        self.assertEqual(b"0", net.value(caller.response, b"x-missing"))

    def test_too_few_shards_are_refused_at_once(self):
        world = net.World(shards=4)
        all_of(world, "s0", mode=Mode.REJECT)
        all_of(world, "s1", mode=Mode.REJECT)
        start_ms = world.net.now_ms()
        caller = world.ask(b"/all/x")
        self.assertIn(caller.response.status, (502, 503))
        self.assertLess(caller.answered_at_ms - start_ms, 25.0)

    def test_two_dark_shards_are_refused_as_not_run_with_a_time(self):
        world = net.World(shards=4)
        warm(world)
        all_of(world, "s0", mode=Mode.SILENT)
        all_of(world, "s1", mode=Mode.SILENT)
        for _ in range(6):
            world.ask(b"/all/x")
        world.send(b"/all/trial")
        world.run(5.0)
        before = sum(runs(world, f"s{number}") for number in (2, 3))
        caller = world.ask(b"/all/x")
        self.assertEqual(503, caller.response.status)
        self.assertIsNotNone(net.value(caller.response, b"retry-after"))
        after = sum(runs(world, f"s{number}") for number in (2, 3))
        self.assertEqual(before, after)

    def test_trial_of_dark_shards_ends_by_the_target(self):
        world = net.World(shards=4)
        warm(world)
        all_of(world, "s0", mode=Mode.SILENT)
        all_of(world, "s1", mode=Mode.SILENT)
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
            all_of(world, f"s{number}", mode=Mode.STALE)
        for _ in range(20):
            caller = world.ask(b"/all/x")
            parts = net.value(caller.response, b"x-parts")
            self.assertNotIn(b"forged", parts)
            self.assertNotIn(b"old", caller.response.body)

    def test_failure_with_a_signature_is_no_part(self):
        world = net.World(shards=4)
        all_of(world, "s2", mode=Mode.ERROR)
        caller = world.ask(b"/all/x")
        self.assertEqual(b"1", net.value(caller.response, b"x-missing"))
        self.assertNotIn(b"s2", net.value(caller.response, b"x-parts"))

    def test_rejecting_replicas_are_learnt(self):
        world = net.World(shards=4)
        for number in range(4):
            for upstream in world.services[f"s{number}"][:2]:
                upstream.mode = Mode.REJECT
        warm(world, count=60)
        whole = 0
        for _ in range(40):
            caller = world.ask(b"/all/x")
            if caller.response.status == 200:
                whole += net.value(caller.response, b"x-missing") == b"0"
        self.assertGreater(whole, 34)

    def test_retries_keep_the_budget(self):
        world = net.World(shards=4)
        for number in range(4):
            all_of(world, f"s{number}", mode=Mode.RESET)
        for _ in range(200):
            world.ask(b"/all/x")
        for number in range(4):
            found = runs(world, f"s{number}")
            self.assertLessEqual(found, 200 * 1.2 + 58)

    def test_all_calls_end_when_the_caller_leaves(self):
        world = net.World(shards=4)
        for number in range(4):
            all_of(world, f"s{number}", latency_ms=400.0)
        _, exchange = world.send(b"/all/x")
        world.run(5.0)
        exchange.abandon()
        world.run(200.0)
        sent = sum(runs(world, f"s{number}") for number in range(4))
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
        self.assertEqual(b"b" * 32 + b"a" * 16, query.greatest(bodies, 10))
        self.assertEqual(b"b" * 32, query.greatest(bodies, 2))
