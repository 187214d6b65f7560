"""Measures how a new configuration spreads to all nodes by gossip.

Nodes compare digests of their catalogs in probes and pull what they miss.
"""

import dataclasses
import random

from godwitflow.fakes import deployment
from godwitflow.model import ids
from godwitflow.policy import catalog
from godwitflow.policy import membership
from godwitflow.settings import folder
from godwitflow.settings import stored_config
from godwitflow.wire import codec
from godwitflow.wire import messages

MEMBERS = (30, 90, 300, 900)
DOMAINS = 9
STEP_MS = 10.0
LIMIT_MS = 60_000.0
SETTLE_MS = 1_500.0
HEADER = codec.Header(1, ids.NodeId("vm-00001"), 1, "tcp://10.0.0.1:8082")


@dataclasses.dataclass(frozen=True)
class Spread:
    """Time until the last node was updated, and kB sent per node."""

    seconds: float
    kb_per_node: float


class _Fleet:
    """Simulates membership and catalog of all nodes.

    Messages go through one queue and arrive ``STEP_MS`` later.
    """

    def __init__(self, members: int) -> None:
        self.random = random.Random(members)
        self.memberships = []
        self.catalogs = []
        self.bytes = 0
        updates = [_member_update(number) for number in range(members)]
        for number, update in enumerate(updates):
            member_table = membership.Membership(update, number)
            member_table.merge(0.0, updates)
            member_table._pending_updates.clear()
            member_table._next_period_ms = self.random.uniform(
                0.0, membership.PROBE_PERIOD_MS
            )
            self.memberships.append(member_table)
            self.catalogs.append(catalog.Catalog())
        self.queue: list[tuple[float, int, int, messages.Message]] = []

    def apply_generation(self, node: int, generation: int) -> None:
        """Apply a generation at a node, as its store watch does."""
        for name, version, value in _objects(generation):
            self.catalogs[node].apply_object(name, version, value)

    def send(
        self,
        now_ms: float,
        origin: int,
        target: int,
        message: messages.Message,
    ) -> None:
        """Send a message; count its bytes unless it is a probe or an ack."""
        if not isinstance(message, (messages.Probe, messages.ProbeAck)):
            self.bytes += len(codec.encode(HEADER, [message]))
        self.queue.append((now_ms + STEP_MS, origin, target, message))

    def tick(self, now_ms: float) -> None:
        """Tick every node, then deliver the messages that are due."""
        for number, member_table in enumerate(self.memberships):
            member_table.digests = (self.catalogs[number].summary(),)
            for action in member_table.tick(now_ms):
                target = _node_number(action.node)
                self.send(now_ms, number, target, action.message)
        due = [item for item in self.queue if item[0] <= now_ms]
        self.queue = [item for item in self.queue if item[0] > now_ms]
        for _, origin, target, message in due:
            self._handle(now_ms, origin, target, message)

    def _handle(
        self,
        now_ms: float,
        origin: int,
        target: int,
        message: messages.Message,
    ) -> None:
        member_table = self.memberships[target]
        target_catalog = self.catalogs[target]
        sender = ids.NodeId(f"vm-{origin:05d}")
        match message:
            case messages.Probe():
                actions = member_table.on_probe(now_ms, sender, "", message)
                for action in actions:
                    self.send(now_ms, target, origin, action.message)
                self._on_digests(now_ms, target, origin, message.digests)
            case messages.ProbeAck():
                member_table.on_ack(now_ms, message)
                self._on_digests(now_ms, target, origin, message.digests)
            case messages.Pull(names=names):
                for name in names:
                    stored = target_catalog.objects.get(name)
                    if stored is not None:
                        push = messages.Push(
                            name, stored.version, stored.value
                        )
                        self.send(now_ms, target, origin, push)
            case messages.Push(name=name, version=version, value=value):
                target_catalog.apply_object(name, version, value)
                missing = target_catalog.missing_files()
                if name == stored_config.HEAD_NAME and missing:
                    pull = messages.Pull(missing)
                    self.send(now_ms, target, origin, pull)

    def _on_digests(
        self,
        now_ms: float,
        target: int,
        origin: int,
        digests: tuple[messages.Digest, ...],
    ) -> None:
        target_catalog = self.catalogs[target]
        outdated = target_catalog.outdated_names(digests)
        if outdated:
            self.send(now_ms, target, origin, messages.Pull(outdated))
        elif target_catalog.summary_differs(digests):
            ack = messages.ProbeAck(0, (), target_catalog.digests())
            self.bytes += len(codec.encode(HEADER, [ack]))
            self.send(now_ms, target, origin, ack)


def _member_update(number: int) -> messages.MemberUpdate:
    return messages.MemberUpdate(
        ids.NodeId(f"vm-{number:05d}"),
        ids.FailureDomain(f"d{number % DOMAINS}"),
        f"tcp://10.0.{number // 250}.{number % 250}:8082",
        "",
        "",
        1,
        messages.MemberState.ALIVE,
        True,
    )


def _node_number(node: ids.NodeId) -> int:
    return int(node.removeprefix("vm-"))


_BASE = deployment.files(deployment.BRITTANY)


def _objects(generation: int) -> list[tuple[str, int, bytes]]:
    """Return a generation's objects in the store, the head last."""
    change = folder.File("99.yaml", b"# change %d\n" % generation)
    files = (*_BASE, change)
    head = stored_config.Head(
        ids.Generation(generation),
        "ana",
        str(generation),
        stored_config.file_refs(files),
    )
    objects = [
        (stored_config.file_object_name(file.sha256), 1, file.content)
        for file in files
    ]
    raw = stored_config.encode_head(head)
    return [*objects, (stored_config.HEAD_NAME, 10 + generation, raw)]


def measure(members: int) -> Spread:
    """Measure how one change spreads from a watcher in each domain.

    Stops after ``LIMIT_MS`` if not every node is updated by then.
    """
    fleet = _Fleet(members)
    for node in range(members):
        fleet.apply_generation(node, 1)
    now_ms = 0.0
    while now_ms < SETTLE_MS:
        fleet.tick(now_ms)
        now_ms += STEP_MS
    fleet.bytes = 0
    started_ms = now_ms
    for watcher in range(DOMAINS):
        fleet.apply_generation(watcher, 2)
    while now_ms - started_ms < LIMIT_MS and not _all_updated(fleet):
        fleet.tick(now_ms)
        now_ms += STEP_MS
    seconds = (now_ms - started_ms) / 1e3
    return Spread(round(seconds, 2), round(fleet.bytes / 1e3 / members, 2))


def _all_updated(fleet: _Fleet) -> bool:
    for item in fleet.catalogs:
        if item.head is None or item.head.generation < 2:
            return False
    return True
