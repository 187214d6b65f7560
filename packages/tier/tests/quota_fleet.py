"""Nodes that keep customers' quotas together, on one virtual clock."""

import random

from twisted.internet import task

from godwitflow.model import ids
from godwitflow.policy import customers
from godwitflow.policy import quotas as policy
from godwitflow.tier import quotas
from godwitflow.wire import messages

LINK_DELAY_S = 0.0015
TICK_MS = 500.0
STEP_MS = 2.0
DETECTION_MS = (1_500.0, 3_000.0)  # until peers notice, each for itself


class Log:
    """Discards the logged events."""

    def event(self, event, **fields):
        pass

    limited_event = event


class Node:
    """One node, and its view of the members."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = ids.NodeId(name)
        self.frozen = False
        self.dead = set()
        self.inbox = []
        self.sent = 0
        self.started_at_ms = fleet.now_ms()
        self.quotas = quotas.Quotas(
            fleet.clock,
            fleet.now_ms,
            self.name,
            self,
            policy.QuotaBounds(),
            Log(),
            seed=fleet.random.getrandbits(32),
        )
        self.quotas.apply_customers(fleet.customers.values())

    def live_nodes(self):
        return [name for name in self.fleet.names if name not in self.dead]

    def node_count(self):
        return len(self.fleet.names)

    def started_together(self):
        return all(
            self.fleet.nodes[name].started_at_ms > self.started_at_ms - 6_000.0
            for name in self.live_nodes()
            if name in self.fleet.nodes
        )

    def listed_count(self):
        return len(self.fleet.names)

    def send_to(self, nodes, message):
        for name in nodes:
            self.sent += 1
            if (self.name, name) not in self.fleet.cuts:
                self.fleet.clock.callLater(
                    LINK_DELAY_S, self.fleet.deliver, self.name, name, message
                )

    def receive(self, sender, message):
        if self.frozen:
            self.inbox.append((sender, message))
            return
        match message:
            case messages.QuotaRequest():
                self.quotas.on_request(sender, message)
            case messages.QuotaReply():
                self.quotas.on_reply(sender, message)


class QuotaFleet:
    """A fleet with some customers; records when requests are admitted."""

    def __init__(self, nodes, seed=1, quota=None):
        self.random = random.Random(seed)
        self.clock = task.Clock()
        self.clock.advance(100.0)
        quota = quota or customers.Quota(23.0, 23.0)
        self.customers = {
            name: customers.Customer(ids.CustomerName(name), (), None, quota)
            for name in ("hot", "calm")
        }
        self.cuts = set()
        self.names = [ids.NodeId(f"n{number}") for number in range(nodes)]
        self.nodes = {name: Node(self, name) for name in self.names}
        self.admitted = {name: [] for name in self.customers}
        self.waits_ms = {name: [] for name in self.customers}
        self.refused = dict.fromkeys(self.customers, 0)
        self._since_tick_ms = 0.0
        self.run(30_000.0)

    def now_ms(self):
        return self.clock.seconds() * 1_000.0

    def deliver(self, sender, name, message):
        node = self.nodes.get(name)
        if node is not None and (sender, name) not in self.cuts:
            node.receive(sender, message)

    def ask(self, name, node):
        """Send one request of a customer to a node."""
        started_ms = self.now_ms()

        def on_admission(admission):
            if isinstance(admission, quotas.Admitted):
                self.admitted[name].append(self.now_ms())
                self.waits_ms[name].append(self.now_ms() - started_ms)
            else:
                self.refused[name] += 1

        if not node.frozen:
            node.quotas.admit(self.customers[name], on_admission)

    def run(self, for_ms, entries=None, **rates_per_s):
        """Let customers ask, at nodes among ``entries``."""
        for _ in range(int(for_ms / STEP_MS)):
            for name, rate in rates_per_s.items():
                if self.random.random() < rate * STEP_MS / 1_000.0:
                    chosen = entries or list(self.nodes) or self.names
                    node = self.nodes.get(self.random.choice(chosen))
                    if node is not None:
                        self.ask(name, node)
            self.clock.advance(STEP_MS / 1_000.0)
            self._since_tick_ms += STEP_MS
            if self._since_tick_ms >= TICK_MS:
                self._since_tick_ms = 0.0
                for node in self.nodes.values():
                    if not node.frozen:
                        node.quotas.tick()

    # Faults -------------------------------------------------------------

    def _notice(self, observers, subject, dead):
        for name in observers:
            wait_ms = self.random.uniform(*DETECTION_MS) if dead else 50.0
            self.clock.callLater(
                wait_ms / 1_000.0, self._set_dead, name, subject, dead
            )

    def _set_dead(self, name, subject, dead):
        node = self.nodes.get(name)
        gone = subject not in self.nodes or self.nodes[subject].frozen
        cut = (subject, name) in self.cuts
        if node is None or name == subject or dead != (gone or cut):
            return
        (node.dead.add if dead else node.dead.discard)(subject)
        node.quotas.on_members_changed()

    def kill(self, name, down_ms=2_000.0):
        """Kill a node, and start it again later."""
        del self.nodes[name]
        self._notice(list(self.nodes), name, True)
        self.clock.callLater(down_ms / 1_000.0, self._start, name)

    def _start(self, name):
        node = Node(self, name)
        node.dead = {other for other in self.names if other not in self.nodes}
        node.dead.discard(name)
        self.nodes[name] = node
        node.quotas.tick()
        self._notice(list(self.nodes), name, False)

    def pause(self, name, for_ms):
        """Suspend a node; it reads what was sent to it when it wakes."""
        self.nodes[name].frozen = True
        self._notice(list(self.nodes), name, True)
        self.clock.callLater(for_ms / 1_000.0, self._wake, name)

    def _wake(self, name):
        node = self.nodes.get(name)
        if node is None:
            return
        node.frozen = False
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            node.receive(sender, message)
        self._notice(list(self.nodes), name, False)

    def split(self, minority, for_ms):
        """Cut some nodes off from all others."""
        others = [name for name in self.names if name not in minority]
        pairs = {(a, b) for a in minority for b in others}
        pairs |= {(b, a) for a, b in pairs}
        self.cuts |= pairs
        for name in minority:
            self._notice(others, name, True)
        for name in others:
            self._notice(minority, name, True)
        self.clock.callLater(for_ms / 1_000.0, self._heal, pairs)

    def _heal(self, pairs):
        self.cuts -= pairs
        for name, subject in pairs:
            self._notice([name], subject, False)


def most_in_window(times_ms, window_ms):
    """Return the most admissions in any window of a length."""
    most = start = 0
    for end, at_ms in enumerate(times_ms):
        while at_ms - times_ms[start] > window_ms:
            start += 1
        most = max(most, end - start + 1)
    return most
