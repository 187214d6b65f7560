"""A caller's request, decoded and validated."""

import hashlib
import math
import typing

import msgspec

from godwitflow.model import errors
from godwitflow.model import ids

MAX_DEADLINE_MS = 600_000
MAX_KEY_CHARS = 200


class Query(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One query or one non-idempotent request, as a caller sends it.

    ``payload`` is any JSON value, passed to the upstreams unchanged.
    ``least_coverage`` is the share of shards below which the caller
    wants a refusal instead of a partial answer. A request that is not
    idempotent needs ``request_key``, which identifies it and its resends,
    and ``shard_key``, which selects its shard.
    """

    service: ids.ServiceName
    payload: msgspec.Raw
    priority: str = ""
    deadline_ms: float = 0.0
    least_coverage: float = 0.0
    idempotent: bool = True
    request_key: ids.RequestKey | None = None
    shard_key: str | None = None


_decoder = msgspec.json.Decoder(Query)


def decode(body: bytes) -> Query:
    """Decode and validate a request body.

    Raises :class:`errors.RequestInvalidError`, whose message names the
    invalid field and the allowed values.
    """
    try:
        query = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.RequestInvalidError(
            "bad_request", f"the body is not a query: {error}"
        ) from error
    _check_numbers(query)
    _check_keys(query)
    return query


def _raise_invalid(field: str, found: object, allowed: str) -> typing.NoReturn:
    raise errors.RequestInvalidError(
        "bad_request", f"{field}: found {found!r}, allowed: {allowed}"
    )


def _check_numbers(query: Query) -> None:
    deadline = query.deadline_ms
    if not math.isfinite(deadline) or not 0 <= deadline <= MAX_DEADLINE_MS:
        _raise_invalid("deadline_ms", deadline, f"0 to {MAX_DEADLINE_MS}")
    coverage = query.least_coverage
    if not math.isfinite(coverage) or not 0 <= coverage <= 1:
        _raise_invalid("least_coverage", coverage, "0 to 1")


def _check_keys(query: Query) -> None:
    for field in ("request_key", "shard_key"):
        value = getattr(query, field)
        if value is not None and not 1 <= len(value) <= MAX_KEY_CHARS:
            _raise_invalid(
                field, value[:40], f"1 to {MAX_KEY_CHARS} characters"
            )
    if query.idempotent:
        return
    if query.request_key is None:
        _raise_invalid("request_key", None, "a key, as idempotent is false")
    if query.shard_key is None:
        _raise_invalid("shard_key", None, "a key, as idempotent is false")


def fingerprint(query: Query) -> ids.Fingerprint:
    """Return a 64-bit hash of the service, the shard key and the payload.

    Equal requests of different callers have the same fingerprint, so that
    a resend of a request that crashes upstreams is recognised.
    """
    digest = hashlib.blake2b(digest_size=8)
    digest.update(query.service.encode() + b"\0")
    digest.update((query.shard_key or "").encode() + b"\0")
    digest.update(bytes(query.payload))
    return ids.Fingerprint(int.from_bytes(digest.digest()))
