"""Measures a node's control cost as a function of the member count."""

import dataclasses
import gc
import random
import time
import tracemalloc

from godwitflow.model import ids
from godwitflow.policy import catalog
from godwitflow.policy import membership
from godwitflow.policy import ownership
from godwitflow.policy import watch_assignment
from godwitflow.wire import codec
from godwitflow.wire import messages

TICK_MS = 50.0
SPAN_MS = 30_000.0
DAY_MS = 86_400_000.0
CHANGES_PER_NODE_PER_DAY = 2 * 5_750 / 3_800
SETS_PER_NODE = 8_000 / 3_800
CONFIG_CHANGES_PER_DAY = 20_000
SETS_OF_NINE_NODES = 75


@dataclasses.dataclass(frozen=True)
class Cost:
    """CPU time, network traffic and state of one node's control work."""

    cpu_ms_per_s: float
    kb_per_s: float
    state_kb: float


def _update(number: int, incarnation: int = 1) -> messages.MemberUpdate:
    return messages.MemberUpdate(
        ids.NodeId(f"vm-{number:05d}"),
        ids.FailureDomain(f"d{number % 9}"),
        f"tcp://10.{number // 250}.0.{number % 250}:8082",
        f"http://10.{number // 250}.0.{number % 250}:8080",
        f"http://10.{number // 250}.0.{number % 250}:8081",
        incarnation,
        messages.MemberState.ALIVE,
        True,
    )


class _Node:
    """A node's membership, hash ring and watches, with simulated peers."""

    def __init__(self, members: int) -> None:
        self.random = random.Random(members)
        self.membership = membership.Membership(_update(0), 1)
        self.membership.merge(0.0, [_update(n) for n in range(1, members)])
        self.membership._pending_updates.clear()
        self.owners = ownership.HashRing()
        sets = max(SETS_OF_NINE_NODES, int(members * SETS_PER_NODE))
        self.owners.set_keys(tuple(f"s/r{n}" for n in range(sets)))
        self.update_owners()
        self.header = codec.Header(1, ids.NodeId("vm-00001"), 1, "tcp://x:1")
        self.digests = (catalog.Catalog().summary(),)
        self.bytes = 0
        self.messages = 0

    def update_owners(self) -> None:
        """Recompute owners and watches, as the control task does."""
        self.membership.changed = False
        live = self.membership.live_members()
        candidates = tuple(
            ownership.Candidate(item.node, item.failure_domain)
            for item in live
        )
        self.owners.set_members(candidates)
        watch_assignment.names_to_watch(
            self.membership.me.node, candidates, ("config/head", "index/a")
        )

    def receive(self, now_ms: float, message: messages.Message) -> None:
        """Decode and handle one message, and send the replies."""
        raw = codec.encode(self.header, [message])
        self.bytes += len(raw)
        self.messages += 1
        match codec.decode(raw).messages[0]:
            case messages.Probe() as probe:
                actions = self.membership.on_probe(
                    now_ms, self.header.sender, "tcp://x:1", probe
                )
            case messages.ProbeAck() as ack:
                actions = self.membership.on_ack(now_ms, ack)
            case _:
                actions = []
        self.send(actions)

    def send(self, actions: list[membership.SendTo]) -> None:
        """Encode and count outgoing messages."""
        for action in actions:
            raw = codec.encode(self.header, [action.message])
            self.bytes += len(raw)
            self.messages += 1

    def tick(self, now_ms: float) -> None:
        """Run one tick, with an ack for each probe that is sent."""
        self.membership.digests = self.digests
        actions = self.membership.tick(now_ms)
        self.send(actions)
        for action in actions:
            if isinstance(action.message, messages.Probe):
                sequence = action.message.sequence
                updates = self.peer_updates()
                ack = messages.ProbeAck(sequence, updates, self.digests)
                self.receive(now_ms, ack)
        if self.membership.changed:
            self.update_owners()

    def peer_updates(self) -> tuple[messages.MemberUpdate, ...]:
        """Return the updates in a peer's message: its own and recent ones."""
        size = max(1, len(self.membership.members))
        rate_per_ms = size * CHANGES_PER_NODE_PER_DAY / DAY_MS
        change_count = int(rate_per_ms * 10_000.0 + self.random.random())
        updates = [_update(self.random.randint(1, size))]
        for _ in range(min(membership.MAX_UPDATES_PER_MESSAGE, change_count)):
            updates.append(_update(self.random.randint(1, size)))
        return tuple(updates)


def measure(members: int) -> Cost:
    """Run one node for ``SPAN_MS`` of virtual time."""
    gc.collect()
    tracemalloc.start()
    node = _Node(members)
    state_kb = tracemalloc.get_traced_memory()[0] / 1e3
    tracemalloc.stop()
    started_s = time.process_time()
    _run(node, members)
    spent_ms = (time.process_time() - started_s) * 1e3
    span_s = SPAN_MS / 1e3
    return Cost(
        round(spent_ms / span_s, 4),
        round(node.bytes / 1e3 / span_s, 4),
        round(state_kb, 1),
    )


def _run(node: _Node, members: int) -> None:
    """Tick the node, with a probe per period and membership changes."""
    now_ms = 0.0
    next_probe_ms = 0.0
    gap_ms = DAY_MS / (members * CHANGES_PER_NODE_PER_DAY)
    next_change_ms = node.random.random() * gap_ms
    changes = 0
    while now_ms < SPAN_MS:
        node.tick(now_ms)
        if now_ms >= next_probe_ms:
            next_probe_ms += membership.PROBE_PERIOD_MS
            probe = messages.Probe(1, node.peer_updates(), node.digests)
            node.receive(now_ms, probe)
        if now_ms >= next_change_ms:
            next_change_ms += gap_ms
            changes += 1
            node.membership.merge(
                now_ms, [_membership_change(node, members, changes)]
            )
        now_ms += TICK_MS


def _membership_change(
    node: _Node, members: int, changes: int
) -> messages.MemberUpdate:
    """Return an update that changes the candidates: a VM dies or joins."""
    if changes % 2:
        number = node.random.randint(1, members - 1)
        member = node.membership.members.get(ids.NodeId(f"vm-{number:05d}"))
        incarnation = member.update.incarnation if member else 1
        update = _update(number, incarnation)
        return messages.MemberUpdate(
            update.node,
            update.failure_domain,
            update.inner_address,
            update.caller_address,
            update.operator_address,
            incarnation,
            messages.MemberState.DEAD,
        )
    return _update(members + changes)
