"""Several simulated nodes that share upstreams and one virtual clock."""

import random

import simulated_upstreams
import simulation

STEP_MS = 1.0


class Fleet:
    """Nodes whose callers send requests at random times."""

    def __init__(self, nodes=9, seed=1, **options):
        self.random = random.Random(seed)
        self.reactor = simulated_upstreams.SimulatedReactor()
        self.reactor.advance(1_000.0)
        self._options = options
        self.nodes = [self._new_node(f"n{number}") for number in range(nodes)]
        for node in self.nodes:
            node.dispatcher.apply_node_count(nodes)
        self.services = self.reactor.services
        self.callers = []

    def _new_node(self, name):
        return simulation.Simulation(
            node=name, reactor=self.reactor, **self._options
        )

    def remove(self, node):
        """Kill a node; its peers notice at once."""
        self.nodes.remove(node)
        del self.reactor.nodes[node.node]
        self.members_changed()

    def restart(self, name):
        """Replace a node by one that knows nothing yet."""
        old = next(node for node in self.nodes if node.node == name)
        self.nodes.remove(old)
        self.nodes.append(self._new_node(name))
        self.members_changed()

    def members_changed(self):
        """Tell all nodes that the members have changed."""
        for node in self.nodes:
            node.dispatcher.permits.on_members_changed()

    def run(self, for_ms, requests_per_s, target=b"/one/"):
        """Send requests to random nodes, and advance the clock."""
        chance = requests_per_s * STEP_MS / 1_000.0
        for _ in range(int(for_ms / STEP_MS)):
            if self.random.random() < chance:
                caller, _ = self.random.choice(self.nodes).send(target)
                self.callers.append(caller)
            self.reactor.advance(STEP_MS / 1_000.0)
            for node in self.nodes:
                node.exchange.tick()

    def served_share(self):
        """Return the share of the requests so far that got a 200."""
        served = [
            caller
            for caller in self.callers
            if caller.response is not None and caller.response.status == 200
        ]
        return len(served) / len(self.callers)

    def complete_share(self):
        """Return the share of the queries so far that got all parts."""
        complete = [
            caller
            for caller in self.callers
            if simulation.find_header(caller.response, b"x-missing") == b"0"
        ]
        return len(complete) / len(self.callers)


def most_arrivals(upstream, window_ms, from_ms):
    """Return the most requests that arrived in any window of this length.

    Only arrivals from ``from_ms`` on are counted.
    """
    times = [at_ms for at_ms in upstream.arrived_at_ms if at_ms >= from_ms]
    most = 0
    start = 0
    for end, at_ms in enumerate(times):
        while at_ms - times[start] > window_ms:
            start += 1
        most = max(most, end - start + 1)
    return most
