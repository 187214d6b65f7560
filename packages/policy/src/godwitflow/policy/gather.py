"""Collects the pieces of one query into rows with true coverage.

Only a piece that matches the query's snapshot, shard and correlation id
counts, once; everything else is named and dropped.
"""

import enum

from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.wire import messages


class Verdict(enum.Enum):
    """What a gather made of one piece."""

    TAKEN = "taken"
    MISSED = "missed"
    REROUTED = "rerouted"
    DUPLICATE = "duplicate"
    UNKNOWN = "unknown"
    WRONG_SHARD = "wrong_shard"
    WRONG_SNAPSHOT = "wrong_snapshot"
    TRUNCATED = "truncated"


class Gather:
    """The state of one scatter over the shards of one snapshot."""

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
        """Take a piece's rows, or say why they do not count."""
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
        if not _is_array(piece.rows):
            return Verdict.TRUNCATED
        self._rows[shard] = piece.rows
        self._missed.discard(shard)
        return Verdict.TAKEN

    def shard_of(self, piece: ids.PieceId) -> ids.ShardId | None:
        """Return the shard that a piece id stands for."""
        return self._expected.get(piece)

    @property
    def settled(self) -> bool:
        """Whether each shard has answered or been missed."""
        return len(self._rows) + len(self._missed) == len(self.shards)

    @property
    def answered(self) -> int:
        """The number of shards that have answered."""
        return len(self._rows)

    def pending(self) -> list[ids.PieceId]:
        """Return the piece ids that nothing has settled yet."""
        return [
            piece
            for piece, shard in self._expected.items()
            if shard not in self._rows and shard not in self._missed
        ]

    def coverage(self) -> answers.Coverage:
        """Return the coverage, computed from the pieces taken."""
        missing = tuple(
            shard for shard in self.shards if shard not in self._rows
        )
        return answers.Coverage(
            len(self.shards) - len(missing), len(self.shards), missing
        )

    def rows(self) -> bytes:
        """Return the rows of the pieces taken, in shard order."""
        parts = [
            self._rows[shard] for shard in self.shards if shard in self._rows
        ]
        return answers.join_rows(parts)


def _is_array(rows: bytes) -> bool:
    return rows[:1] == b"[" and rows[-1:] == b"]"
