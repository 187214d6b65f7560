"""Compares the gather with a simple reference implementation."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.model import answers
from godwitflow.policy import gather
from godwitflow.wire import messages

SNAPSHOT = 7
SHARDS = ("s0", "s1", "s2", "s3")
EXPECTED = dict(enumerate(SHARDS))
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400, database=None
)


def piece(piece_id, shard, snapshot, status, rows):
    return messages.Piece(
        piece_id, shard, snapshot, status, answers.RunStatus.RAN, rows
    )


PIECES = strategies.builds(
    piece,
    strategies.integers(0, len(SHARDS)),
    strategies.sampled_from(SHARDS + ("s9",)),
    strategies.sampled_from((SNAPSHOT, SNAPSHOT, SNAPSHOT + 1)),
    strategies.sampled_from(
        (messages.PieceStatus.OK,) * 3 + (messages.PieceStatus.SHED,)
    ),
    strategies.sampled_from((b'["a"]', b'["b", 1]', b"[]", b'["a"', b"")),
)
STREAMS = strategies.lists(PIECES, max_size=14)


def reference(stream):
    """Return the rows of each shard's first valid piece in the stream."""
    rows = []
    missing = []
    for piece_id, shard in EXPECTED.items():
        for item in stream:
            is_array = item.rows[:1] == b"[" and item.rows[-1:] == b"]"
            valid = item.status is messages.PieceStatus.OK and is_array
            expected = item.piece_id == piece_id and item.shard == shard
            if valid and expected and item.snapshot == SNAPSHOT:
                rows += json.loads(item.rows)
                break
        else:
            missing.append(shard)
    return rows, tuple(missing)


def agrees(kind, stream):
    real = kind(SNAPSHOT, EXPECTED)
    for item in stream:
        real.accept(item)
    rows, missing = reference(stream)
    coverage = real.coverage()
    counted = coverage.answered + len(coverage.missing) == coverage.total
    same = json.loads(real.rows()) == rows and coverage.missing == missing
    return counted and same


class AnySnapshot(gather.Gather):
    """A mutation that accepts pieces of any snapshot."""

    def accept(self, item):
        fields = {name: getattr(item, name) for name in item.__struct_fields__}
        fields["snapshot"] = self.snapshot
        return super().accept(messages.Piece(**fields))


class LastWins(gather.Gather):
    """A mutation in which a duplicate replaces the accepted piece."""

    def accept(self, item):
        self._rows.pop(self._expected.get(item.piece_id), None)
        return super().accept(item)


class GatherTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(STREAMS)
    def test_same_as_reference(self, stream):
        self.assertTrue(agrees(gather.Gather, stream))

    def test_mutations_are_caught(self):
        for mutation in (AnySnapshot, LastWins):
            found = hypothesis.find(
                STREAMS,
                lambda stream, kind=mutation: not agrees(kind, stream),
                settings=SETTINGS,
            )
            self.assertTrue(found)

    def test_failed_shard_can_still_answer(self):
        real = gather.Gather(SNAPSHOT, {1: "s1"})
        shed = messages.PieceStatus.SHED
        real.accept(piece(1, "s1", SNAPSHOT, shed, b""))
        self.assertTrue(real.settled)
        late = piece(1, "s1", SNAPSHOT, messages.PieceStatus.OK, b"[]")
        self.assertIs(gather.Verdict.TAKEN, real.accept(late))
        self.assertTrue(real.coverage().complete)
