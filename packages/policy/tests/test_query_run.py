"""Tests of the run of one query at its front."""

import itertools
import json
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.model import answers
from godwitflow.model import index
from godwitflow.policy import query_run
from godwitflow.wire import messages

OK = messages.PieceStatus.OK
INDEX = index.Index(
    "s",
    3,
    {f"r{n}": (f"http://u{n}",) for n in range(4)},
    {f"s{n}": f"r{n}" for n in range(4)},
)
NEWER = index.Index(
    "s",
    4,
    INDEX.replica_sets,
    {**{f"s{n}": f"r{n}" for n in range(3)}, "s3a": "r3", "s3b": "r3"},
)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)


def request(**changes):
    fields = {
        "query_id": "q1",
        "trace_id": "",
        "service": "s",
        "rank": 0,
        "tie_breaker": 1,
        "started_at_ms": 0.0,
        "deadline_at_ms": 100.0,
        "least_coverage": 0.0,
        "idempotent": True,
        "fingerprint": 6,
        "payload": b"1",
    }
    return query_run.Request(**{**fields, **changes})


def new_run(owners=("n1", "n2"), **changes):
    return query_run.QueryRun(
        request(**changes), INDEX, lambda _: list(owners), itertools.count(1)
    )


def sends(actions):
    return [a for a in actions if isinstance(a, query_run.SendPieces)]


def finish(actions):
    found = [a for a in actions if isinstance(a, query_run.Finish)]
    return found[0].result if found else None


def reply(ref, snapshot=3, status=OK, ran=answers.RunStatus.RAN, rows=None):
    if rows is None:
        rows = b'["%s@%d"]' % (ref.shard.encode(), snapshot)
    return messages.Piece(ref.piece_id, ref.shard, snapshot, status, ran, rows)


def refs_of(actions):
    return [ref for item in sends(actions) for ref in item.scatter.pieces]


class QueryRunTest(unittest.TestCase):
    def answer_all(self, run, refs, **changes):
        result = None
        for ref in refs:
            _, actions = run.on_piece(10.0, reply(ref, **changes))
            result = result or finish(actions)
        return result

    def test_complete_answer(self):
        run = new_run()
        result = self.answer_all(run, refs_of(run.start(0.0)))
        self.assertTrue(result.coverage.complete)
        self.assertEqual(
            ["s0@3", "s1@3", "s2@3", "s3@3"],
            json.loads(bytes(result.rows)),
        )

    def test_partial_answer_lists_the_missing_shards(self):
        run = new_run()
        refs = refs_of(run.start(0.0))
        self.answer_all(run, refs[:3])
        result = finish(run.on_deadline(98.0))
        self.assertEqual(("s3",), result.coverage.missing)
        self.assertEqual(0.75, result.coverage.share)

    def test_refused_once_least_coverage_cannot_be_reached(self):
        run = new_run(least_coverage=1.0)
        refs = refs_of(run.start(0.0))
        shed = reply(
            refs[0],
            status=messages.PieceStatus.SHED,
            ran=answers.RunStatus.NOT_RUN,
        )
        _, actions = run.on_piece(1.0, shed)
        result = finish(actions)
        self.assertIs(answers.RefusalCode.SHED, result.code)
        cancels = [a for a in actions if isinstance(a, query_run.CancelPieces)]
        self.assertEqual(3, sum(len(item.piece_ids) for item in cancels))

    def test_not_run_only_if_no_piece_may_have_run(self):
        for ran, expected in (
            (answers.RunStatus.NOT_RUN, answers.RunStatus.NOT_RUN),
            (answers.RunStatus.UNKNOWN, answers.RunStatus.UNKNOWN),
        ):
            run = new_run()
            refs = refs_of(run.start(0.0))
            result = None
            for ref in refs:
                lost = reply(ref, status=messages.PieceStatus.FAILED, ran=ran)
                result = finish(run.on_piece(1.0, lost)[1]) or result
            self.assertIs(expected, result.ran)

    def test_deadline_with_open_pieces_may_have_run(self):
        run = new_run()
        run.start(0.0)
        result = finish(run.on_deadline(98.0))
        self.assertIs(answers.RunStatus.UNKNOWN, result.ran)

    def test_canary_is_sent_first_and_alone(self):
        run = new_run(canary=True)
        (first,) = refs_of(run.start(0.0))
        _, actions = run.on_piece(5.0, reply(first))
        rest = refs_of(actions)
        self.assertEqual(3, len(rest))
        self.assertTrue(self.answer_all(run, rest).coverage.complete)

    def test_crashing_canary_is_sent_to_no_other_shard(self):
        run = new_run(canary=True)
        (first,) = refs_of(run.start(0.0))
        suspect = reply(
            first,
            status=messages.PieceStatus.SUSPECT,
            ran=answers.RunStatus.UNKNOWN,
        )
        _, actions = run.on_piece(5.0, suspect)
        self.assertEqual([], sends(actions))
        self.assertIs(answers.RefusalCode.SUSPECT, finish(actions).code)

    def test_unresponsive_owners_are_replaced_twice(self):
        run = new_run(owners=("n1", "n2", "n3", "n4"))
        run.start(0.0)
        actions = run.on_node_lost(10.0, "n1")
        self.assertEqual({"n2"}, {item.node for item in sends(actions)})
        self.assertEqual(4, len(refs_of(actions)))
        actions = run.on_node_lost(20.0, "n2")
        self.assertEqual({"n3"}, {item.node for item in sends(actions)})
        result = finish(run.on_node_lost(30.0, "n3"))
        self.assertIs(answers.RunStatus.UNKNOWN, result.ran)

    def test_not_idempotent_with_an_unresponsive_owner_is_not_resent(self):
        run = new_run(idempotent=False, shard_key="k")
        run.start(0.0)
        actions = run.on_node_lost(10.0, "n1")
        self.assertEqual([], sends(actions))
        result = finish(actions)
        self.assertIs(answers.RefusalCode.OUTCOME_UNKNOWN, result.code)

    def test_retired_snapshot_restarts_the_whole_run_once(self):
        run = new_run()
        refs = refs_of(run.start(0.0))
        run.on_piece(1.0, reply(refs[0]))
        retired = reply(
            refs[1],
            status=messages.PieceStatus.WRONG_SNAPSHOT,
            ran=answers.RunStatus.NOT_RUN,
        )
        _, actions = run.on_piece(2.0, retired)
        self.assertEqual([], actions)
        actions = run.on_index(3.0, NEWER)
        new_refs = refs_of(actions)
        self.assertEqual(5, len(new_refs))
        run.on_piece(4.0, reply(refs[2]))
        result = self.answer_all(run, new_refs, snapshot=4)
        self.assertEqual(4, result.snapshot)
        rows = json.loads(bytes(result.rows))
        self.assertEqual({"4"}, {row.split("@")[1] for row in rows})

    def test_refusal_after_a_restart_counts_earlier_runs(self):
        """Guards against reporting not run in a refusal after a restart."""
        for lose in (
            lambda run: run.on_piece(1.0, reply(run_refs[0])),
            lambda run: run.on_node_lost(1.0, "n1"),
        ):
            run = new_run()
            run_refs = refs_of(run.start(0.0))
            lose(run)
            retired = reply(
                run_refs[1],
                status=messages.PieceStatus.WRONG_SNAPSHOT,
                ran=answers.RunStatus.NOT_RUN,
            )
            run.on_piece(2.0, retired)
            result = None
            for ref in refs_of(run.on_index(3.0, NEWER)):
                shed = reply(
                    ref,
                    snapshot=4,
                    status=messages.PieceStatus.SHED,
                    ran=answers.RunStatus.NOT_RUN,
                )
                result = finish(run.on_piece(4.0, shed)[1]) or result
            self.assertIsNot(answers.RunStatus.NOT_RUN, result.ran)

    def test_dispatcher_without_the_index_is_skipped(self):
        run = new_run()
        refs = refs_of(run.start(0.0))
        unavailable = reply(
            refs[0],
            status=messages.PieceStatus.UNAVAILABLE,
            ran=answers.RunStatus.NOT_RUN,
        )
        _, actions = run.on_piece(1.0, unavailable)
        self.assertEqual(["n2"], [item.node for item in sends(actions)])

    def test_no_owner_gives_a_refusal(self):
        run = new_run(owners=())
        result = finish(run.start(0.0))
        self.assertIs(answers.RunStatus.NOT_RUN, result.ran)


KINDS = strategies.sampled_from(
    ("ok", "ok", "ok", "wrong_snapshot", "truncated", "wrong_shard", "shed")
)


def reply_of_kind(kind, refs, position):
    ref = refs[position]
    match kind:
        case "wrong_snapshot":
            return reply(ref, snapshot=9)
        case "truncated":
            return reply(ref, rows=b'["x"')
        case "wrong_shard":
            other = refs[(position + 1) % len(refs)]
            return reply(messages.PieceRef(ref.piece_id, other.shard, ""))
        case "shed":
            return reply(ref, status=messages.PieceStatus.SHED)
        case _:
            return reply(ref)


def oracle(refs, stream):
    """Return the rows of the shards whose first result is an answer."""
    settled = {}
    for kind, position in stream:
        if kind in ("ok", "shed") and position not in settled:
            settled[position] = kind
    answered = [position for position, kind in settled.items() if kind == "ok"]
    return sorted(f"{refs[position].shard}@3" for position in answered)


class DifferentialTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(KINDS, strategies.integers(0, 3)), max_size=16
        )
    )
    def test_same_rows_as_the_oracle(self, stream):
        run = new_run()
        refs = refs_of(run.start(0.0))
        result = None
        used = []
        for kind, position in stream:
            if result is not None:
                break
            used.append((kind, position))
            _, actions = run.on_piece(1.0, reply_of_kind(kind, refs, position))
            result = finish(actions)
        result = result or finish(run.on_deadline(99.0))
        expected = oracle(refs, used)
        if isinstance(result, answers.Refusal):
            self.assertEqual([], expected)
            return
        rows = sorted(json.loads(bytes(result.rows)))
        extra = set(rows) - set(expected)
        # A shard that was shed may still answer later, which counts.
        self.assertLessEqual(set(expected), set(rows))
        for row in extra:
            position = int(row[1])
            self.assertIn(("ok", position), used)
        self.assertEqual(len(rows), result.coverage.answered)
        self.assertEqual(4 - len(rows), len(result.coverage.missing))
