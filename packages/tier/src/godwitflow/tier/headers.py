"""The names of the headers that callers, nodes and upstreams exchange.

The platform's adapter provides them. Names to compare with are in lower
case; ``*_out`` names are in the case in which they are sent.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """The name of each header.

    ``request_id`` identifies one attempt of a caller. ``deadline`` is
    how long the sender will wait, in milliseconds. ``signature`` proves
    which upstream responded. ``expect_upstream`` names the upstream that
    a request is for; any other rejects it. ``not_executed`` marks a
    rejection. ``part_signatures`` lists the signatures of the shards in
    a merged response, ``missing_parts`` counts the shards left out.
    ``credentials`` holds a customer's key, and ``customer`` its name in
    requests to upstreams. ``rate_limit`` states how many calls a second
    an upstream takes from all nodes together. ``leaving`` says that an
    upstream shuts down, ``load`` how many calls it runs and queues.
    """

    request_id: bytes
    deadline: bytes
    signature: bytes
    expect_upstream: bytes
    not_executed: bytes
    part_signatures: bytes
    missing_parts: bytes
    rate_limit: bytes
    leaving: bytes
    load: bytes
    credentials: bytes
    customer: bytes
    request_id_out: bytes
    deadline_out: bytes
    expect_upstream_out: bytes
    part_signatures_out: bytes
    missing_parts_out: bytes
    customer_out: bytes
