"""What a caller receives: a typed answer or a typed refusal."""

import enum

import msgspec

from godwitflow.model import ids


class RunStatus(enum.Enum):
    """Whether a request ran on any upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalCode(enum.Enum):
    """Stable reason codes of refusals; see docs/OPERATIONS.md."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PRIORITY = "unknown_priority"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    COVERAGE = "coverage"
    DUPLICATE_KEY = "duplicate_key"
    JOURNAL_UNAVAILABLE = "journal_unavailable"
    JOURNAL_FULL = "journal_full"
    SHED = "shed"
    FAILED = "failed"
    OUTCOME_UNKNOWN = "outcome_unknown"


HTTP_STATUS = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.UNKNOWN_PRIORITY: 400,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.OVERLOADED: 429,
    RefusalCode.DEADLINE: 504,
    RefusalCode.NOT_READY: 503,
    RefusalCode.LEAVING: 503,
    RefusalCode.SUSPECT: 409,
    RefusalCode.COVERAGE: 503,
    RefusalCode.DUPLICATE_KEY: 409,
    RefusalCode.JOURNAL_UNAVAILABLE: 503,
    RefusalCode.JOURNAL_FULL: 429,
    RefusalCode.SHED: 429,
    RefusalCode.FAILED: 503,
    RefusalCode.OUTCOME_UNKNOWN: 504,
}


class Coverage(msgspec.Struct, frozen=True):
    """How many shards of the snapshot an answer covers.

    ``missing`` lists every shard that is not in the answer, so that
    ``answered + len(missing) == total`` always holds.
    """

    answered: int
    total: int
    missing: tuple[ids.ShardId, ...] = ()

    @property
    def share(self) -> float:
        """The share of shards that answered, from 0.0 to 1.0."""
        return self.answered / self.total if self.total else 1.0

    @property
    def complete(self) -> bool:
        """Whether every shard of the snapshot answered."""
        return self.answered == self.total


class Timing(msgspec.Struct, frozen=True):
    """How long each stage of a query took, in milliseconds.

    The queue and upstream times are those of the slowest piece, because
    that piece determines the latency of the answer.
    """

    total_ms: float = 0.0
    claim_ms: float = 0.0
    queue_ms: float = 0.0
    upstream_ms: float = 0.0
    other_ms: float = 0.0


class Answer(msgspec.Struct, frozen=True, tag="answer", tag_field="kind"):
    """Rows of one snapshot and how many of its shards they cover.

    ``rows`` is a JSON array of the rows as the upstreams encoded them.
    ``shard`` is set if the request was sent only to the shard of its key.
    """

    query_id: str
    trace_id: str
    service: ids.ServiceName
    snapshot: ids.SnapshotVersion
    coverage: Coverage
    rows: msgspec.Raw
    timing: Timing
    ran: RunStatus = RunStatus.RAN
    shard: ids.ShardId | None = None


class Refusal(msgspec.Struct, frozen=True, tag="refusal", tag_field="kind"):
    """Why a request has no answer, and whether it ran.

    ``retry_after_ms`` is the time after which a resend may succeed, or
    None if waiting does not help.
    """

    code: RefusalCode
    ran: RunStatus
    message: str
    query_id: str = ""
    trace_id: str = ""
    retry_after_ms: int | None = None

    @property
    def http_status(self) -> int:
        """The HTTP status code of this refusal."""
        return HTTP_STATUS[self.code]


def join_rows(parts: list[bytes]) -> bytes:
    """Concatenate encoded JSON arrays into one encoded JSON array.

    >>> join_rows([b'[1,2]', b'[]', b'[3]'])
    b'[1,2,3]'
    """
    inner = [part.strip()[1:-1].strip() for part in parts]
    return b"[" + b",".join(part for part in inner if part) + b"]"
