"""Helpers for tests that use the simulation."""

from godwitflow.model import ids
from godwitflow.policy import ownership


def candidates(names):
    """Return nodes of these names that share caps and budgets."""
    return [
        ownership.Candidate(ids.NodeId(name), ids.FailureDomain("d1"))
        for name in names
    ]


def set_members(sim, count):
    """Let a node know ``count`` members, itself included."""
    names = [f"n{number + 1}" for number in range(count)]
    sim.dispatcher.apply_members(candidates(names))


def set_all(sim, service, **changes):
    """Set attributes of all upstreams of a service."""
    for upstream in sim.services[service]:
        for name, value in changes.items():
            setattr(upstream, name, value)


def execution_count(sim, service):
    """Return how many requests the upstreams of a service executed."""
    return sum(len(upstream.executions) for upstream in sim.services[service])


def warm_up(sim, target=b"/all/x", count=40):
    """Send requests so that the latency estimates settle."""
    for _ in range(count):
        sim.request(target)
