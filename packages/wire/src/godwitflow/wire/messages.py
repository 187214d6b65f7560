"""The typed messages between godwitflow's nodes.

The front is the node that received a caller's query; a dispatcher is the
node that sends the pieces for a replica set to its upstreams.

Each message is a MessagePack array that starts with its tag. Fields may
only be appended, with a default: a reader of an older version ignores
fields it does not know, so nodes of two versions can run side by side.

A message with a number outside its range, which no node sends, is rejected
when it is decoded.
"""

import enum
import typing

import msgspec

from godwitflow.model import answers
from godwitflow.model import ids

Milliseconds = typing.Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
Rate = typing.Annotated[float, msgspec.Meta(gt=0.0, le=1e12)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class PieceStatus(enum.IntEnum):
    """The result of one piece.

    ``SUSPECT`` refuses a request that is known to crash upstreams.
    """

    OK = 0
    SHED = 1
    EXPIRED = 2
    WRONG_SNAPSHOT = 3
    SUSPECT = 4
    FAILED = 5
    UNAVAILABLE = 6


class PieceRef(msgspec.Struct, frozen=True, array_like=True):
    """A piece by the id its front gave it, its shard and replica set."""

    piece_id: ids.PieceId
    shard: ids.ShardId
    replica_set: ids.ReplicaSetId


class Scatter(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A front asks a dispatcher to run pieces of one query.

    ``budget_ms`` is the time left until the query's deadline; it is sent
    in place of the deadline because the clocks of two VMs differ.
    ``tie_breaker`` orders equal deadlines the same way at every
    dispatcher.
    """

    query_id: str
    service: ids.ServiceName
    snapshot: ids.SnapshotVersion
    rank: ids.Rank
    tie_breaker: int
    budget_ms: Milliseconds
    idempotent: bool
    canary: bool
    fingerprint: ids.Fingerprint
    payload: bytes
    pieces: tuple[PieceRef, ...]
    traceparent: str = ""


class Piece(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A dispatcher's reply for one piece.

    ``rows`` is the JSON array as received from the upstream. ``calls``
    is the number of upstream calls made for the piece.
    """

    piece_id: ids.PieceId
    shard: ids.ShardId
    snapshot: ids.SnapshotVersion
    status: PieceStatus
    ran: answers.RunStatus
    rows: bytes = b""
    queue_ms: Milliseconds = 0.0
    upstream_ms: Milliseconds = 0.0
    calls: int = 0
    retry_after_ms: Milliseconds = 0.0


class CancelPieces(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A front cancels pieces whose results it no longer needs."""

    piece_ids: tuple[ids.PieceId, ...]


class SetLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one replica set, as reported by its dispatcher.

    The tuples hold one value for each rank. ``wait_ms`` is how long a
    new piece would queue, ``wait_per_piece_ms`` how much each piece
    ahead of it adds to that, and ``canaries`` the number of queries that
    have sent only one piece so far, their other pieces being in no queue
    yet. ``busy_share`` is a moving average of the share of slots in use.
    """

    service: ids.ServiceName
    replica_set: ids.ReplicaSetId
    wait_ms: tuple[Milliseconds, ...]
    wait_per_piece_ms: tuple[Milliseconds, ...]
    canaries: tuple[int, ...]
    busy_share: Amount


class Loads(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A dispatcher reports the load of replica sets a front asked for."""

    sets: tuple[SetLoad, ...]


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A front asks the owner of a journal partition to claim a key."""

    claim_id: int
    partition: int
    key: str
    claimer: str
    budget_ms: Milliseconds


class ClaimVerdict(enum.IntEnum):
    """The journal's decision on a claim."""

    CLAIMED = 0
    UNKNOWN_BEFORE = 1
    RAN_BEFORE = 2
    UNAVAILABLE = 3
    FULL = 4


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The reply to a claim; ``note`` is that of a recorded outcome."""

    claim_id: int
    verdict: ClaimVerdict
    note: str = ""


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A front reports the outcome of a claimed request."""

    partition: int
    key: str
    claimer: str
    ran: answers.RunStatus
    note: str = ""


class MemberState(enum.IntEnum):
    """The state of a member as its peers see it, in precedence order."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A node's report on a member; the higher incarnation wins.

    ``joined`` is set once the member has a configuration and indexes, so
    that its address may be given to callers. ``load`` is the share of
    its ``cores`` that it uses; 0 cores means that the number is unknown.
    """

    node: ids.NodeId
    failure_domain: ids.FailureDomain
    inner_address: str
    caller_address: str
    operator_address: str
    incarnation: Count
    state: MemberState
    joined: bool = False
    load: Amount = 0.0
    cores: Amount = 0.0


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """An object's name and version, for finding outdated copies."""

    name: str
    version: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A heartbeat to be acknowledged, with piggybacked updates."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[Digest, ...] = ()


class ProbeAck(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The acknowledgement of a probe, with piggybacked updates."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[Digest, ...] = ()


class ProbeVia(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks a peer to probe a member that did not acknowledge a probe."""

    sequence: int
    target: ids.NodeId


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks a peer for objects of which it holds newer versions."""

    names: tuple[str, ...]


class Push(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """An object of the store, forwarded between peers."""

    name: str
    version: int
    value: bytes


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A request fingerprint and its number of upstream crashes.

    Without ``runs`` it reports one more run of the request, else all runs
    that the sender knows of; the last one was ``age_ms`` ago.
    """

    fingerprint: ids.Fingerprint
    crashes: Count
    age_ms: Milliseconds
    runs: Count = 0


class Suspicions(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Requests suspected of crashing upstreams, shared between nodes."""

    entries: tuple[Suspicion, ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Checks that a peer responds while replies from it are pending."""

    sequence: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The reply to a ping."""

    sequence: int


class MembersPull(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Requests the member table, unless its digest equals ``digest``.

    A new member, which has no table to compare, sends 0.
    """

    digest: int = 0


class MembersPush(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The member table, or a part of it."""

    updates: tuple[MemberUpdate, ...]


class KindRevision(msgspec.Struct, frozen=True, array_like=True):
    """The revision of a node's copy of one kind of stored objects.

    ``fresh`` is set if the node watches the store itself or receives the
    announcements of one that does; ``age_ms`` is how long ago the store was
    reached. ``era`` is that of the revision.
    """

    kind: str
    revision: Revision
    fresh: bool
    age_ms: Milliseconds = 0.0
    era: Count = 0


class Revisions(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """A node announces the revisions of its copies to its peers."""

    kinds: tuple[KindRevision, ...]


class ObjectChange(msgspec.Struct, frozen=True, array_like=True):
    """A change of an object; ``spec`` is None if it was unreadable."""

    name: str
    revision: Revision
    removed: bool
    spec: dict[str, typing.Any] | None


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """The changes of a kind that a peer lacks, sent over TCP on request.

    If ``full`` is set, ``changes`` holds every object that exists. All
    revisions are of the same ``era``.
    """

    kind: str
    after: Revision
    revision: Revision
    full: bool
    changes: tuple[ObjectChange, ...]
    era: Count = 0


class UpstreamReport(msgspec.Struct, frozen=True, array_like=True):
    """A node's observations of one upstream over a few calls.

    ``replies`` and ``failures`` count calls. ``latency_ratio`` is the mean
    of the replies' latencies, each relative to the median of its route.
    """

    upstream: ids.UpstreamId
    replies: Count
    latency_ratio: Amount
    failures: Count


class UpstreamReports(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A node's own observations of upstreams, sent to a few peers."""

    reports: tuple[UpstreamReport, ...]


class PermitWant(msgspec.Struct, frozen=True, array_like=True):
    """A call to a limited upstream for which a node asks a permit.

    ``ticket`` identifies it in the answer. ``started_at_ms`` is the Unix
    time of the upstream's start. The sender heard ``age_ms`` ago that the
    upstream takes ``calls_per_s`` from all nodes together. If it takes so
    few because it is ``cold``, that is no news of a limit it stated.
    """

    ticket: int
    upstream: ids.UpstreamId
    started_at_ms: int
    urgent: bool
    calls_per_s: Rate
    age_ms: Milliseconds
    cold: bool = False


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """A node asks the issuer, or the one standing in for it, for permits."""

    standby: bool
    wants: tuple[PermitWant, ...]


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer for one ticket.

    After a denial, the next permit may be had in ``wait_ms``. The issuer
    heard ``age_ms`` ago that the limit is ``calls_per_s``, or that there is
    none any more if that is None. If ``age_ms`` is None it heard nothing.
    """

    ticket: int
    issued: bool
    wait_ms: Milliseconds
    calls_per_s: Rate | None = None
    age_ms: Milliseconds | None = None


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The answers to a request for permits."""

    answers: tuple[PermitAnswer, ...]


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a response of an upstream said of its limit, ``age_ms`` ago.

    ``calls_per_s`` is None if the upstream no longer states a limit.
    """

    upstream: ids.UpstreamId
    started_at_ms: int
    calls_per_s: Rate | None
    age_ms: Milliseconds


class LimitReports(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """What a node itself heard of limits, sent to a few peers."""

    reports: tuple[LimitReport, ...]


class QuotaWant(msgspec.Struct, frozen=True, array_like=True):
    """A request of a customer for which a node asks the issuer.

    ``ticket`` identifies it in the answer. The sender holds ``held`` tokens
    in reserve; unless a token is ``needed`` it only wants another one.
    """

    ticket: int
    customer: ids.CustomerName
    held: Count
    needed: bool


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """A node asks the issuer, or the one standing in for it, for tokens."""

    standby: bool
    wants: tuple[QuotaWant, ...]


class QuotaAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer for one ticket.

    ``reserve`` tokens may be spent later. After a denial, the next token
    may be had in ``wait_ms``; 0 if the node does not issue this quota.
    """

    ticket: int
    granted: bool
    reserve: Count
    wait_ms: Milliseconds


class QuotaReply(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """The answers to a request for tokens."""

    answers: tuple[QuotaAnswer, ...]


Message = (
    Scatter
    | Piece
    | CancelPieces
    | Loads
    | Claim
    | ClaimReply
    | Outcome
    | Probe
    | ProbeAck
    | ProbeVia
    | Pull
    | Push
    | Suspicions
    | Ping
    | Pong
    | MembersPull
    | MembersPush
    | Revisions
    | Delta
    | UpstreamReports
    | PermitRequest
    | PermitReply
    | LimitReports
    | QuotaRequest
    | QuotaReply
)
