"""Detects calls whose connection has probably stopped responding."""

import typing

from godwitflow.policy import calls

MIN_STALL_MS = 50.0
OVERTAKEN_FACTOR = 3.0
OVERTAKEN_REPLIES = 3
NOT_OVERTAKEN_FACTOR = 12.0


def is_overtaken(call: calls.Call) -> bool:
    """Return whether the upstream has answered other calls since.

    ``OVERTAKEN_REPLIES`` successful replies are enough. The fault is then
    in the call's connection and not in the upstream.
    """
    return call.later_replies() >= OVERTAKEN_REPLIES


def find_stalled(
    running: typing.Iterable[calls.Call], late_ms: float, now_ms: float
) -> list[calls.Call]:
    """Return the running calls to abort.

    ``late_ms`` is the delay after which a call is late. An overtaken call
    is stalled after ``OVERTAKEN_FACTOR`` times that delay, any other call
    after ``NOT_OVERTAKEN_FACTOR`` times, and none before ``MIN_STALL_MS``.
    A call with a request that is not idempotent is never aborted early.
    """
    overtaken_ms = max(MIN_STALL_MS, OVERTAKEN_FACTOR * late_ms)
    not_overtaken_ms = max(MIN_STALL_MS, NOT_OVERTAKEN_FACTOR * late_ms)
    stalled = []
    for call in running:
        elapsed_ms = now_ms - call.started_at_ms
        if call.aborted or elapsed_ms < overtaken_ms:
            continue
        if elapsed_ms < not_overtaken_ms and not is_overtaken(call):
            continue
        if all(job.idempotent for job in call.jobs):
            stalled.append(call)
    return stalled
