"""Tests of the dispatcher of a replica set."""

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
        self.dispatcher = builders.replica_set()

    def submit(self, piece, now_ms=0.0, **changes):
        return self.dispatcher.submit(now_ms, builders.job(piece, **changes))

    def start(self, piece, now_ms=0.0, **changes):
        (call,) = builders.starts(self.submit(piece, now_ms, **changes))
        return call

    def warm(self, count=60, spent_ms=10.0):
        """Record enough call times for a hedging delay."""
        for number in range(count):
            call = self.start(10_000 + number, deadline_at_ms=1e9)
            self.dispatcher.on_result(spent_ms, call.call, builders.ok(call))

    def test_slots_are_never_exceeded(self):
        calls = [self.submit(piece) for piece in range(10)]
        started = [item for row in calls for item in builders.starts(row)]
        self.assertEqual(6, len(started))
        by_upstream = [call.upstream for call in started]
        self.assertEqual({2}, {by_upstream.count(x) for x in by_upstream})
        self.assertEqual(4, self.dispatcher.queue.waiting)

    def test_order_is_rank_then_deadline(self):
        calls = [self.start(piece, rank=2) for piece in range(6)]
        self.submit(20, rank=2, deadline_at_ms=900.0)
        self.submit(21, rank=0, deadline_at_ms=950.0)
        self.submit(22, rank=0, deadline_at_ms=940.0)
        order = []
        for call in calls[:3]:
            done = self.dispatcher.on_result(5.0, call.call, builders.ok(call))
            order += [c.jobs[0].piece_id for c in builders.starts(done)]
        self.assertEqual([22, 21, 20], order)

    def test_expired_work_is_refused_as_not_run(self):
        calls = [self.start(piece) for piece in range(6)]
        self.submit(7, deadline_at_ms=20.0)
        actions = self.dispatcher.on_result(
            30.0, calls[0].call, builders.ok(calls[0])
        )
        reply = builders.replies(actions)[-1]
        self.assertIs(STATUSES.EXPIRED, reply.status)
        self.assertIs(answers.RunStatus.NOT_RUN, reply.ran)

    def test_late_call_is_hedged_once_and_the_slower_one_cancelled(self):
        self.warm()
        call = self.start(1, deadline_at_ms=1e9)
        late_ms = self.dispatcher.next_wakeup_ms(0.0) + 20.0
        (hedge,) = builders.starts(self.dispatcher.step(late_ms))
        self.assertNotEqual(call.upstream, hedge.upstream)
        self.assertEqual(
            [], builders.starts(self.dispatcher.step(late_ms + 1))
        )
        actions = self.dispatcher.on_result(
            late_ms + 5, hedge.call, builders.ok(hedge)
        )
        cancels = [a for a in actions if isinstance(a, jobs.CancelCall)]
        self.assertEqual([call.call], [item.call for item in cancels])
        again = self.dispatcher.on_result(
            late_ms + 9, call.call, builders.ok(call)
        )
        self.assertEqual([], builders.replies(again))

    def test_no_hedge_without_budget_or_if_not_idempotent(self):
        self.dispatcher = builders.replica_set(
            hedge=dispatcher.config.Hedge(budget_share=0.0)
        )
        self.warm()
        self.start(1, deadline_at_ms=1e9)
        self.assertEqual([], builders.starts(self.dispatcher.step(500.0)))
        self.dispatcher = builders.replica_set()
        self.warm()
        self.start(2, idempotent=False, deadline_at_ms=1e9)
        self.assertEqual([], builders.starts(self.dispatcher.step(500.0)))

    def test_load_denies_hedges_to_the_most_urgent_rank_last(self):
        """Guards against the random draw applying to urgent calls too."""
        hedged = {0: 0, 1: 0}
        for rank in hedged:
            self.dispatcher = builders.replica_set()
            self.warm()
            self.dispatcher.hedging.budget.tokens = 10.0
            for piece in range(5):
                self.dispatcher.load.busy_share = 0.89
                call = self.start(piece, rank=rank, deadline_at_ms=1e9)
                for hedge in builders.starts(self.dispatcher.step(30.0)):
                    hedged[rank] += 1
                    self.dispatcher.on_result(
                        31.0, hedge.call, builders.ok(hedge)
                    )
                self.dispatcher.on_result(32.0, call.call, builders.ok(call))
        self.assertEqual(5, hedged[0])
        self.assertLess(hedged[1], 5)

    def test_slots_are_reserved_only_with_a_long_queue(self):
        """Guards against reserving slots when the queue is short."""
        self.submit(99, rank=0)
        few = [self.submit(piece, rank=2) for piece in range(8)]
        self.assertEqual(5, sum(len(builders.starts(x)) for x in few))
        self.dispatcher = builders.replica_set()
        self.start(99, rank=0)
        for piece in range(40):
            self.submit(piece, rank=2)
        for call in list(self.dispatcher.calls.values()):
            batch = jobs.StartCall(call.id, "", tuple(call.jobs))
            self.dispatcher.on_result(5.0, call.id, builders.ok(batch))
        self.assertEqual(4, len(self.dispatcher.calls))

    def test_request_that_is_not_idempotent_never_runs_twice(self):
        for result in (
            jobs.CallCrashed(),
            jobs.CallTimedOut(),
            jobs.CallGarbled(),
            jobs.CallDone(()),
        ):
            self.dispatcher = builders.replica_set()
            call = self.start(1, idempotent=False)
            actions = self.dispatcher.on_result(5.0, call.call, result)
            self.assertEqual([], builders.starts(actions))
            (reply,) = builders.replies(actions)
            self.assertIs(answers.RunStatus.UNKNOWN, reply.ran)

    def test_request_that_did_not_run_is_retried(self):
        self.warm()
        for result in (
            jobs.CallNotSent(),
            jobs.CallDone((jobs.ItemShed("f1/1"),)),
            jobs.CallDone((jobs.ItemWrongSnapshot("f1/1"),)),
        ):
            call = self.start(1, idempotent=False)
            actions = self.dispatcher.on_result(1.0, call.call, result)
            (again,) = builders.starts(actions)
            self.assertNotEqual(call.upstream, again.upstream)
            self.dispatcher.on_result(2.0, again.call, builders.ok(again))

    def test_reply_of_another_snapshot_is_rejected(self):
        call = self.start(1)
        actions = self.dispatcher.on_result(
            1.0, call.call, builders.ok(call, 2)
        )
        self.assertEqual([], builders.replies(actions))
        (second,) = builders.starts(actions)
        actions = self.dispatcher.on_result(
            2.0, second.call, builders.ok(second, 2)
        )
        (third,) = builders.starts(actions)
        actions = self.dispatcher.on_result(
            3.0, third.call, builders.ok(third, 2)
        )
        (reply,) = builders.replies(actions)
        self.assertIs(STATUSES.WRONG_SNAPSHOT, reply.status)

    def test_request_crashes_at_most_two_upstreams(self):
        self.warm()
        crashed = 0
        for piece in range(5):
            actions = self.submit(piece, fingerprint=9, canary=True)
            while builders.starts(actions):
                (call,) = builders.starts(actions)
                crashed += 1
                actions = self.dispatcher.on_result(
                    1.0, call.call, jobs.CallCrashed()
                )
            (reply,) = builders.replies(actions)
            self.assertIs(STATUSES.SUSPECT, reply.status)
        self.assertEqual(2, crashed)

    def test_running_trials_of_one_request_are_limited(self):
        """Resends are held while two trials run, then refused."""
        self.warm()
        calls = [
            call
            for piece in range(4)
            for call in builders.starts(
                self.submit(piece, fingerprint=9, canary=True)
            )
        ]
        self.assertEqual(2, len(calls))
        replies = []
        for call in calls:
            actions = self.dispatcher.on_result(
                1.0, call.call, jobs.CallCrashed()
            )
            self.assertEqual([], builders.starts(actions))
            replies += builders.replies(actions)
        self.assertEqual(
            [STATUSES.SUSPECT] * 4, [item.status for item in replies]
        )

    def test_shed_hedge_does_not_hide_that_the_first_call_may_have_run(self):
        """Guards against reporting the piece as not run after the shed."""
        self.dispatcher = builders.replica_set(("a", "b"))
        self.warm()
        call = self.start(1, deadline_at_ms=1e9)
        (hedge,) = builders.starts(self.dispatcher.step(30.0))
        self.dispatcher.on_result(40.0, call.call, jobs.CallTimedOut())
        shed = jobs.CallDone((jobs.ItemShed("f1/1"),))
        actions = self.dispatcher.on_result(41.0, hedge.call, shed)
        (reply,) = builders.replies(actions)
        self.assertIs(answers.RunStatus.UNKNOWN, reply.ran)

    def test_blocked_request_that_may_have_run_is_reported_so(self):
        """Guards against reporting not run if a queued request is blocked.

        The first call crashed its upstream, so the request may have run
        before a peer's crash count blocked it.
        """
        self.dispatcher = builders.replica_set(("a", "b"), slots=1)
        self.warm()
        call, other = self.start(1, fingerprint=9), self.start(2)
        actions = self.dispatcher.on_result(1.0, call.call, jobs.CallCrashed())
        self.assertEqual([], actions)
        self.dispatcher.suspects.on_peer_report(9, 2, 1.0)
        actions = self.dispatcher.on_result(
            2.0, other.call, builders.ok(other)
        )
        reply = builders.replies(actions)[-1]
        self.assertIs(STATUSES.SUSPECT, reply.status)
        self.assertIs(answers.RunStatus.UNKNOWN, reply.ran)

    def test_suspect_is_cleared_when_it_succeeds(self):
        self.warm()
        call = self.start(1)
        (again,) = builders.starts(
            self.dispatcher.on_result(1.0, call.call, jobs.CallCrashed())
        )
        self.assertTrue(self.dispatcher.suspects.is_suspected(1))
        self.dispatcher.on_result(2.0, again.call, builders.ok(again))
        self.assertFalse(self.dispatcher.suspects.is_suspected(1))

    def test_crash_report_cancels_calls_of_the_same_request(self):
        call = self.start(1, fingerprint=5)
        (cancel,) = self.dispatcher.on_crash_report(5)
        self.assertEqual(call.call, cancel.call)
        self.assertEqual([], self.dispatcher.on_crash_report(5))

    def test_held_job_can_be_cancelled(self):
        """Guards against a negative queue count after the cancellation."""
        for piece in range(3):
            self.submit(piece, fingerprint=9, canary=True)
        self.dispatcher.cancel(1.0, "f1", 2)
        self.assertEqual(0, self.dispatcher.queue.waiting)
        self.dispatcher.step(2.0)
        self.assertEqual(0, self.dispatcher.queue.waiting)
        self.assertEqual(2, self.dispatcher.load.canaries[0])

    def test_leaving_upstream_gets_no_new_work(self):
        self.dispatcher.replicas.mark_leaving(frozenset(("a", "b")))
        used = {self.start(piece).upstream for piece in range(2)}
        self.assertEqual({"c"}, used)

    def test_draining_reply_stops_new_work(self):
        call = self.start(1)
        done = jobs.CallDone(builders.ok(call).items, draining=True)
        self.dispatcher.on_result(1.0, call.call, done)
        used = {self.start(piece).upstream for piece in range(2, 6)}
        self.assertNotIn(call.upstream, used)

    def test_cold_upstream_starts_with_one_call(self):
        self.dispatcher = builders.replica_set(("a",), cold=True, slots=4)
        calls = builders.starts(self.submit(1)) + builders.starts(
            self.submit(2)
        )
        self.assertEqual(1, len(calls))

    def test_open_breaker_is_probed_after_its_timeout(self):
        self.dispatcher = builders.replica_set(("a",))
        self.warm()
        call = self.start(1, idempotent=False)
        self.dispatcher.on_result(1.0, call.call, jobs.CallCrashed())
        self.assertEqual([], builders.starts(self.submit(2, 2.0)))
        (probe,) = builders.starts(self.dispatcher.step(520.0))
        self.assertEqual("a", probe.upstream)

    def test_stalled_call_is_aborted(self):
        self.warm()
        call = self.start(1, deadline_at_ms=1e9)
        for number in range(30):
            other = self.start(50 + number, deadline_at_ms=1e9)
            self.dispatcher.on_result(10.0, other.call, builders.ok(other))
        actions = self.dispatcher.step(130.0)
        aborts = [a for a in actions if isinstance(a, jobs.AbortCall)]
        self.assertEqual([call.call], [item.call for item in aborts])

    def test_batches_are_limited_in_size_and_exclude_canaries(self):
        self.dispatcher = builders.replica_set(
            ("a",), batch_size=4, batch_window_ms=5.0, slots=1
        )
        for piece in range(6):
            actions = self.submit(piece, canary=piece == 1)
            if builders.starts(actions):
                break
        (call,) = builders.starts(actions)
        piece_ids = [item.piece_id for item in call.jobs]
        self.assertLessEqual(len(piece_ids), 4)
        self.assertNotIn(1, piece_ids[1:])

    def test_batch_window_ends(self):
        self.dispatcher = builders.replica_set(
            batch_size=8, batch_window_ms=5.0
        )
        self.assertEqual([], builders.starts(self.submit(1)))
        self.assertEqual(5.0, self.dispatcher.next_wakeup_ms(0.0))
        (call,) = builders.starts(self.dispatcher.step(5.0))
        self.assertEqual(1, len(call.jobs))

    def test_new_configuration_keeps_queued_jobs(self):
        for piece in range(8):
            self.submit(piece)
        newer = builders.service(slots=3)
        self.dispatcher.update_settings(newer)
        self.assertEqual(2, self.dispatcher.queue.waiting)
        self.assertEqual(2, len(builders.starts(self.dispatcher.step(1.0))))


class CrashSuspectsTest(unittest.TestCase):
    def test_same_peer_count_is_reported_once(self):
        table = crash_suspects.CrashSuspects()
        self.assertTrue(table.on_peer_report(1, 2, 0.0))
        self.assertFalse(table.on_peer_report(1, 2, 0.0))
        self.assertTrue(table.is_blocked(1))

    def test_local_and_peer_crashes_add_up(self):
        """Guards against using only the higher of the two counts."""
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
