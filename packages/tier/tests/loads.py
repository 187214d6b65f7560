"""Helpers of tests that play loads on scripted upstreams."""


def all_of(world, service, **changes):
    for upstream in world.services[service]:
        for name, found in changes.items():
            setattr(upstream, name, found)


def runs(world, service):
    return sum(len(upstream.runs) for upstream in world.services[service])


def warm(world, target=b"/all/x", count=40):
    for _ in range(count):
        world.ask(target)
