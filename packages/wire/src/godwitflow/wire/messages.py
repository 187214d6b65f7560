"""The typed messages between godwitflow's processes.

Each message is a MessagePack array that starts with its tag. A field may
only ever be appended, with a default: a reader of an older version
ignores what it does not know, so two versions work side by side.
"""

import enum
import typing

import msgspec

from godwitflow.model import answers
from godwitflow.model import ids


class PieceStatus(enum.IntEnum):
    """What became of one piece."""

    OK = 0
    SHED = 1
    EXPIRED = 2
    WRONG_SNAPSHOT = 3
    SUSPECT = 4
    FAILED = 5
    UNAVAILABLE = 6


class PieceRef(msgspec.Struct, frozen=True, array_like=True):
    """A piece by its front's id, its shard and the shard's replica set."""

    piece_id: ids.PieceId
    shard: ids.ShardId
    replica_set: ids.ReplicaSetId


class Scatter(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A front asks a dispatcher to run pieces of one query.

    ``budget_ms`` is the time left until the query's deadline, because
    clocks of two VMs differ. ``order`` breaks ties between deadlines the
    same way at every dispatcher.
    """

    query_id: str
    service: ids.ServiceName
    snapshot: ids.SnapshotVersion
    rank: ids.Rank
    tie_breaker: int
    budget_ms: float
    idempotent: bool
    canary: bool
    fingerprint: ids.Fingerprint
    payload: bytes
    pieces: tuple[PieceRef, ...]
    traceparent: str = ""


class Piece(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A dispatcher's reply for one piece.

    ``rows`` is a JSON array as the upstream sent it. ``calls`` counts
    the upstream calls that the piece took.
    """

    piece_id: ids.PieceId
    shard: ids.ShardId
    snapshot: ids.SnapshotVersion
    status: PieceStatus
    ran: answers.RunStatus
    rows: bytes = b""
    queue_ms: float = 0.0
    upstream_ms: float = 0.0
    calls: int = 0
    retry_after_ms: float = 0.0


class CancelPieces(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A front no longer wants these pieces."""

    piece_ids: tuple[ids.PieceId, ...]


class SetLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one replica set as its dispatcher sees it.

    ``wait_ms`` holds, for each rank, how long new work would queue;
    ``turn_ms`` how much each piece ahead of it adds to that; and
    ``canaries`` counts queries of which so far only one piece is here,
    while the rest is not in any queue yet.
    """

    service: ids.ServiceName
    replica_set: ids.ReplicaSetId
    wait_ms: tuple[float, ...]
    wait_per_piece_ms: tuple[float, ...]
    canaries: tuple[int, ...]
    busy_share: float


class Loads(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A dispatcher tells a front the load of sets it asked for."""

    sets: tuple[SetLoad, ...]


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A front asks the owner of a journal partition to claim a key."""

    claim_id: int
    partition: int
    key: str
    claimer: str
    budget_ms: float


class ClaimVerdict(enum.IntEnum):
    """What the journal says to a claim."""

    CLAIMED = 0
    UNKNOWN_BEFORE = 1
    RAN_BEFORE = 2
    UNAVAILABLE = 3
    FULL = 4


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The answer to a claim; ``note`` repeats a recorded outcome."""

    claim_id: int
    verdict: ClaimVerdict
    note: str = ""


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A front reports what became of a claimed request."""

    partition: int
    key: str
    claimer: str
    ran: answers.RunStatus
    note: str = ""


class MemberState(enum.IntEnum):
    """A member as its peers see it, in the order of precedence."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one node says of a member; the higher incarnation wins.

    ``joined`` says that the member has a configuration and indexes, so
    that it may be named to callers. ``load`` is the share of its
    ``cores`` that it uses; no cores means that they are not known.
    """

    node: ids.NodeId
    failure_domain: ids.FailureDomain
    inner_address: str
    caller_address: str
    operator_address: str
    incarnation: int
    state: MemberState
    joined: bool = False
    load: float = 0.0
    cores: float = 0.0


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """An object's name and version, to find out who is behind."""

    name: str
    version: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A heartbeat that wants an acknowledgement, with news attached."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[Digest, ...] = ()


class ProbeAck(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The acknowledgement of a probe, with news attached."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[Digest, ...] = ()


class ProbeVia(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks a peer to probe a member that did not acknowledge."""

    sequence: int
    target: ids.NodeId


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks a peer for objects that it holds in newer versions."""

    names: tuple[str, ...]


class Push(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """An object of the store, passed on between peers."""

    name: str
    version: int
    value: bytes


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A request fingerprint and the upstreams it has crashed."""

    fingerprint: ids.Fingerprint
    crashes: int
    age_ms: float


class Suspicions(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Suspect requests, spread between nodes."""

    entries: tuple[Suspicion, ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A check of a link on which work is outstanding."""

    sequence: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The reply to a ping."""

    sequence: int


class MembersPull(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """A new member asks for the whole member table."""


class MembersPush(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The member table, or a part of it."""

    updates: tuple[MemberUpdate, ...]


class KindRevision(msgspec.Struct, frozen=True, array_like=True):
    """How far a node's copy of a kind of the store's objects goes.

    ``sound`` says that the node follows the store itself, or hears from
    one that does; ``age_ms`` is how long ago the store was reached.
    """

    kind: str
    revision: int
    fresh: bool
    age_ms: float = 0.0


class Revisions(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """A node tells its peers how far its copies go."""

    kinds: tuple[KindRevision, ...]


class ObjectChange(msgspec.Struct, frozen=True, array_like=True):
    """One change of an object; ``spec`` is None where it was unreadable."""

    name: str
    revision: int
    removed: bool
    spec: dict[str, typing.Any] | None


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """What a peer lacks of a kind; the reply to a fetch over TCP.

    Where ``whole`` is set, ``changes`` holds every object that exists.
    """

    kind: str
    after: int
    revision: int
    full: bool
    changes: tuple[ObjectChange, ...]


class UpstreamReport(msgspec.Struct, frozen=True, array_like=True):
    """What a node saw of one upstream in a round of a few calls."""

    upstream: ids.UpstreamId
    replies: int
    latency_ratio: float
    failures: int


class UpstreamReports(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A node tells a few peers what it saw itself of upstreams."""

    reports: tuple[UpstreamReport, ...]


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
)
