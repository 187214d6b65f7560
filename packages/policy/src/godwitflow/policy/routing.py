"""Routes of a configuration, which map a request to services.

A configuration is immutable, and a newer one replaces it as a whole. A
request keeps the route that it was matched with until it ends.
"""

import dataclasses
import enum
import random
import typing

from godwitflow.model import ids
from godwitflow.policy import customers as customer_keys
from godwitflow.store import objects

URGENT_RANK = ids.Rank(0)


class RetryPolicy(enum.Enum):
    """Whether a route's requests may be sent more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclasses.dataclass(frozen=True, slots=True)
class Single:
    """Sends every request to one service."""

    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedSplit:
    """Distributes requests over services in proportion to weights."""

    services: tuple[ids.ServiceName, ...]
    weights: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Gather:
    """Sends a request to every shard; each shard is a service.

    The response holds the greatest ``top_count`` records of the shards
    that replied. At least ``min_share`` of all shards must have replied.
    """

    shards: tuple[ids.ServiceName, ...]
    top_count: int
    min_share: float

    def is_sufficient(self, count: int) -> bool:
        """Return whether replies of ``count`` shards are enough.

        At least one is needed, whatever ``min_share`` is.

        >>> Gather(("a", "b", "c", "d"), 5, 0.75).is_sufficient(3)
        True
        """
        share = count / len(self.shards) if self.shards else 0.0
        return count > 0 and share >= self.min_share


Target = Single | WeightedSplit | Gather


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route, matched by host and path prefix.

    ``attempts`` is the maximum number of upstreams that a request is sent
    to, per shard. ``timeout_ms`` is the maximum time until a request is
    answered or refused, ``target_ms`` the latency objective of a response.
    Requests of a ``public`` route need no key.
    """

    name: str
    host: str
    prefix: bytes
    retry_policy: RetryPolicy
    timeout_ms: float
    target_ms: float
    priority: ids.Rank
    attempts: int
    target: Target
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``connection_cap`` is the limit of one of its upstreams.

    A cold upstream takes ``cold_calls_per_s`` from all nodes together; 0 is
    no limit.
    """

    name: ids.ServiceName
    health_path: str
    connection_cap: int
    cold_calls_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for callers' requests and connections."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The complete configuration; ``revision`` is the store's.

    The operator numbers configurations; a later one has a higher
    ``version``, whatever the store lost in between.

    Without ``customers``, None, requests carry no keys; with an empty
    tuple, no key is known.
    """

    revision: objects.Revision
    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: CallerLimits | None
    customers: tuple[customer_keys.Customer, ...] | None = None


class RouteTable:
    """Finds the route of a request and chooses services of split routes."""

    def __init__(self, configuration: Configuration, seed: int) -> None:
        self.configuration = configuration
        self._random = random.Random(seed)
        self._by_host: dict[str, dict[bytes, Route]] = {}
        self._credits: dict[str, list[float]] = {}
        for route in configuration.routes:
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    def match(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Only prefixes that end in a slash match.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind(b"/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None

    def choose_service(
        self, route: Route, split: WeightedSplit
    ) -> ids.ServiceName:
        """Choose the service for a request of a split route.

        This is smooth weighted round-robin: every service gains its
        weight in credits, and the one with the most credits is chosen and
        pays the sum of the weights. The shares are therefore exact over
        any run of requests. The initial credits are random.
        """
        balances = self._credits.get(route.name)
        if balances is None:
            total = sum(split.weights)
            balances = [self._random.random() * total for _ in split.weights]
            self._credits[route.name] = balances
        for index, weight in enumerate(split.weights):
            balances[index] += weight
        best = max(range(len(balances)), key=balances.__getitem__)
        balances[best] -= sum(split.weights)
        return split.services[best]


def host_name(value: bytes | None) -> str:
    """Return the host of a Host header, without its port, in lower case.

    >>> host_name(b"Leno.example:8080")
    'leno.example'
    """
    if value is None:
        return ""
    text = value.decode("latin-1").strip().lower()
    name, colon, port = text.rpartition(":")
    return name if colon and port.isdigit() else text


def services_of(target: Target) -> typing.Sequence[ids.ServiceName]:
    """Return the services that a target may send requests to."""
    match target:
        case Single(service):
            return (service,)
        case WeightedSplit(services, _):
            return services
        case Gather(shards, _, _):
            return shards
