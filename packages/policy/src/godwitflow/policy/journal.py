"""One partition of the journal that makes a request run at most once.

A claim on a request key is committed to an object of the platform by a
conditional update before anything is dispatched. Claims that wait while
a write is in flight go into the next write together. No input or output
happens here: each event returns the actions to carry out.
"""

import dataclasses
import enum
import typing

import msgspec

from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.wire import messages

MAX_VALUE_BYTES = 900_000
RETRY_MS = 200.0
OBJECT_PREFIX = "journal/"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A claim and what became of it; ``at_ms`` is Unix time."""

    key: str
    claimer: str
    at_ms: float
    ran: answers.RunStatus = answers.RunStatus.UNKNOWN
    note: str = ""


class State(enum.Enum):
    """Where a partition stands with its object in the store."""

    UNREAD = "unread"
    READING = "reading"
    IDLE = "idle"
    WRITING = "writing"


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the partition's object."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write the object if it still has ``version``."""

    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyClaim:
    """Answer a claim."""

    client: str
    reply: messages.ClaimReply


Action = Read | Write | ReplyClaim


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    client: str
    claim: int
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
        raise errors.CodecError(f"bad journal object: {error}") from error


def encode(entries: typing.Iterable[Entry]) -> bytes:
    """Encode a partition's entries."""
    return msgspec.msgpack.encode(list(entries))


class Partition:
    """The state of one partition at the node that serves it now.

    Two nodes may serve one partition for a moment. Only one of two
    writes on the same version is applied; the other node reads again
    and finds the key taken.
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
        self._claims: list[_Pending] = []
        self._outcomes: list[messages.Outcome] = []
        self._writing: dict[str, Entry] = {}
        self._writing_outcomes: list[messages.Outcome] = []
        self._written_at_ms = -1e12
        self._retry_at_ms = 0.0
        self._bytes = 0

    @property
    def name(self) -> str:
        """The name of the partition's object."""
        return f"{OBJECT_PREFIX}{self.number}"

    # Events -----------------------------------------------------------

    def on_claim(
        self,
        now_ms: float,
        unix_ms: float,
        client: str,
        claim: messages.Claim,
    ) -> list[Action]:
        """Take a claim from a front."""
        pending = _Pending(
            client,
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
        """Take the outcome of a claimed request."""
        self._outcomes.append(outcome)
        return self.step(now_ms, unix_ms)

    def on_read(
        self, now_ms: float, unix_ms: float, value: bytes, version: int
    ) -> list[Action]:
        """Take the object as read; an absent one has version 0."""
        if version < self.version:
            # A stale read says nothing of what was written since.
            return self.on_store_unavailable(now_ms)
        self.state = State.IDLE
        self.version = version
        self.entries = decode(value) if value else {}
        self._bytes = len(value)
        self._outcomes = self._writing_outcomes + self._outcomes
        self._writing_outcomes = []
        return self.step(now_ms, unix_ms)

    def on_written(
        self, now_ms: float, unix_ms: float, version: int
    ) -> list[Action]:
        """Learn that the write was applied."""
        self.state = State.IDLE
        self.version = version
        self.entries = self._writing
        self._writing_outcomes = []
        return self.step(now_ms, unix_ms)

    def on_write_conflict(self) -> list[Action]:
        """Learn that another node wrote first: nothing was applied."""
        self.conflicts += 1
        return self._read_again()

    def on_write_unknown(self) -> list[Action]:
        """Learn that the answer to the write was lost: read it back."""
        return self._read_again()

    def on_store_unavailable(self, now_ms: float) -> list[Action]:
        """Learn that the store did not take a call; fail what waits."""
        self.state = State.UNREAD
        self._retry_at_ms = now_ms + RETRY_MS
        failed, self._claims = self._claims, []
        return [self._give_up(pending) for pending in failed]

    def _read_again(self) -> list[Action]:
        self.state = State.READING
        return [Read()]

    # Steps ------------------------------------------------------------

    def step(self, now_ms: float, unix_ms: float) -> list[Action]:
        """Answer what can be answered; read or write where due."""
        actions = self._expire(now_ms)
        if self.state is State.UNREAD and (self._claims or self._outcomes):
            if now_ms < self._retry_at_ms:
                return actions
            return actions + self._read_again()
        if self.state is State.IDLE:
            actions += self._answer_known()
            if now_ms - self._written_at_ms >= self.interval_ms:
                actions += self._write(now_ms, unix_ms)
        return actions

    @property
    def has_pending_work(self) -> bool:
        """Whether a step will be needed without another event."""
        return bool(self._claims or self._outcomes)

    def _expire(self, now_ms: float) -> list[Action]:
        """Answer claims that waited too long: they were not dispatched.

        A claim that is in a write under way may still be committed. Its
        front does not dispatch it either, so it has not run.
        """
        late = [
            pending
            for pending in self._claims
            if pending.deadline_at_ms <= now_ms
        ]
        if not late:
            return []
        self._claims = [item for item in self._claims if item not in late]
        return [self._give_up(pending) for pending in late]

    def _give_up(self, pending: _Pending) -> ReplyClaim:
        """Refuse a claim; release it where it may be committed yet."""
        if pending.written:
            release = messages.Outcome(
                self.number,
                pending.key,
                pending.claimer,
                answers.RunStatus.NOT_RUN,
            )
            self._outcomes.append(release)
        return self._reply(pending, _VERDICTS.UNAVAILABLE)

    def _answer_known(self) -> list[Action]:
        """Answer claims on keys that are taken already."""
        actions: list[Action] = []
        waiting = []
        taken: set[str] = set()
        for pending in self._claims:
            entry = self.entries.get(pending.key)
            if entry is not None and entry.claimer == pending.claimer:
                actions.append(self._reply(pending, _VERDICTS.CLAIMED))
            elif entry is not None:
                actions.append(self._reply_taken(pending, entry))
            elif pending.key in taken:
                verdict = _VERDICTS.UNKNOWN_BEFORE
                actions.append(self._reply(pending, verdict))
            elif self._bytes > MAX_VALUE_BYTES:
                actions.append(self._reply(pending, _VERDICTS.FULL))
            else:
                taken.add(pending.key)
                waiting.append(pending)
        self._claims = waiting
        return actions

    def _reply_taken(self, pending: _Pending, entry: Entry) -> ReplyClaim:
        ran, note = entry.ran, entry.note
        for outcome in self._writing_outcomes + self._outcomes:
            # What a front has reported is true before it is stored.
            if outcome.claimer == entry.claimer:
                ran, note = outcome.ran, outcome.note
        if ran is answers.RunStatus.RAN:
            return self._reply(pending, _VERDICTS.RAN_BEFORE, note)
        return self._reply(pending, _VERDICTS.UNKNOWN_BEFORE)

    def _write(self, now_ms: float, unix_ms: float) -> list[Action]:
        if not self._claims and not self._outcomes:
            return []
        entries = self._prune(unix_ms)
        for outcome in self._outcomes:
            _apply_outcome(entries, outcome)
        self._writing_outcomes = self._outcomes
        self._outcomes = []
        for pending in self._claims:
            entry = Entry(pending.key, pending.claimer, unix_ms)
            entries[pending.key] = entry
            pending.written = True
        self._writing = entries
        self.state = State.WRITING
        self.writes += 1
        self._written_at_ms = now_ms
        value = encode(entries.values())
        self._bytes = len(value)
        return [Write(value, self.version)]

    def _prune(self, unix_ms: float) -> dict[str, Entry]:
        oldest_ms = unix_ms - self.retention_ms
        return {
            key: entry
            for key, entry in self.entries.items()
            if entry.at_ms >= oldest_ms
        }

    def _reply(
        self,
        pending: _Pending,
        verdict: messages.ClaimVerdict,
        note: str = "",
    ) -> ReplyClaim:
        reply = messages.ClaimReply(pending.claim, verdict, note)
        return ReplyClaim(pending.client, reply)


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
    """Return the partition that holds a key."""
    return key_hash % partitions


def claimer_id(node: str, incarnation: int, claim: int) -> str:
    """Name a claim uniquely among all fronts and their restarts."""
    return f"{node}/{incarnation}/{claim}"
