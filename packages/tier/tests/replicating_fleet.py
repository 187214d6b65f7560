"""Several nodes that replicate one store, under a virtual clock."""

import simulation
from twisted.internet import task

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.store import memory_object_store
from godwitflow.tier import replication
from godwitflow.tier import traffic
from godwitflow.wire import messages

KIND = "servers"
MAX_DELAY_MS = 3_000.0
STATES = messages.MemberState


class ReplicatingNode(replication.Replication):
    """Replication that fetches directly from the other node's copy.

    A frozen node neither receives messages nor serves fetches.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = ids.NodeId(f"n{number}")
        self.frozen = False
        self.revision_by_name = {}
        self.sent_count = 0
        self.restored_count = 0
        super().__init__(
            fleet.clock,
            fleet.store.client_for(self.name),
            [KIND],
            self.name,
            self,
            self,
            fleet.now_ms,
            simulation.RecordingLog(),
            0.0 if number < 3 else 500.0,
            traffic.Traffic(ids.FailureDomain("d1")),
        )
        self.on_restored = self.count_restored

    def count_restored(self):
        self.restored_count += 1

    def non_dead_members(self):
        return self.fleet.members

    def send_to(self, nodes, message):
        self.sent_count += len(nodes)
        for name in nodes:
            node = self.fleet.node_by_name[name]
            if self.fleet.can_reach(self, node):
                self.fleet.clock.callLater(
                    0.001, node.receive, self.name, message
                )

    def receive(self, inner_address, message):
        if not self.frozen:
            self.on_revisions(inner_address, message)

    async def fetch(self, inner_address, kind, after):
        other = self.fleet.node_by_name[inner_address]
        await task.deferLater(self.fleet.clock, 0.002)
        if other.frozen or not self.fleet.can_reach(self, other):
            raise errors.StoreUnavailableError("unreachable")
        return other.followers[kind].copy.delta_after(after)

    def on_changes(self, kind, changes, after_outage):
        for change in changes:
            if change.removed:
                self.revision_by_name.pop(change.object.name, None)
            else:
                self.revision_by_name[change.object.name] = (
                    change.object.revision
                )


class Fleet:
    """Nodes that replicate one store, under a virtual clock."""

    def __init__(self, count):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.store = memory_object_store.MemoryObjectStore(self.clock)
        self.store.write(KIND, "a", {})
        self.can_reach = lambda origin, target: True
        self.nodes = []
        self.members = [
            messages.MemberUpdate(
                f"n{number}", "d", f"n{number}", "", "", 1, STATES.ALIVE
            )
            for number in range(count)
        ]
        self.nodes = [ReplicatingNode(self, number) for number in range(count)]
        self.node_by_name = {node.name: node for node in self.nodes}
        for node in self.nodes:
            node.start()

    def restart(self, number):
        """Replace a node by one that has no copy yet."""
        self.nodes[number].stop()
        self.nodes[number] = node = ReplicatingNode(self, number)
        self.node_by_name[node.name] = node
        node.start()

    def now_ms(self):
        return self.clock.seconds() * 1_000.0

    def advance(self, for_ms):
        for _ in range(int(for_ms / 20.0)):
            self.clock.advance(0.02)
            for node in self.nodes:
                if not node.frozen:
                    node.tick()

    def in_sync_nodes(self):
        return [node for node in self.nodes if node.followers[KIND].in_sync]
