"""Jobs, call results and actions of a dispatcher."""

import dataclasses

from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.wire import messages


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One piece of a query at its dispatcher.

    ``front_node`` is the node of the front that sent the piece, and
    ``piece_id`` is unique within that node. ``tie_breaker`` is a hash of
    the query that orders jobs with equal deadlines. ``never_batch`` is set
    after a batch that contained the job has crashed an upstream.
    ``piece_key`` is the correlation id that the upstream echoes.
    """

    front_node: str
    piece_id: ids.PieceId
    query_id: str
    service: ids.ServiceName
    shard: ids.ShardId
    snapshot: ids.SnapshotVersion
    rank: ids.Rank
    deadline_at_ms: float
    tie_breaker: int
    idempotent: bool
    canary: bool
    fingerprint: ids.Fingerprint
    payload: bytes
    traceparent: str = ""
    queued_at_ms: float = 0.0
    started_at_ms: float | None = None
    tried_upstreams: list[ids.UpstreamId] = dataclasses.field(
        default_factory=list
    )
    running_calls: set[int] = dataclasses.field(default_factory=set)
    call_count: int = 0
    running_trials: int = 0
    may_have_run: bool = False
    never_batch: bool = False
    done: bool = False
    queued: bool = False
    piece_key: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.piece_key = f"{self.front_node}/{self.piece_id}"


@dataclasses.dataclass(frozen=True, slots=True)
class ItemOk:
    """The rows of one item and the shard and snapshot they belong to."""

    piece_key: str
    shard: ids.ShardId
    snapshot: ids.SnapshotVersion
    rows: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ItemShed:
    """The upstream shed the item without running it."""

    piece_key: str
    retry_after_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ItemWrongSnapshot:
    """The upstream does not have the snapshot; the item did not run."""

    piece_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ItemCancelled:
    """The upstream dropped the item before it ran."""

    piece_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ItemFailed:
    """The item failed, or its reply was missing; it may have run."""

    piece_key: str


Item = ItemOk | ItemShed | ItemWrongSnapshot | ItemCancelled | ItemFailed


@dataclasses.dataclass(frozen=True, slots=True)
class CallDone:
    """A complete reply arrived; ``draining`` if the upstream is leaving."""

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
    """No reply arrived in time; the call may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallGarbled:
    """The reply was truncated or malformed; the call may have run."""


CallResult = CallDone | CallNotSent | CallCrashed | CallTimedOut | CallGarbled


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Call an upstream with one or more jobs."""

    call: int
    upstream: ids.UpstreamId
    jobs: tuple[Job, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Tell an upstream to cancel a call."""

    call: int
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class AbortCall:
    """Abort a call and close its connection, which does not respond.

    The result of the call must still be reported as ``CallTimedOut``.
    """

    call: int
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Send the result of a job to its front."""

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
    front_node: ids.NodeId,
    scatter: messages.Scatter,
    ref: messages.PieceRef,
) -> Job:
    """Build the job of one piece; its deadline counts from ``now_ms``."""
    return Job(
        front_node,
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
    """Build the message that reports a job's result to its front."""
    job = reply.job
    return messages.Piece(
        job.piece_id,
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
