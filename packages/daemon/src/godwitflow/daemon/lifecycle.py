"""The life of a node, as a state machine.

starting --catch_up--> serving --leave--> leaving --drain--> draining
starting --leave--> leaving                  draining --stop--> stopped
serving  --fall_behind--> starting
"""

import typing

import automat


class Lifecycle(typing.Protocol):
    """The inputs of the machine; each is ignored where it has no sense."""

    def catch_up(self) -> None:
        """A configuration and the indexes are held."""

    def fall_behind(self) -> None:
        """What is held may be old, as after a pause."""

    def leave(self) -> None:
        """A graceful stop was asked for."""

    def drain(self) -> None:
        """No caller may still be using this node's address."""

    def stop(self) -> None:
        """Every request is finished."""

    def name(self) -> str:
        """Return the state's name."""

    def may_serve(self) -> bool:
        """Return whether a caller's request is taken."""


class _Core:
    """The machine keeps nothing beside its state."""


def _build() -> typing.Callable[[_Core], Lifecycle]:
    builder = automat.TypeMachineBuilder(Lifecycle, _Core)
    starting = builder.state("starting")
    serving = builder.state("serving")
    leaving = builder.state("leaving")
    draining = builder.state("draining")
    stopped = builder.state("stopped")
    every = (starting, serving, leaving, draining, stopped)
    moves = {
        (starting, "catch_up"): serving,
        (serving, "fall_behind"): starting,
        (starting, "leave"): leaving,
        (serving, "leave"): leaving,
        (leaving, "drain"): draining,
        (draining, "stop"): stopped,
    }
    inputs = ("catch_up", "fall_behind", "leave", "drain", "stop")
    for state in every:
        for name in inputs:
            target = moves.get((state, name), state)
            event = getattr(Lifecycle, name)
            state.upon(event).to(target).returns(None)
        state.upon(Lifecycle.name).loop().returns(state.name)
        serves = state in (serving, leaving)
        state.upon(Lifecycle.may_serve).loop().returns(serves)
    return builder.build()


_factory = _build()


def new() -> Lifecycle:
    """Return the machine of a node that is starting."""
    return _factory(_Core())
