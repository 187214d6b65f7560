"""The headers that callers, nodes and upstreams exchange.

The adapter names them; all are in lower case except in ``*_out``, the
spelling that is sent.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """What each header holds.

    ``request_id`` names one attempt of a caller. ``deadline`` is how
    many milliseconds the sender will wait. ``signature`` proves which
    upstream answered. ``expect_upstream`` makes any other upstream
    reject the request. ``not_run`` marks a rejection. ``parts`` lists
    the signatures of the shards in an answer, ``missing`` counts those
    left out.
    """

    request_id: bytes
    deadline: bytes
    signature: bytes
    expect_upstream: bytes
    not_executed: bytes
    part_signatures: bytes
    missing_parts: bytes
    request_id_out: bytes
    deadline_out: bytes
    expect_upstream_out: bytes
    part_signatures_out: bytes
    missing_parts_out: bytes
