"""Tests of a replica set's decisions."""

import unittest

import builders

from godwitflow.model import answers
from godwitflow.policy import crash_suspects
from godwitflow.policy import dispatcher
from godwitflow.policy import jobs
from godwitflow.wire import messages

STATUSES = messages.PieceStatus


class DispatcherTest(unittest.TestCase):
    def setUp(self):
        self.set = builders.replica_set()

    def offer(self, piece, now_ms=0.0, **changes):
        return self.set.submit(now_ms, builders.job(piece, **changes))

    def start(self, piece, now_ms=0.0, **changes):
        (call,) = builders.starts(self.offer(piece, now_ms, **changes))
        return call

    def warm(self, count=60, spent_ms=10.0):
        """Teach the set how long calls take."""
        for place in range(count):
            call = self.start(10_000 + place, deadline_at_ms=1e9)
            self.set.on_result(spent_ms, call.call, builders.ok(call))

    def test_slots_are_never_exceeded(self):
        calls = [self.offer(piece) for piece in range(10)]
        started = [item for row in calls for item in builders.starts(row)]
        self.assertEqual(6, len(started))
        by_upstream = [call.upstream for call in started]
        self.assertEqual({2}, {by_upstream.count(x) for x in by_upstream})
        self.assertEqual(4, self.set.queue.waiting)

    def test_urgent_goes_first_and_lost_queries_are_the_same(self):
        calls = [self.start(piece, rank=2) for piece in range(6)]
        self.offer(20, rank=2, deadline_at_ms=900.0)
        self.offer(21, rank=0, deadline_at_ms=950.0)
        self.offer(22, rank=0, deadline_at_ms=940.0)
        order = []
        for call in calls[:3]:
            done = self.set.on_result(5.0, call.call, builders.ok(call))
            order += [c.jobs[0].piece for c in builders.starts(done)]
        self.assertEqual([22, 21, 20], order)

    def test_expired_work_is_refused_as_not_run(self):
        calls = [self.start(piece) for piece in range(6)]
        self.offer(7, deadline_at_ms=20.0)
        actions = self.set.on_result(
            30.0, calls[0].call, builders.ok(calls[0])
        )
        reply = builders.replies(actions)[-1]
        self.assertIs(STATUSES.EXPIRED, reply.status)
        self.assertIs(answers.RunStatus.NOT_RUN, reply.ran)

    def test_late_call_is_hedged_once_and_the_loser_cancelled(self):
        self.warm()
        call = self.start(1, deadline_at_ms=1e9)
        late_ms = self.set.next_wakeup_ms(0.0) + 20.0
        (hedge,) = builders.starts(self.set.step(late_ms))
        self.assertNotEqual(call.upstream, hedge.upstream)
        self.assertEqual([], builders.starts(self.set.step(late_ms + 1)))
        actions = self.set.on_result(
            late_ms + 5, hedge.call, builders.ok(hedge)
        )
        cancels = [a for a in actions if isinstance(a, jobs.CancelCall)]
        self.assertEqual([call.call], [item.call for item in cancels])
        again = self.set.on_result(late_ms + 9, call.call, builders.ok(call))
        self.assertEqual([], builders.replies(again))

    def test_no_hedge_without_budget_or_for_a_booking(self):
        self.set = builders.replica_set(
            hedge=dispatcher.config.Hedge(budget_share=0.0)
        )
        self.warm()
        self.start(1, deadline_at_ms=1e9)
        self.assertEqual([], builders.starts(self.set.step(500.0)))
        self.set = builders.replica_set()
        self.warm()
        self.start(2, idempotent=False, deadline_at_ms=1e9)
        self.assertEqual([], builders.starts(self.set.step(500.0)))

    def test_load_denies_a_hedge_to_the_most_urgent_last(self):
        """A fault once: one draw decided for urgent calls as well."""
        hedged = {0: 0, 1: 0}
        for rank in hedged:
            self.set = builders.replica_set()
            self.warm()
            self.set.hedging.budget.tokens = 10.0
            for piece in range(5):
                self.set.load.busy_share = 0.89
                call = self.start(piece, rank=rank, deadline_at_ms=1e9)
                for hedge in builders.starts(self.set.step(30.0)):
                    hedged[rank] += 1
                    self.set.on_result(31.0, hedge.call, builders.ok(hedge))
                self.set.on_result(32.0, call.call, builders.ok(call))
        self.assertEqual(5, hedged[0])
        self.assertLess(hedged[1], 5)

    def test_slots_are_held_back_only_in_a_flood(self):
        """A fault once: a short queue already held slots back."""
        self.offer(99, rank=0)
        few = [self.offer(piece, rank=2) for piece in range(8)]
        self.assertEqual(5, sum(len(builders.starts(x)) for x in few))
        self.set = builders.replica_set()
        self.start(99, rank=0)
        for piece in range(40):
            self.offer(piece, rank=2)
        for call in list(self.set.calls.values()):
            batch = jobs.StartCall(call.id, "", tuple(call.jobs))
            self.set.on_result(5.0, call.id, builders.ok(batch))
        self.assertEqual(4, len(self.set.calls))

    def test_booking_is_never_run_twice(self):
        for result in (
            jobs.CallCrashed(),
            jobs.CallTimedOut(),
            jobs.CallGarbled(),
            jobs.CallDone(()),
        ):
            self.set = builders.replica_set()
            call = self.start(1, idempotent=False)
            actions = self.set.on_result(5.0, call.call, result)
            self.assertEqual([], builders.starts(actions))
            (reply,) = builders.replies(actions)
            self.assertIs(answers.RunStatus.UNKNOWN, reply.ran)

    def test_booking_that_surely_did_not_run_is_tried_again(self):
        self.warm()
        for result in (
            jobs.CallNotSent(),
            jobs.CallDone((jobs.ItemShed("f1/1"),)),
            jobs.CallDone((jobs.ItemWrongSnapshot("f1/1"),)),
        ):
            call = self.start(1, idempotent=False)
            actions = self.set.on_result(1.0, call.call, result)
            (again,) = builders.starts(actions)
            self.assertNotEqual(call.upstream, again.upstream)
            self.set.on_result(2.0, again.call, builders.ok(again))

    def test_answer_of_another_snapshot_is_no_answer(self):
        call = self.start(1)
        actions = self.set.on_result(1.0, call.call, builders.ok(call, 2))
        self.assertEqual([], builders.replies(actions))
        (second,) = builders.starts(actions)
        actions = self.set.on_result(2.0, second.call, builders.ok(second, 2))
        (third,) = builders.starts(actions)
        actions = self.set.on_result(3.0, third.call, builders.ok(third, 2))
        (reply,) = builders.replies(actions)
        self.assertIs(STATUSES.WRONG_SNAPSHOT, reply.status)

    def test_crashing_request_takes_two_upstreams_at_most(self):
        self.warm()
        lost = 0
        for piece in range(5):
            actions = self.offer(piece, fingerprint=9, canary=True)
            while builders.starts(actions):
                (call,) = builders.starts(actions)
                lost += 1
                actions = self.set.on_result(
                    1.0, call.call, jobs.CallCrashed()
                )
            (reply,) = builders.replies(actions)
            self.assertIs(STATUSES.SUSPECT, reply.status)
        self.assertEqual(2, lost)

    def test_trials_of_one_request_do_not_add_up(self):
        """Resends while two trials run are held back, then refused."""
        self.warm()
        calls = [
            call
            for piece in range(4)
            for call in builders.starts(
                self.offer(piece, fingerprint=9, canary=True)
            )
        ]
        self.assertEqual(2, len(calls))
        replies = []
        for call in calls:
            actions = self.set.on_result(1.0, call.call, jobs.CallCrashed())
            self.assertEqual([], builders.starts(actions))
            replies += builders.replies(actions)
        self.assertEqual(
            [STATUSES.SUSPECT] * 4, [item.status for item in replies]
        )

    def test_a_hedge_that_is_shed_does_not_unsay_the_first_call(self):
        """A fault once: the piece was reported as not run."""
        self.set = builders.replica_set(("a", "b"))
        self.warm()
        call = self.start(1, deadline_at_ms=1e9)
        (hedge,) = builders.starts(self.set.step(30.0))
        self.set.on_result(40.0, call.call, jobs.CallTimedOut())
        shed = jobs.CallDone((jobs.ItemShed("f1/1"),))
        actions = self.set.on_result(41.0, hedge.call, shed)
        (reply,) = builders.replies(actions)
        self.assertIs(answers.RunStatus.UNKNOWN, reply.ran)

    def test_suspect_that_ran_is_not_said_not_to_have_run(self):
        """A fault once: a request condemned while queued said so."""
        self.set = builders.replica_set(("a", "b"), slots=1)
        self.warm()
        call, other = self.start(1, fingerprint=9), self.start(2)
        actions = self.set.on_result(1.0, call.call, jobs.CallCrashed())
        self.assertEqual([], actions)
        self.set.suspects.on_peer_report(9, 2, 1.0)
        actions = self.set.on_result(2.0, other.call, builders.ok(other))
        reply = builders.replies(actions)[-1]
        self.assertIs(STATUSES.SUSPECT, reply.status)
        self.assertIs(answers.RunStatus.UNKNOWN, reply.ran)

    def test_bystander_of_a_crash_is_cleared_by_success(self):
        self.warm()
        call = self.start(1)
        (again,) = builders.starts(
            self.set.on_result(1.0, call.call, jobs.CallCrashed())
        )
        self.assertTrue(self.set.suspects.is_suspected(1))
        self.set.on_result(2.0, again.call, builders.ok(again))
        self.assertFalse(self.set.suspects.is_suspected(1))

    def test_news_of_a_crash_stops_the_same_request(self):
        call = self.start(1, fingerprint=5)
        (cancel,) = self.set.on_crash_report(5)
        self.assertEqual(call.call, cancel.call)
        self.assertEqual([], self.set.on_crash_report(5))

    def test_held_job_can_be_cancelled(self):
        """A fault once: cancelling a held job made the count negative."""
        for piece in range(3):
            self.offer(piece, fingerprint=9, canary=True)
        self.set.cancel(1.0, "f1", 2)
        self.assertEqual(0, self.set.queue.waiting)
        self.set.step(2.0)
        self.assertEqual(0, self.set.queue.waiting)
        self.assertEqual(2, self.set.load.canaries[0])

    def test_leaving_upstream_gets_no_new_work(self):
        self.set.replicas.mark_leaving(frozenset(("a", "b")))
        used = {self.start(piece).upstream for piece in range(2)}
        self.assertEqual({"c"}, used)

    def test_drain_signal_in_a_reply_counts_at_once(self):
        call = self.start(1)
        done = jobs.CallDone(builders.ok(call).items, draining=True)
        self.set.on_result(1.0, call.call, done)
        used = {self.start(piece).upstream for piece in range(2, 6)}
        self.assertNotIn(call.upstream, used)

    def test_cold_upstream_starts_slowly(self):
        self.set = builders.replica_set(("a",), cold=True, slots=4)
        calls = builders.starts(self.offer(1)) + builders.starts(self.offer(2))
        self.assertEqual(1, len(calls))

    def test_breaker_opens_and_probes_with_patient_work(self):
        self.set = builders.replica_set(("a",))
        self.warm()
        call = self.start(1, idempotent=False)
        self.set.on_result(1.0, call.call, jobs.CallCrashed())
        self.assertEqual([], builders.starts(self.offer(2, 2.0)))
        (probe,) = builders.starts(self.set.step(520.0))
        self.assertEqual("a", probe.upstream)

    def test_silent_connection_is_given_up(self):
        self.warm()
        call = self.start(1, deadline_at_ms=1e9)
        for place in range(30):
            other = self.start(50 + place, deadline_at_ms=1e9)
            self.set.on_result(10.0, other.call, builders.ok(other))
        actions = self.set.step(130.0)
        aborts = [a for a in actions if isinstance(a, jobs.AbortCall)]
        self.assertEqual([call.call], [item.call for item in aborts])

    def test_batches_fill_up_to_their_size_without_canaries(self):
        self.set = builders.replica_set(
            ("a",), batch_size=4, batch_window_ms=5.0, slots=1
        )
        for piece in range(6):
            actions = self.offer(piece, canary=piece == 1)
            if builders.starts(actions):
                break
        (call,) = builders.starts(actions)
        pieces = [item.piece for item in call.jobs]
        self.assertLessEqual(len(pieces), 4)
        self.assertNotIn(1, pieces[1:])

    def test_batch_window_ends(self):
        self.set = builders.replica_set(batch_size=8, batch_window_ms=5.0)
        self.assertEqual([], builders.starts(self.offer(1)))
        self.assertEqual(5.0, self.set.next_wakeup_ms(0.0))
        (call,) = builders.starts(self.set.step(5.0))
        self.assertEqual(1, len(call.jobs))

    def test_new_configuration_keeps_queued_work(self):
        for piece in range(8):
            self.offer(piece)
        fresh = builders.service(slots=3)
        self.set.update_settings(fresh)
        self.assertEqual(2, self.set.queue.waiting)
        self.assertEqual(2, len(builders.starts(self.set.step(1.0))))


class SuspectsTest(unittest.TestCase):
    def test_peers_count_is_learnt_once(self):
        table = crash_suspects.CrashSuspects()
        self.assertTrue(table.on_peer_report(1, 2, 0.0))
        self.assertFalse(table.on_peer_report(1, 2, 0.0))
        self.assertTrue(table.is_blocked(1))

    def test_crashes_here_and_elsewhere_add_up(self):
        """A fault once: the higher of both counts was taken."""
        table = crash_suspects.CrashSuspects()
        table.on_peer_report(1, 1, 0.0)
        table.on_crash(1, "s0", 0.0)
        self.assertTrue(table.is_blocked(1))

    def test_crashes_on_two_shards_add_up(self):
        table = crash_suspects.CrashSuspects()
        table.on_crash(1, "s0", 0.0)
        table.on_crash(1, "s1", 0.0)
        table.on_success(1, "s2")
        self.assertTrue(table.is_blocked(1))
