"""Helpers for tests that use the simulation."""


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
