"""Life cycle of a node, as a state machine.

starting --catch_up--> serving --leave--> leaving --drain--> draining
starting --leave--> leaving                  draining --stop--> stopped
serving  --fall_behind--> starting
"""

import typing

import automat


class Lifecycle(typing.Protocol):
    """Inputs of the state machine.

    An input is ignored in a state that has no transition for it.
    """

    def catch_up(self) -> None:
        """A configuration and its indexes are loaded."""

    def fall_behind(self) -> None:
        """The loaded state may be outdated, as after a pause."""

    def leave(self) -> None:
        """A graceful stop was requested."""

    def drain(self) -> None:
        """The address replies that name this node have expired."""

    def stop(self) -> None:
        """Every request is finished."""

    def name(self) -> str:
        """Return the name of the state."""

    def may_serve(self) -> bool:
        """Return whether the node accepts callers' requests."""


class _Core:
    """Empty core: the machine has no data besides its state."""


def _build() -> typing.Callable[[_Core], Lifecycle]:
    builder = automat.TypeMachineBuilder(Lifecycle, _Core)
    starting = builder.state("starting")
    serving = builder.state("serving")
    leaving = builder.state("leaving")
    draining = builder.state("draining")
    stopped = builder.state("stopped")
    states = (starting, serving, leaving, draining, stopped)
    transitions = {
        (starting, "catch_up"): serving,
        (serving, "fall_behind"): starting,
        (starting, "leave"): leaving,
        (serving, "leave"): leaving,
        (leaving, "drain"): draining,
        (draining, "stop"): stopped,
    }
    inputs = ("catch_up", "fall_behind", "leave", "drain", "stop")
    for state in states:
        for name in inputs:
            target = transitions.get((state, name), state)
            event = getattr(Lifecycle, name)
            state.upon(event).to(target).returns(None)
        state.upon(Lifecycle.name).loop().returns(state.name)
        serves = state in (serving, leaving)
        state.upon(Lifecycle.may_serve).loop().returns(serves)
    return builder.build()


_factory = _build()


def new() -> Lifecycle:
    """Return a state machine in the state "starting"."""
    return _factory(_Core())
