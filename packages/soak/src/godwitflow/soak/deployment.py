"""The deployment under test: store, upstreams, proxies and nodes."""

import dataclasses
import pathlib
import random
import socket
import typing

from godwitflow.soak import history as ledgers
from godwitflow.soak import processes
from godwitflow.soak import proxies
from godwitflow.standins import fake_store as stores
from godwitflow.standins import fake_upstream
from godwitflow.standins import fixtures

STORE_HOST = "127.0.0.1"
DOMAINS = ("east", "west")
SHARDS = ["shard-a", "shard-b", "shard-c", "shard-d"]
REPLICAS = 3
PORTS_A_NODE = 4
DRAINED_S = 4.0


@dataclasses.dataclass(slots=True)
class Placed:
    """An upstream, the proxy before it, and its entry in the store."""

    upstream: fake_upstream.FakeUpstream
    proxy: proxies.Proxy
    address: str
    failure_domain: str
    sequence: int = 1


class Stage:
    """Everything that a run starts; ``turn`` is the newest version."""

    def __init__(
        self,
        reactor: typing.Any,
        nodes: int,
        folder: pathlib.Path,
        source: random.Random,
    ) -> None:
        self.reactor = reactor
        self.random = source
        self.ledger = ledgers.Ledger(SHARDS)
        self.store = stores.FakeStore(reactor)
        self.turn = 0
        self.placed: dict[str, Placed] = {}
        self.nodes: list[processes.NodeProcess] = []
        self.store_proxies: dict[str, proxies.Proxy] = {}
        self._serial = 0
        address = self.store.listen(STORE_HOST)
        for service in [*SHARDS, *["solo"]]:
            for _ in range(REPLICAS):
                self.add_upstream(service)
        self.change_configuration()
        places = _places(nodes)
        for place in places:
            proxy = proxies.Proxy(reactor, address)
            self.store_proxies[place.name] = proxy
            self._add_node(place, places[:2], proxy, folder)

    def _add_node(
        self,
        place: fixtures.NodeEndpoints,
        seeds: list[fixtures.NodeEndpoints],
        proxy: proxies.Proxy,
        folder: pathlib.Path,
    ) -> None:
        store = proxy.listen(STORE_HOST)

        def settings(first: bool) -> bytes:
            return fixtures.settings(place, seeds, store, first)

        self.nodes.append(
            processes.NodeProcess(self.reactor, place, settings, folder)
        )

    def lives(self) -> list[tuple[fixtures.NodeEndpoints, str]]:
        """Return each node with the name of its present life."""
        return [
            (node.place, f"{node.place.name}/{len(node.lives)}")
            for node in self.nodes
        ]

    # Upstreams ----------------------------------------------------------

    def add_upstream(self, service: str) -> str:
        """Start an upstream and register it; return its name."""
        self._serial += 1
        name = f"u{self._serial}"
        upstream = fake_upstream.FakeUpstream(
            self.reactor,
            name,
            service,
            random.Random(self.random.random()),
            self.ledger.note_arrival,
            service in SHARDS,
        )
        self.ledger.services[name] = service
        proxy = proxies.Proxy(self.reactor, upstream.listen(STORE_HOST))
        address = proxy.listen(STORE_HOST)
        domain = DOMAINS[self._serial % len(DOMAINS)]
        self.placed[name] = Placed(upstream, proxy, address, domain)
        self.register(name, "ready")
        return name

    def register(self, name: str, state: str) -> None:
        """Write an upstream's entry."""
        placed = self.placed[name]
        placed.sequence += 1
        entry = fixtures.registration(
            placed.upstream.service,
            placed.address,
            placed.failure_domain,
            state,
            placed.sequence,
        )
        self.store.objects.write("servers", name, entry)

    def replace_upstream(self, name: str) -> None:
        """Start another in place of one that drains and then leaves."""
        self.add_upstream(self.placed[name].upstream.service)
        self.register(name, "draining")
        self.reactor.callLater(DRAINED_S, self._remove, name)

    def _remove(self, name: str) -> None:
        if self.placed.pop(name, None) is not None:
            self.store.objects.remove("servers", name)

    # The operator -------------------------------------------------------

    def change_configuration(self) -> None:
        """Move the turning route to a new service, in a new version."""
        self.turn += 1
        service = f"turn-{self.turn}"
        self.add_upstream(service)
        document = fixtures.configuration(self.turn * 3, SHARDS, service)
        self.store.objects.write("config", "main", document)


def _places(count: int) -> list[fixtures.NodeEndpoints]:
    """Return nodes on loopback addresses with free ports of their own."""
    inner = _inner_port([f"127.0.0.{2 + place}" for place in range(count)])
    found = []
    for place in range(count):
        host = f"127.0.0.{2 + place}"
        front, ready, directory, control = _free_ports(host)
        found.append(
            fixtures.NodeEndpoints(
                f"n{place}",
                host,
                DOMAINS[place % len(DOMAINS)],
                front,
                ready,
                directory,
                control,
                inner,
            )
        )
    return found


def _free_ports(host: str) -> list[int]:
    held = [socket.socket() for _ in range(PORTS_A_NODE)]
    for one in held:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def _inner_port(hosts: list[str]) -> int:
    """Return a port that, with the next one, is free on all hosts."""
    while True:
        first = _free_ports(hosts[0])[0]
        if first < 65_000 and all(_both_free(host, first) for host in hosts):
            return first


def _both_free(host: str, first: int) -> bool:
    wanted = [
        (kind, port)
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        for port in (first, first + 1)
    ]
    for kind, port in wanted:
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((host, port))
            except OSError:
                return False
    return True
