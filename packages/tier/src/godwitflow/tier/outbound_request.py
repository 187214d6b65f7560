"""A caller's request as it is sent to upstreams."""

import dataclasses

from godwitflow.model import ids
from godwitflow.policy import customers
from godwitflow.policy import routing
from godwitflow.policy import work_estimates


@dataclasses.dataclass(slots=True)
class OutboundRequest:
    """A caller's request, serialized for sending to upstreams.

    ``head`` and ``tail`` are the bytes of the head before and after the
    headers that differ from call to call. ``configuration_version`` is the
    version of the configuration that ``route`` belongs to. ``work_ratio`` is
    the expected work of a call, relative to the median of the route's, and
    ``features`` are what it was predicted from. ``customer`` is who asks, if
    the configuration names customers.
    """

    request_id: bytes | None
    method: bytes
    head: bytes
    tail: bytes
    body: bytes
    route: routing.Route
    received_at_ms: float
    deadline_at_ms: float
    configuration_version: int
    features: work_estimates.Features
    work_ratio: float
    customer: customers.Customer | None = None

    @property
    def priority(self) -> ids.Rank:
        """The customer's priority, or else that of the route."""
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority

    @property
    def customer_name(self) -> ids.CustomerName | None:
        """The name of the customer, if there is one."""
        return None if self.customer is None else self.customer.name

    @property
    def request_id_text(self) -> str:
        """The request id for logs; empty if there is none."""
        if self.request_id is None:
            return ""
        return self.request_id.decode("latin-1")

    @property
    def urgent(self) -> bool:
        """Whether the request has the most urgent priority."""
        return self.priority == routing.URGENT_RANK

    @property
    def idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.route.retry_policy is routing.RetryPolicy.IDEMPOTENT
