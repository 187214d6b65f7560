"""Resolves a request against what is in force, or refuses it.

Nothing has run when a request is refused here.
"""

import dataclasses

from godwitflow.daemon import tracing
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.model import queries
from godwitflow.policy import catalog
from godwitflow.settings import config
from godwitflow.wire import messages

NOT_READY_RETRY_MS = 500.0
JOURNAL_RETRY_MS = 1_000.0

_CODES = answers.RefusalCode


@dataclasses.dataclass(frozen=True)
class Arrived:
    """A request as it came, with the id and the span it was given."""

    query: queries.Query
    query_id: str
    at_ms: float
    span: tracing.Span | None

    @property
    def trace_id(self) -> str:
        """The trace that the request belongs to, or an empty string."""
        return tracing.trace_id_of(self.span.traceparent) if self.span else ""


@dataclasses.dataclass(frozen=True)
class Pinned:
    """What a request was resolved to: its priority and one snapshot."""

    arrived: Arrived
    priority: str
    rank: ids.Rank
    deadline_ms: float
    service: config.Service
    index: index_model.Index


def pin(held: catalog.Catalog, arrived: Arrived) -> Pinned | answers.Refusal:
    """Resolve service, priority, deadline and snapshot."""
    query = arrived.query
    if held.config is None:
        return not_ready(arrived, "no configuration is known yet")
    service = held.config.services.get(query.service)
    if service is None:
        text = f"unknown service {query.service!r}"
        return refuse(arrived, _CODES.UNKNOWN_SERVICE, text)
    index = held.index_of(service)
    if index is None:
        return not_ready(arrived, "the service's index is not known yet")
    found = service.priority(query.priority)
    if found is None:
        allowed = ", ".join(service.priority_names)
        text = f"unknown priority {query.priority!r}, allowed: {allowed}"
        return refuse(arrived, _CODES.UNKNOWN_PRIORITY, text)
    if len(query.payload) > service.max_body_bytes:
        text = f"payload over {service.max_body_bytes} bytes"
        return refuse(arrived, _CODES.TOO_LARGE, text)
    rank, priority = found
    asked_ms = query.deadline_ms or priority.deadline_ms
    deadline_ms = min(asked_ms, priority.deadline_ms)
    name = service.priority_names[rank]
    return Pinned(arrived, name, rank, deadline_ms, service, index)


def refuse(
    arrived: Arrived,
    code: answers.RefusalCode,
    message: str,
    retry_after_ms: float | None = None,
) -> answers.Refusal:
    """Build a refusal of a request that did not run."""
    retry_ms = None if retry_after_ms is None else int(retry_after_ms)
    return answers.Refusal(
        code,
        answers.RunStatus.NOT_RUN,
        message,
        arrived.query_id,
        arrived.trace_id,
        retry_ms,
    )


def not_ready(arrived: Arrived, message: str) -> answers.Refusal:
    """Build the refusal of a node that cannot answer yet."""
    return refuse(arrived, _CODES.NOT_READY, message, NOT_READY_RETRY_MS)


def claim_refusal(
    reply: messages.ClaimReply, arrived: Arrived
) -> answers.Refusal | None:
    """Return what a caller is told of a claim; None where it holds."""
    verdicts = messages.ClaimVerdict
    match reply.verdict:
        case verdicts.CLAIMED:
            return None
        case verdicts.RAN_BEFORE:
            text = f"this request key ran before: {reply.note}"
            return _duplicate(arrived, answers.RunStatus.RAN, text)
        case verdicts.UNKNOWN_BEFORE:
            text = "this request key was claimed before; it may have run"
            return _duplicate(arrived, answers.RunStatus.UNKNOWN, text)
        case verdicts.FULL:
            code = _CODES.JOURNAL_FULL
            text = "the journal is full"
        case _:
            code = _CODES.JOURNAL_UNAVAILABLE
            text = "the claim could not be committed"
    return refuse(arrived, code, text, JOURNAL_RETRY_MS)


def _duplicate(
    arrived: Arrived, ran: answers.RunStatus, text: str
) -> answers.Refusal:
    code = _CODES.DUPLICATE_KEY
    return answers.Refusal(code, ran, text, arrived.query_id, arrived.trace_id)
