"""The deployment under test: store, upstreams, proxies and nodes."""

import dataclasses
import os
import pathlib
import random
import socket
import typing

from godwitflow.soak import history as histories
from godwitflow.soak import processes
from godwitflow.soak import proxies
from godwitflow.standins import fake_store
from godwitflow.standins import fake_upstream
from godwitflow.standins import fixtures
from godwitflow.store import memory_object_store
from godwitflow.store import objects

STORE_HOST = "127.0.0.1"
DOMAINS = ("east", "west")
SHARDS = ["shard-a", "shard-b", "shard-c", "shard-d"]
REPLICAS = 3
PORTS_PER_NODE = 4
DRAIN_WAIT_S = 4.0
REPORT_AGAIN_S = 1.5
SILENCE_S = 3.6  # three missing reports
KEEP_ALIVE_TIMES_S = (None, 60)


@dataclasses.dataclass(slots=True)
class RegisteredUpstream:
    """An upstream, the proxy in front of it, and its registration.

    ``address`` is the proxy's, ``state`` what the upstream reports.
    """

    upstream: fake_upstream.FakeUpstream
    proxy: proxies.Proxy
    address: str
    failure_domain: str
    sequence: int = 1
    state: str = "ready"


class Deployment:
    """The store, upstreams, proxies and nodes of a run.

    ``vm_limits`` and ``caller_limits`` replace single limits of the nodes'
    settings and of the configuration, under the platform's names.
    ``configuration_number`` is that of the newest configuration, counted
    from 1.
    """

    def __init__(
        self,
        reactor: typing.Any,
        nodes: int,
        folder: pathlib.Path,
        rng: random.Random,
        vm_limits: dict[str, int] | None = None,
        caller_limits: dict[str, int] | None = None,
    ) -> None:
        self.reactor = reactor
        self._vm_limits = vm_limits or {}
        self._caller_limits = caller_limits or {}
        self.random = rng
        self.history = histories.History(SHARDS)
        self.store = fake_store.FakeStore(reactor)
        self.store.keep_alive_s = rng.choice(KEEP_ALIVE_TIMES_S)
        self.configuration_number = 0
        self._configuration: dict[str, typing.Any] = {}
        self.upstreams: dict[str, RegisteredUpstream] = {}
        self.nodes: list[processes.NodeProcess] = []
        self.store_proxies: dict[str, proxies.Proxy] = {}
        self._upstream_count = 0
        address = self.store.listen(STORE_HOST)
        for service in [*SHARDS, *["solo"]]:
            for _ in range(REPLICAS):
                self.add_upstream(service)
        self.change_configuration()
        all_endpoints = _allocate_endpoints(nodes)
        for endpoints in all_endpoints:
            proxy = proxies.Proxy(reactor, address)
            self.store_proxies[endpoints.name] = proxy
            self._add_node(endpoints, all_endpoints[:2], proxy, folder)

    def _add_node(
        self,
        endpoints: fixtures.NodeEndpoints,
        seeds: list[fixtures.NodeEndpoints],
        proxy: proxies.Proxy,
        folder: pathlib.Path,
    ) -> None:
        store_address = proxy.listen(STORE_HOST)

        def settings(first_start: bool) -> bytes:
            return fixtures.settings(
                endpoints,
                seeds,
                store_address,
                first_start,
                self._vm_limits,
            )

        self.nodes.append(
            processes.NodeProcess(self.reactor, endpoints, settings, folder)
        )

    def current_processes(self) -> list[tuple[fixtures.NodeEndpoints, str]]:
        """Return each node with the name of its current process.

        The name holds the number of earlier runs of the node's program.
        """
        return [
            (node.endpoints, f"{node.endpoints.name}/{len(node.exit_codes)}")
            for node in self.nodes
        ]

    def silence_store_connections(self) -> None:
        """Let all open connections to the store go silent for good."""
        for proxy in self.store_proxies.values():
            proxy.silence_open_connections()

    # Upstreams ----------------------------------------------------------

    def add_upstream(self, service: str) -> str:
        """Start an upstream and register it; return its name."""
        self._upstream_count += 1
        name = f"u{self._upstream_count}"
        upstream = fake_upstream.FakeUpstream(
            self.reactor,
            name,
            service,
            random.Random(self.random.random()),
            self.history.record_arrival,
            service in SHARDS,
        )
        upstream.on_notice = self.history.notices.append
        self.history.services[name] = service
        proxy = proxies.Proxy(self.reactor, upstream.listen(STORE_HOST))
        address = proxy.listen(STORE_HOST)
        domain = DOMAINS[self._upstream_count % len(DOMAINS)]
        self.upstreams[name] = RegisteredUpstream(
            upstream, proxy, address, domain
        )
        self.register(name, "ready")
        return name

    def register(self, name: str, state: str) -> None:
        """Write an upstream's registration to the store."""
        registered = self.upstreams[name]
        registered.sequence += 1
        registered.state = state
        entry = fixtures.registration(
            registered.upstream.service,
            registered.address,
            registered.failure_domain,
            state,
            registered.sequence,
        )
        self.store.objects.write("servers", name, entry)

    def replace_upstream(self, name: str) -> None:
        """Start a replacement; the old upstream drains and is then removed."""
        upstream = self.upstreams[name].upstream
        upstream.leaving = True
        self.add_upstream(upstream.service)
        self.register(name, "draining")
        self.reactor.callLater(DRAIN_WAIT_S, self._remove, name)

    def _remove(self, name: str) -> None:
        self.upstreams.pop(name, None)
        self._remove_entry(name)

    def _remove_entry(self, name: str) -> None:
        if name not in self.upstreams and self._entry(name) is not None:
            self.store.objects.remove("servers", name)

    def _entry(self, name: str) -> objects.Spec | None:
        """Return what the store holds of an upstream."""
        for entry in self.store.objects.listing("servers").objects:
            if entry.name == name:
                return entry.spec
        return None

    # Restores of the store ----------------------------------------------

    def restore_store(self, backup: memory_object_store.Backup) -> None:
        """Bring the store back from a backup.

        The operator writes the newest configuration again, each upstream
        reports its state again, and the platform removes the entries of
        those that no longer report.
        """
        self.store.objects.restore(backup)
        self.store.objects.write("config", "main", self._configuration)
        for name in self.upstreams:
            wait_s = self.random.uniform(0.0, REPORT_AGAIN_S)
            self.reactor.callLater(wait_s, self._report_again, name)
        for entry in self.store.objects.listing("servers").objects:
            if entry.name not in self.upstreams:
                self.reactor.callLater(
                    SILENCE_S, self._remove_entry, entry.name
                )

    def _report_again(self, name: str) -> None:
        """Report an upstream's state, unless the store holds it already.

        A report in which only the sequence differs changes no entry.
        """
        registered = self.upstreams.get(name)
        if registered is None:
            return
        held = self._entry(name)
        if held is None or held["state"] != registered.state:
            self.register(name, registered.state)

    # The operator -------------------------------------------------------

    def change_configuration(self) -> None:
        """Store a configuration that routes ``/turn/`` to a new service."""
        self.configuration_number += 1
        service = f"turn-{self.configuration_number}"
        self.add_upstream(service)
        document = fixtures.configuration(
            self.configuration_number * 3, SHARDS, service
        )
        document["limits"].update(self._caller_limits)
        self._configuration = document
        self.store.objects.write("config", "main", document)


def _allocate_endpoints(count: int) -> list[fixtures.NodeEndpoints]:
    """Return endpoints on loopback addresses; all their ports are free."""
    hosts = [f"{_loopback_net()}.{2 + index}" for index in range(count)]
    inner = _find_inner_port(hosts)
    all_endpoints = []
    for index, host in enumerate(hosts):
        front, ready, directory, control = _free_ports(host)
        all_endpoints.append(
            fixtures.NodeEndpoints(
                f"n{index}",
                host,
                DOMAINS[index % len(DOMAINS)],
                front,
                ready,
                directory,
                control,
                inner,
            )
        )
    return all_endpoints


def _loopback_net() -> str:
    """Return a network of this process's own.

    A run at the same time could take the port of a node that restarts.
    """
    number = 256 + os.getpid() % (255 * 256)
    return f"127.{number // 256}.{number % 256}"


def _free_ports(host: str) -> list[int]:
    sockets = [socket.socket() for _ in range(PORTS_PER_NODE)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _find_inner_port(hosts: list[str]) -> int:
    """Return a port that, like the port after it, is free on all hosts."""
    while True:
        first = _free_ports(hosts[0])[0]
        if first < 65_000 and all(
            _pair_is_free(host, first) for host in hosts
        ):
            return first


def _pair_is_free(host: str, first: int) -> bool:
    bindings = [
        (socket_type, port)
        for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        for port in (first, first + 1)
    ]
    for socket_type, port in bindings:
        with socket.socket(socket.AF_INET, socket_type) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
