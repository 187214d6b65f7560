"""Asks a node where a request would go now, and shows the answer."""

import pathlib
import typing
import urllib.parse

import msgspec
import treq

from godwitflow.model import errors
from godwitflow.tier import where

TIMEOUT_S = 3.0
SCHEME = "Token"
COLUMNS = "  {:<12} {:>9} {:>9} {:>9} {:>9}  {}"

_decoder = msgspec.json.Decoder(where.Plan)


def read_key(path: pathlib.Path | None) -> str | None:
    """Read a customer's key from a file; it is never printed."""
    if path is None:
        return None
    try:
        key = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.GodwitflowError(
            f"cannot read the key: {error}"
        ) from error
    if not key or not key.isprintable() or " " in key:
        raise errors.GodwitflowError(f"{path} holds no key")
    return key


async def ask(
    reactor: typing.Any,
    node: str,
    method: str,
    target: str,
    host: str,
    key: str | None,
) -> where.Plan:
    """Ask a node, by the address of its metrics."""
    query = urllib.parse.urlencode(
        {"method": method, "target": target, "host": host}
    )
    headers: dict[bytes | str, bytes | str] = {}
    if key is not None:
        headers["Authorization"] = f"{SCHEME} {key}"
    try:
        response = await treq.get(
            f"http://{node}{where.PATH.decode()}?{query}",
            headers=headers,
            timeout=TIMEOUT_S,
            reactor=reactor,
        )
        body = await treq.content(response)
    except Exception as error:
        reason = type(error).__name__
        raise errors.GodwitflowError(
            f"{node} does not answer: {reason}"
        ) from error
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.GodwitflowError(
            f"{node} answers with something else than a plan"
        ) from error


def lines(plan: where.Plan) -> list[str]:
    """Return a plan as a table for people."""
    if plan.status:
        return [f"{plan.node}: refused, {plan.status}: {plan.reason}"]
    customer = "" if plan.customer is None else f" for {plan.customer}"
    shown = [
        f"{plan.node}: route {plan.route} of version {plan.version}{customer}"
    ]
    if plan.tokens_in_reserve is not None:
        shown.append(f"tokens in reserve: {plan.tokens_in_reserve}")
    for service in plan.services:
        shown.append(
            f"{service.service}: weight {service.weight:g},"
            f" expected work {service.expected_work_ms:g} ms,"
            f" {service.waiting} waiting"
        )
        shown.append(
            COLUMNS.format(
                "upstream", "cost ms", "left ms", "in flight", "heard ms", ""
            )
        )
        shown += [_replica_line(replica) for replica in service.replicas]
    return shown


def _replica_line(replica: where.Replica) -> str:
    heard = replica.last_response_ms
    notes = [
        "preferred" if replica.preferred else "",
        replica.excluded,
        "" if replica.same_domain else "other domain",
    ]
    return COLUMNS.format(
        replica.upstream,
        f"{replica.cost_ms:g}",
        f"{replica.work_left_ms:g}",
        replica.in_flight,
        "-" if heard is None else f"{heard:g}",
        ", ".join(note for note in notes if note),
    ).rstrip()
