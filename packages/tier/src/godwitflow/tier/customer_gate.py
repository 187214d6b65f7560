"""Identifies customers and admits their requests within their quotas."""

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import customers as policy
from godwitflow.policy import routing
from godwitflow.tier import headers
from godwitflow.tier import log as logs
from godwitflow.tier import metrics as metrics_module
from godwitflow.tier import quotas as quotas_module

MAX_CUSTOMER_LABELS = 100
OTHER_CUSTOMERS = "other"


class CustomerGate:
    """Identifies customers, and admits or rejects their requests.

    Without ``quotas``, no request is limited. ``replaced_headers`` are the
    headers that callers must not set, and keys that upstreams must not see.
    """

    def __init__(
        self,
        header_names: headers.HeaderNames,
        log: logs.Log,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.quotas: quotas_module.Quotas | None = None
        self.replaced_headers: frozenset[bytes] = frozenset()
        self._names = header_names
        self._log = log
        self._metrics = metrics
        self._table: policy.CustomerTable | None = None
        self._labels: set[ids.CustomerName] = set()

    def apply_customers(
        self, configured: tuple[policy.Customer, ...] | None
    ) -> None:
        """Apply the customers of a configuration; None if it names none."""
        self._table = None
        self.replaced_headers = frozenset()
        if self.quotas is not None:
            self.quotas.apply_customers(configured or ())
        if configured is None:
            return
        self._table = policy.CustomerTable(configured)
        self.replaced_headers = frozenset(
            (self._names.credentials, self._names.customer)
        )
        if self._table.shared_names:
            self._log.event("shared_keys", customers=self._table.shared_names)

    def identify(
        self, request: messages.Request
    ) -> policy.Customer | policy.KeyDefect | None:
        """Return who asks; None if the configuration names no customers."""
        if self._table is None:
            return None
        return self._table.identify(
            [
                value
                for name, value in request.headers
                if name.lower() == self._names.credentials
            ]
        )

    def reject(
        self,
        exchange: callers.Exchange,
        route: routing.Route,
        defect: policy.KeyDefect,
    ) -> None:
        """Answer a request whose key names no customer."""
        self._metrics.count("unauthorized", reason=defect.value)
        self._log.limited_event(
            "unauthorized",
            request=request_id_text(exchange.request, self._names.request_id),
            route=route.name,
            status=401,
            reason=defect.value,
        )
        response = messages.text_response(401, "a known key is needed")
        response.headers.append((b"WWW-Authenticate", b"Token"))
        exchange.respond(response)

    def admit(
        self,
        customer: policy.Customer,
        on_admission: quotas_module.OnAdmission,
    ) -> None:
        """Call ``on_admission`` once, now or later, with the decision."""

        def count(admission: quotas_module.Admission) -> None:
            self._metrics.count(
                "customer_requests",
                customer=self._label(customer.name),
                admission=type(admission).__name__,
            )
            on_admission(admission)

        if self.quotas is None:
            count(quotas_module.Admitted())
        else:
            self.quotas.admit(customer, count)

    def _label(self, name: ids.CustomerName) -> str:
        """Return the customer as a label, of which there are not too many."""
        if name in self._labels or len(self._labels) < MAX_CUSTOMER_LABELS:
            self._labels.add(name)
            return name
        return OTHER_CUSTOMERS


def request_id_text(request: messages.Request, name: bytes) -> str:
    """Return a request's id for logs; empty if there is none."""
    value = messages.find_header(request.headers, name)
    return "" if value is None else value.decode("latin-1")
