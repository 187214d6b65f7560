"""Values that pass between a dispatcher's policy and its input/output."""

import dataclasses

from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.wire import messages


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One piece of a query at its dispatcher.

    ``client`` is the front's node; ``piece`` is unique within it.
    ``alone`` keeps a job out of batches after a batch has crashed.
    ``piece_key`` is the correlation id that the upstream echoes.
    """

    client: str
    piece: ids.PieceId
    query_id: str
    service: ids.ServiceName
    shard: ids.ShardId
    snapshot: ids.SnapshotVersion
    rank: ids.Rank
    deadline_at_ms: float
    order: int
    idempotent: bool
    canary: bool
    fingerprint: ids.Fingerprint
    payload: bytes
    traceparent: str = ""
    queued_at_ms: float = 0.0
    started_at_ms: float | None = None
    tried: list[ids.UpstreamId] = dataclasses.field(default_factory=list)
    calls: set[int] = dataclasses.field(default_factory=set)
    call_count: int = 0
    trials: int = 0
    may_have_run: bool = False
    alone: bool = False
    done: bool = False
    queued: bool = False
    piece_key: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.piece_key = f"{self.client}/{self.piece}"


@dataclasses.dataclass(frozen=True, slots=True)
class ItemOk:
    """Rows of one item, with the snapshot and shard they are of."""

    piece: str
    shard: ids.ShardId
    snapshot: ids.SnapshotVersion
    rows: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ItemShed:
    """The upstream did not run the item."""

    piece: str
    retry_after_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ItemWrongSnapshot:
    """The upstream does not hold the snapshot; it did not run."""

    piece: str


@dataclasses.dataclass(frozen=True, slots=True)
class ItemCancelled:
    """The upstream dropped the item before it ran."""

    piece: str


@dataclasses.dataclass(frozen=True, slots=True)
class ItemFailed:
    """The item failed, or its reply was missing; it may have run."""

    piece: str


Item = ItemOk | ItemShed | ItemWrongSnapshot | ItemCancelled | ItemFailed


@dataclasses.dataclass(frozen=True, slots=True)
class CallDone:
    """A whole reply came; ``draining`` says the upstream is leaving."""

    items: tuple[Item, ...]
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallNotSent:
    """No byte of the call reached the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallCrashed:
    """The connection broke while the upstream ran the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallTimedOut:
    """No reply came in time; the call may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallGarbled:
    """The reply was cut short or malformed; the call may have run."""


CallResult = CallDone | CallNotSent | CallCrashed | CallTimedOut | CallGarbled


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Call an upstream with one or more jobs."""

    call: int
    upstream: ids.UpstreamId
    jobs: tuple[Job, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Tell an upstream that a call is no longer wanted."""

    call: int
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class AbortCall:
    """Give a call up and close its connection, which has gone silent.

    The call's result must still be reported, as ``CallTimedOut``.
    """

    call: int
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer a job's front."""

    job: Job
    status: messages.PieceStatus
    ran: answers.RunStatus
    rows: bytes = b""
    queue_ms: float = 0.0
    upstream_ms: float = 0.0
    retry_after_ms: float = 0.0


Action = StartCall | CancelCall | AbortCall | Reply


def from_scatter(
    now_ms: float,
    client: ids.NodeId,
    scatter: messages.Scatter,
    ref: messages.PieceRef,
) -> Job:
    """Build the job of one piece; its time left starts to run now."""
    return Job(
        client,
        ref.piece_id,
        scatter.query_id,
        scatter.service,
        ref.shard,
        scatter.snapshot,
        scatter.rank,
        now_ms + scatter.budget_ms,
        scatter.tie_breaker,
        scatter.idempotent,
        scatter.canary,
        scatter.fingerprint,
        scatter.payload,
        scatter.traceparent,
    )


def to_piece(reply: Reply) -> messages.Piece:
    """Build the message that tells a front what became of a job."""
    job = reply.job
    return messages.Piece(
        job.piece,
        job.shard,
        job.snapshot,
        reply.status,
        reply.ran,
        reply.rows,
        reply.queue_ms,
        reply.upstream_ms,
        job.call_count,
        reply.retry_after_ms,
    )
