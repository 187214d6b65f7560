"""Resolves requests against the current configuration and index.

No piece of a request has been sent when it is refused here.
"""

import dataclasses

from godwitflow.daemon import tracing
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.model import queries
from godwitflow.policy import catalog as catalog_module
from godwitflow.settings import config
from godwitflow.wire import messages

NOT_READY_RETRY_MS = 500.0
JOURNAL_RETRY_MS = 1_000.0

_CODES = answers.RefusalCode


@dataclasses.dataclass(frozen=True)
class ReceivedQuery:
    """A request as received, with its assigned id, arrival time and span."""

    query: queries.Query
    query_id: str
    received_at_ms: float
    span: tracing.Span | None

    @property
    def trace_id(self) -> str:
        """The id of the request's trace; empty if it is not traced."""
        return tracing.trace_id_of(self.span.traceparent) if self.span else ""


@dataclasses.dataclass(frozen=True)
class ResolvedQuery:
    """A request with its priority, deadline, service and snapshot."""

    received: ReceivedQuery
    priority: str
    rank: ids.Rank
    deadline_ms: float
    service: config.Service
    index: index_model.Index


def resolve_query(
    catalog: catalog_module.Catalog, received: ReceivedQuery
) -> ResolvedQuery | answers.Refusal:
    """Resolve service, priority, deadline and snapshot of a request.

    Returns a refusal if one of them is unknown or the payload is too
    large. The deadline is at most that of the priority.
    """
    query = received.query
    if catalog.config is None:
        return not_ready(received, "no configuration is known yet")
    service = catalog.config.services.get(query.service)
    if service is None:
        text = f"unknown service {query.service!r}"
        return refuse(received, _CODES.UNKNOWN_SERVICE, text)
    index = catalog.index_of(service)
    if index is None:
        return not_ready(received, "the service's index is not known yet")
    ranked_priority = service.priority(query.priority)
    if ranked_priority is None:
        allowed = ", ".join(service.priority_names)
        text = f"unknown priority {query.priority!r}, allowed: {allowed}"
        return refuse(received, _CODES.UNKNOWN_PRIORITY, text)
    if len(query.payload) > service.max_body_bytes:
        text = f"payload over {service.max_body_bytes} bytes"
        return refuse(received, _CODES.TOO_LARGE, text)
    rank, priority = ranked_priority
    requested_ms = query.deadline_ms or priority.deadline_ms
    deadline_ms = min(requested_ms, priority.deadline_ms)
    name = service.priority_names[rank]
    return ResolvedQuery(received, name, rank, deadline_ms, service, index)


def refuse(
    received: ReceivedQuery,
    code: answers.RefusalCode,
    message: str,
    retry_after_ms: float | None = None,
) -> answers.Refusal:
    """Build the refusal of a request that has not run."""
    retry_ms = None if retry_after_ms is None else int(retry_after_ms)
    return answers.Refusal(
        code,
        answers.RunStatus.NOT_RUN,
        message,
        received.query_id,
        received.trace_id,
        retry_ms,
    )


def not_ready(received: ReceivedQuery, message: str) -> answers.Refusal:
    """Build the refusal of a node that cannot serve requests yet."""
    return refuse(received, _CODES.NOT_READY, message, NOT_READY_RETRY_MS)


def claim_refusal(
    reply: messages.ClaimReply, received: ReceivedQuery
) -> answers.Refusal | None:
    """Return the refusal for a claim's verdict; None if claimed."""
    verdicts = messages.ClaimVerdict
    match reply.verdict:
        case verdicts.CLAIMED:
            return None
        case verdicts.RAN_BEFORE:
            text = f"this request key ran before: {reply.note}"
            return _duplicate(received, answers.RunStatus.RAN, text)
        case verdicts.UNKNOWN_BEFORE:
            text = "this request key was claimed before; it may have run"
            return _duplicate(received, answers.RunStatus.UNKNOWN, text)
        case verdicts.FULL:
            code = _CODES.JOURNAL_FULL
            text = "the journal is full"
        case _:
            code = _CODES.JOURNAL_UNAVAILABLE
            text = "the claim could not be committed"
    return refuse(received, code, text, JOURNAL_RETRY_MS)


def _duplicate(
    received: ReceivedQuery, ran: answers.RunStatus, text: str
) -> answers.Refusal:
    code = _CODES.DUPLICATE_KEY
    return answers.Refusal(
        code, ran, text, received.query_id, received.trace_id
    )
