"""Calls whose connection has probably gone silent."""

import typing

from godwitflow.policy import calls

MIN_MS = 50.0
OVERTAKEN_FACTOR = 3.0
OVERTAKEN_REPLIES = 3
ALONE_FACTOR = 12.0


def overtaken(call: calls.Call) -> bool:
    """Tell whether later calls to the same upstream have answered.

    If so, the connection is at fault and not the upstream.
    """
    return call.replies_since() >= OVERTAKEN_REPLIES


def overdue(
    running: typing.Iterable[calls.Call], late_ms: float, now_ms: float
) -> list[calls.Call]:
    """Return the calls to give up.

    A call is overdue some way past the late quantile ``late_ms`` where it
    was overtaken, and many times past it in any case. A request that may
    run only once is never given up early.
    """
    soon_ms = max(MIN_MS, OVERTAKEN_FACTOR * late_ms)
    alone_ms = max(MIN_MS, ALONE_FACTOR * late_ms)
    found = []
    for call in running:
        elapsed_ms = now_ms - call.started_at_ms
        if call.aborted or elapsed_ms < soon_ms:
            continue
        if elapsed_ms < alone_ms and not overtaken(call):
            continue
        if all(job.idempotent for job in call.jobs):
            found.append(call)
    return found
