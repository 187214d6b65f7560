"""What a node is told at its start, in this project's own terms."""

import dataclasses

from godwitflow.model import ids
from godwitflow.policy import retry_budget


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of time and load that every node keeps."""

    stop_grace_ms: float
    max_address_age_ms: float
    retry: retry_budget.RetryLimits


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """A node's identity, its addresses, and the store's.

    Addresses are ``IP:PORT``. ``inner`` is for datagrams between nodes;
    ``seeds`` holds inner addresses of a few members, which may be stale.
    ``first_start`` is set only when the whole system starts for the
    first time. ``cores`` is the VM's processor, in usual cores.
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
