"""The settings of a node, independent of the platform's file format."""

import dataclasses

from godwitflow.http1 import caller_capacity
from godwitflow.http1 import receive_memory
from godwitflow.model import ids
from godwitflow.policy import quotas
from godwitflow.policy import retry_budget


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that apply to every node.

    Times are in milliseconds. ``stop_grace_ms`` is the longest time
    from a stop request to the end of the process, ``max_address_age_ms``
    the longest time for which callers may use an address response, and
    ``retry`` the limits on repeated calls. ``drain_ms`` is for how long an
    upstream that leaves still takes calls, and ``quota`` by how much
    customers' quotas may be exceeded.
    """

    stop_grace_ms: float
    max_address_age_ms: float
    retry: retry_budget.RetryLimits
    drain_ms: float = 3_000.0
    quota: quotas.QuotaBounds = quotas.QuotaBounds()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """A node's identity and addresses, and the address of the store.

    Addresses are ``IP:PORT``. ``inner`` is for traffic between nodes;
    ``seeds`` are the inner addresses of a few members and may be stale.
    ``first_start`` is set only when the whole system starts for the
    first time. ``cores`` is the VM's CPU capacity, in standard cores,
    and ``capacity`` what callers may take of its memory and descriptors.
    ``response_bytes`` is what upstreams' incomplete responses may take.
    ``evacuations`` says that the operator may evacuate failure domains.
    """

    node: ids.NodeId
    failure_domain: ids.FailureDomain
    caller_address: str
    ready_address: str
    directory_address: str
    metrics_address: str
    inner: str
    seeds: tuple[str, ...]
    store_address: str
    first_start: bool
    bounds: Bounds
    cores: float = 1.0
    evacuations: bool = False
    capacity: caller_capacity.CapacityLimits = caller_capacity.CapacityLimits()
    response_bytes: int = receive_memory.LIMIT_BYTES
