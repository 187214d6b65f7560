"""Runs nodes with a fake platform and upstreams in one process."""

import pathlib
import typing

from twisted.internet import defer
from twisted.internet import task
import zmq

from godwitflow.daemon import node as node_module
from godwitflow.fakes import deployment as deployment_module
from godwitflow.fakes import platform
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.settings import process_settings
from godwitflow.store import config_store
from godwitflow.store import vms

WAIT_LIMIT_S = 10.0
POLL_INTERVAL_S = 0.02


class LocalCluster:
    """Runs a fake platform, fake upstreams and real nodes on one reactor.

    All sockets are on loopback.
    """

    def __init__(
        self,
        reactor: typing.Any,
        deployment: deployment_module.Deployment,
        seed: int = 1,
        trace_file: str = "",
        trace_share: float = 0.0,
    ) -> None:
        self.reactor = reactor
        self.deployment = deployment
        self.trace_file = trace_file
        self.trace_share = trace_share
        self.context = zmq.Context()
        self.platform = platform.FakePlatform(reactor)
        self.platform_url = self.platform.listen()
        self.fleet = deployment_module.UpstreamFleet(reactor, deployment, seed)
        self.nodes: dict[str, node_module.Node] = {}
        self.versions: dict[str, int] = {}

    async def publish(self) -> config_store.Applied:
        """Publish the indexes and apply the deployment's configuration."""
        for index in self.fleet.indexes.values():
            await self.publish_index(index)
        files = deployment_module.files(self.deployment)
        return await config_store.apply(self.platform.store, files, "demo")

    async def publish_index(self, index: index_model.Index) -> None:
        """Write an index to the store, as the platform does."""
        name = f"index/{index.service}"
        version = self.versions.get(name, 0)
        value = index_model.encode(index)
        self.versions[name] = await self.platform.store.put(
            name, value, version
        )

    async def start_node(self, name: str, domain: str) -> node_module.Node:
        """Start one node and add it to the platform's list of VMs.

        Its seeds are up to two of the nodes that already run.
        """
        settings = process_settings.ProcessSettings(
            name,
            domain,
            "127.0.0.1",
            self.platform_url,
            caller_port=0,
            operator_port=0,
            inner_port=0,
            seeds=tuple(
                node.links.receive_socket.address
                for node in self.nodes.values()
            )[:2],
            trace_file=self.trace_file,
            trace_share=self.trace_share,
        )
        node = node_module.Node(self.reactor, settings, self.context)
        node.start()
        self.nodes[name] = node
        await self.publish_vms()
        return node

    async def publish_vms(self) -> None:
        """Write the list of VMs to the store, as the platform does."""
        listed = tuple(
            vms.Vm(
                node.id,
                ids.FailureDomain(node.settings.failure_domain),
                node.links.receive_socket.address,
            )
            for node in self.nodes.values()
        )
        version = self.versions.get(vms.LIST_NAME, 0)
        self.versions[vms.LIST_NAME] = await self.platform.store.put(
            vms.LIST_NAME, vms.encode(listed), version
        )

    async def start_nodes(self, count: int) -> None:
        """Start nodes, distributed over the failure domains."""
        domains = self.deployment.failure_domains
        for number in range(count):
            domain = domains[number % len(domains)]
            await self.start_node(f"vm{number + 1}", domain)

    async def wait_ready(self, members: int) -> None:
        """Wait until every node serves and sees enough joined members.

        Each must see at least ``members`` live ones. Raises
        GodwitflowError after ``WAIT_LIMIT_S``.
        """

        def ready(node: node_module.Node) -> bool:
            joined = [
                item for item in node.table.live_members() if item.joined
            ]
            return node.front.serving and len(joined) >= members

        await self.wait_until(
            lambda: all(ready(node) for node in self.nodes.values())
        )

    async def wait_until(self, condition: typing.Callable[[], bool]) -> None:
        """Poll a condition until it is true.

        Raises GodwitflowError after ``WAIT_LIMIT_S``.
        """
        waited_s = 0.0
        while not condition():
            if waited_s > WAIT_LIMIT_S:
                raise errors.GodwitflowError(
                    f"condition not met within {WAIT_LIMIT_S:g} s"
                )
            await task.deferLater(self.reactor, POLL_INTERVAL_S, lambda: None)
            waited_s += POLL_INTERVAL_S

    def entry_points(self) -> tuple[str, ...]:
        """Return the caller URL of every node."""
        return tuple(node.caller_url for node in self.nodes.values())

    async def stop_nodes(self) -> None:
        """Stop all nodes gracefully, at the same time."""
        stopping = [node.stop() for node in self.nodes.values()]
        await defer.gatherResults(stopping)

    async def close(self) -> None:
        """Stop the fake upstreams and the fake platform."""
        await self.fleet.close()
        await self.platform.close()
        self.context.destroy(linger=0)


def new_trace_file(name: str) -> str:
    """Create an empty trace file in ``out`` and return its path."""
    path = pathlib.Path("out") / name
    path.parent.mkdir(exist_ok=True)
    path.write_text("")
    return str(path)
