"""Routes: which services a request goes to, under one configuration.

A configuration is a value; a newer one replaces it whole. A request
keeps the route that it was matched with until its end.
"""

import dataclasses
import enum
import random
import typing

from godwitflow.model import ids


class RetryPolicy(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclasses.dataclass(frozen=True, slots=True)
class Single:
    """Every request goes to one service."""

    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedSplit:
    """Requests are dealt to services in proportion to weights."""

    services: tuple[ids.ServiceName, ...]
    weights: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Gather:
    """A request goes to every shard, each a service of its own.

    An answer holds the greatest ``top_count`` records of the shards that
    are in, and needs ``least_share`` of them.
    """

    shards: tuple[ids.ServiceName, ...]
    top_count: int
    min_share: float

    def is_sufficient(self, count: int) -> bool:
        """Tell whether so many shards make an answer; at least one does.

        >>> Gather(("a", "b", "c", "d"), 5, 0.75).suffices(3)
        True
        """
        share = count / len(self.shards) if self.shards else 0.0
        return count > 0 and share >= self.min_share


Target = Single | WeightedSplit | Gather


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of one configuration.

    ``attempts`` bounds the upstreams that one request is sent to, for
    each shard. ``timeout_ms`` is the longest that a request is kept;
    ``target_ms`` the time within which an answer is worth most.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service: its health path, and connections an upstream takes."""

    name: ids.ServiceName
    health_path: str
    connection_cap: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration, under the store's revision of it."""

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: CallerLimits | None


class RouteTable:
    """Finds the route of a host and path, and deals out split routes."""

    def __init__(self, configuration: Configuration, seed: int) -> None:
        self.configuration = configuration
        self._random = random.Random(seed)
        self._by_host: dict[str, dict[bytes, Route]] = {}
        self._shares: dict[str, list[float]] = {}
        for route in configuration.routes:
            of_host = self._by_host.setdefault(route.host.lower(), {})
            of_host[route.prefix] = route

    def match(self, host: str, path: bytes) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        of_host = self._by_host.get(host)
        if of_host is None:
            return None
        end = path.rfind(b"/")
        while end >= 0:
            route = of_host.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None

    def choose_service(
        self, route: Route, split: WeightedSplit
    ) -> ids.ServiceName:
        """Deal a request of a split route to one of its services.

        Every service gains its weight and the one that has gained most
        pays the sum, so that shares are exact over any run of requests.
        """
        gained = self._shares.get(route.name)
        if gained is None:
            total = sum(split.weights)
            gained = [self._random.random() * total for _ in split.weights]
            self._shares[route.name] = gained
        for place, weight in enumerate(split.weights):
            gained[place] += weight
        best = max(range(len(gained)), key=gained.__getitem__)
        gained[best] -= sum(split.weights)
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
    """Return every service that a target may send requests to."""
    match target:
        case Single(service):
            return (service,)
        case WeightedSplit(services, _):
            return services
        case Gather(shards, _, _):
            return shards
