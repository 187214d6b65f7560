"""Collects the pieces of one query into rows and their coverage.

A piece counts only once, and only if it matches the query's snapshot,
shard and piece id. Every other piece is dropped with a verdict that
says why.
"""

import enum

from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.wire import messages


class Verdict(enum.Enum):
    """The result of one piece.

    ``MISSED`` means that the shard has failed so far. ``REROUTED``, which
    is set by the query run, means that the piece was sent to another
    owner.
    """

    TAKEN = "taken"
    MISSED = "missed"
    REROUTED = "rerouted"
    DUPLICATE = "duplicate"
    UNKNOWN = "unknown"
    WRONG_SHARD = "wrong_shard"
    WRONG_SNAPSHOT = "wrong_snapshot"
    TRUNCATED = "truncated"


class Gather:
    """The replies of one scatter over the shards of one snapshot."""

    __slots__ = ("_expected", "_missed", "_rows", "shards", "snapshot")

    def __init__(
        self,
        snapshot: ids.SnapshotVersion,
        expected: dict[ids.PieceId, ids.ShardId],
    ) -> None:
        self.snapshot = snapshot
        self.shards = tuple(expected.values())
        self._expected = expected
        self._rows: dict[ids.ShardId, bytes] = {}
        self._missed: set[ids.ShardId] = set()

    def accept(self, piece: messages.Piece) -> Verdict:
        """Record a piece's rows, or return why they do not count."""
        shard = self._expected.get(piece.piece_id)
        if shard is None:
            return Verdict.UNKNOWN
        if shard != piece.shard:
            return Verdict.WRONG_SHARD
        if shard in self._rows:
            return Verdict.DUPLICATE
        if piece.status is not messages.PieceStatus.OK:
            self._missed.add(shard)
            return Verdict.MISSED
        if piece.snapshot != self.snapshot:
            return Verdict.WRONG_SNAPSHOT
        if not _looks_like_array(piece.rows):
            return Verdict.TRUNCATED
        self._rows[shard] = piece.rows
        self._missed.discard(shard)
        return Verdict.TAKEN

    def shard_of(self, piece_id: ids.PieceId) -> ids.ShardId | None:
        """Return the shard of a piece id, or None if it is unknown."""
        return self._expected.get(piece_id)

    @property
    def settled(self) -> bool:
        """Whether every shard has either answered or failed."""
        return len(self._rows) + len(self._missed) == len(self.shards)

    @property
    def answered(self) -> int:
        """The number of shards that have answered."""
        return len(self._rows)

    def pending(self) -> list[ids.PieceId]:
        """Return the ids of the pieces that have no result yet."""
        return [
            piece_id
            for piece_id, shard in self._expected.items()
            if shard not in self._rows and shard not in self._missed
        ]

    def coverage(self) -> answers.Coverage:
        """Return the coverage of the accepted pieces."""
        missing = tuple(
            shard for shard in self.shards if shard not in self._rows
        )
        return answers.Coverage(
            len(self.shards) - len(missing), len(self.shards), missing
        )

    def rows(self) -> bytes:
        """Return the rows of the accepted pieces in shard order."""
        parts = [
            self._rows[shard] for shard in self.shards if shard in self._rows
        ]
        return answers.join_rows(parts)


def _looks_like_array(rows: bytes) -> bool:
    return rows[:1] == b"[" and rows[-1:] == b"]"
