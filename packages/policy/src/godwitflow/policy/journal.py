"""One partition of the journal that makes a request run at most once.

A claim on a request key is committed to an object of the store by a
conditional update before anything is dispatched. Claims that arrive
while a write is in flight are committed together by the next write.
This module performs no I/O: each event returns the actions to carry out.
"""

import dataclasses
import enum
import typing

import msgspec

from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.wire import messages

MAX_VALUE_BYTES = 900_000  # above this size, new claims get FULL
RETRY_MS = 200.0
OBJECT_PREFIX = "journal/"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A claim and the outcome of its request; ``at_ms`` is Unix time."""

    key: str
    claimer: str
    at_ms: float
    ran: answers.RunStatus = answers.RunStatus.UNKNOWN
    note: str = ""


class State(enum.Enum):
    """The state of a partition with regard to its stored object."""

    UNREAD = "unread"
    READING = "reading"
    IDLE = "idle"
    WRITING = "writing"


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the partition's object."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write the object if its version is still ``version``."""

    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyClaim:
    """Send the reply to a claim."""

    front_node: str
    reply: messages.ClaimReply


Action = Read | Write | ReplyClaim


@dataclasses.dataclass(slots=True, eq=False)
class _PendingClaim:
    front_node: str
    claim_id: int
    key: str
    claimer: str
    deadline_at_ms: float
    written: bool = False


_decoder = msgspec.msgpack.Decoder(list[Entry])
_VERDICTS = messages.ClaimVerdict


def decode(raw: bytes) -> dict[str, Entry]:
    """Decode a partition's object; raises :class:`errors.CodecError`."""
    try:
        return {entry.key: entry for entry in _decoder.decode(raw)}
    except msgspec.MsgspecError as error:
        raise errors.CodecError(
            f"malformed journal object: {error}"
        ) from error


def encode(entries: typing.Iterable[Entry]) -> bytes:
    """Encode a partition's entries."""
    return msgspec.msgpack.encode(list(entries))


class Partition:
    """The state of one partition at the node that owns it.

    Two nodes may own one partition for a short time. Only one of two
    writes to the same version is applied. The other node then reads the
    object again and finds the key claimed.

    Entries are kept for at least ``retention_ms``. ``interval_ms`` is the
    minimum time between two writes.
    """

    def __init__(
        self, number: int, retention_ms: float, interval_ms: float
    ) -> None:
        self.number = number
        self.retention_ms = retention_ms
        self.interval_ms = interval_ms
        self.state = State.UNREAD
        self.version = 0
        self.entries: dict[str, Entry] = {}
        self.writes = 0
        self.conflicts = 0
        self._claims: list[_PendingClaim] = []
        self._outcomes: list[messages.Outcome] = []
        self._entries_in_write: dict[str, Entry] = {}
        self._outcomes_in_write: list[messages.Outcome] = []
        self._last_write_ms = -1e12
        self._retry_at_ms = 0.0
        self._size_bytes = 0

    @property
    def name(self) -> str:
        """The name of the partition's object."""
        return f"{OBJECT_PREFIX}{self.number}"

    # Events -----------------------------------------------------------

    def on_claim(
        self,
        now_ms: float,
        unix_ms: float,
        front_node: str,
        claim: messages.Claim,
    ) -> list[Action]:
        """Handle a claim from a front."""
        pending = _PendingClaim(
            front_node,
            claim.claim_id,
            claim.key,
            claim.claimer,
            now_ms + claim.budget_ms,
        )
        self._claims.append(pending)
        return self.step(now_ms, unix_ms)

    def on_outcome(
        self, now_ms: float, unix_ms: float, outcome: messages.Outcome
    ) -> list[Action]:
        """Handle the outcome of a claimed request."""
        self._outcomes.append(outcome)
        return self.step(now_ms, unix_ms)

    def on_read(
        self, now_ms: float, unix_ms: float, value: bytes, version: int
    ) -> list[Action]:
        """Handle the object that was read; a missing one has version 0."""
        if version < self.version:
            # A stale read lacks what was written since.
            return self.on_store_unavailable(now_ms)
        self.state = State.IDLE
        self.version = version
        self.entries = decode(value) if value else {}
        self._size_bytes = len(value)
        self._outcomes = self._outcomes_in_write + self._outcomes
        self._outcomes_in_write = []
        return self.step(now_ms, unix_ms)

    def on_written(
        self, now_ms: float, unix_ms: float, version: int
    ) -> list[Action]:
        """Handle a write that was applied."""
        self.state = State.IDLE
        self.version = version
        self.entries = self._entries_in_write
        self._outcomes_in_write = []
        return self.step(now_ms, unix_ms)

    def on_write_conflict(self) -> list[Action]:
        """Read again: another node wrote first, so nothing was applied."""
        self.conflicts += 1
        return self._reread()

    def on_write_unknown(self) -> list[Action]:
        """Read again: the result of the write was lost."""
        return self._reread()

    def on_store_unavailable(self, now_ms: float) -> list[Action]:
        """Refuse the waiting claims, because the store failed a call."""
        self.state = State.UNREAD
        self._retry_at_ms = now_ms + RETRY_MS
        failed, self._claims = self._claims, []
        return [self._refuse(pending) for pending in failed]

    def _reread(self) -> list[Action]:
        self.state = State.READING
        return [Read()]

    # Steps ------------------------------------------------------------

    def step(self, now_ms: float, unix_ms: float) -> list[Action]:
        """Reply to claims where possible; read or write if due."""
        actions = self._refuse_expired(now_ms)
        if self.state is State.UNREAD and (self._claims or self._outcomes):
            if now_ms < self._retry_at_ms:
                return actions
            return actions + self._reread()
        if self.state is State.IDLE:
            actions += self._reply_without_write()
            if now_ms - self._last_write_ms >= self.interval_ms:
                actions += self._write(now_ms, unix_ms)
        return actions

    @property
    def has_pending_work(self) -> bool:
        """Whether claims or outcomes are waiting for a ``step``."""
        return bool(self._claims or self._outcomes)

    def _refuse_expired(self, now_ms: float) -> list[Action]:
        """Refuse the claims whose deadline has passed without a dispatch.

        A claim in a write that is still in flight may yet be committed.
        Its front does not dispatch the request either, so it has not run.
        """
        expired = [
            pending
            for pending in self._claims
            if pending.deadline_at_ms <= now_ms
        ]
        if not expired:
            return []
        self._claims = [item for item in self._claims if item not in expired]
        return [self._refuse(pending) for pending in expired]

    def _refuse(self, pending: _PendingClaim) -> ReplyClaim:
        """Refuse a claim; release it if a write may still commit it."""
        if pending.written:
            release = messages.Outcome(
                self.number,
                pending.key,
                pending.claimer,
                answers.RunStatus.NOT_RUN,
            )
            self._outcomes.append(release)
        return self._reply(pending, _VERDICTS.UNAVAILABLE)

    def _reply_without_write(self) -> list[Action]:
        """Reply to claims that need no write."""
        actions: list[Action] = []
        waiting = []
        claimed_keys: set[str] = set()
        for pending in self._claims:
            entry = self.entries.get(pending.key)
            if entry is not None and entry.claimer == pending.claimer:
                actions.append(self._reply(pending, _VERDICTS.CLAIMED))
            elif entry is not None:
                actions.append(self._reply_already_claimed(pending, entry))
            elif pending.key in claimed_keys:
                verdict = _VERDICTS.UNKNOWN_BEFORE
                actions.append(self._reply(pending, verdict))
            elif self._size_bytes > MAX_VALUE_BYTES:
                actions.append(self._reply(pending, _VERDICTS.FULL))
            else:
                claimed_keys.add(pending.key)
                waiting.append(pending)
        self._claims = waiting
        return actions

    def _reply_already_claimed(
        self, pending: _PendingClaim, entry: Entry
    ) -> ReplyClaim:
        ran, note = entry.ran, entry.note
        for outcome in self._outcomes_in_write + self._outcomes:
            # A reported outcome counts even before it is stored.
            if outcome.claimer == entry.claimer:
                ran, note = outcome.ran, outcome.note
        if ran is answers.RunStatus.RAN:
            return self._reply(pending, _VERDICTS.RAN_BEFORE, note)
        return self._reply(pending, _VERDICTS.UNKNOWN_BEFORE)

    def _write(self, now_ms: float, unix_ms: float) -> list[Action]:
        if not self._claims and not self._outcomes:
            return []
        entries = self._unexpired_entries(unix_ms)
        for outcome in self._outcomes:
            _apply_outcome(entries, outcome)
        self._outcomes_in_write = self._outcomes
        self._outcomes = []
        for pending in self._claims:
            entry = Entry(pending.key, pending.claimer, unix_ms)
            entries[pending.key] = entry
            pending.written = True
        self._entries_in_write = entries
        self.state = State.WRITING
        self.writes += 1
        self._last_write_ms = now_ms
        value = encode(entries.values())
        self._size_bytes = len(value)
        return [Write(value, self.version)]

    def _unexpired_entries(self, unix_ms: float) -> dict[str, Entry]:
        oldest_ms = unix_ms - self.retention_ms
        return {
            key: entry
            for key, entry in self.entries.items()
            if entry.at_ms >= oldest_ms
        }

    def _reply(
        self,
        pending: _PendingClaim,
        verdict: messages.ClaimVerdict,
        note: str = "",
    ) -> ReplyClaim:
        reply = messages.ClaimReply(pending.claim_id, verdict, note)
        return ReplyClaim(pending.front_node, reply)


def _apply_outcome(
    entries: dict[str, Entry], outcome: messages.Outcome
) -> None:
    entry = entries.get(outcome.key)
    if entry is None or entry.claimer != outcome.claimer:
        return
    if outcome.ran is answers.RunStatus.NOT_RUN:
        del entries[outcome.key]
        return
    entries[outcome.key] = Entry(
        entry.key, entry.claimer, entry.at_ms, outcome.ran, outcome.note
    )


def partition_for_key(key_hash: int, partitions: int) -> int:
    """Return the number of the partition of a key, given its hash."""
    return key_hash % partitions


def claimer_id(node: str, incarnation: int, claim_id: int) -> str:
    """Return the id of a claim, unique across nodes and their restarts."""
    return f"{node}/{incarnation}/{claim_id}"
