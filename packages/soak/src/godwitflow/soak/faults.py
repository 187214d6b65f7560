"""Faults drawn at random; several may be under way at once."""

import dataclasses
import random
import signal
import typing

from godwitflow.soak import deployment as stages
from godwitflow.soak import processes
from godwitflow.soak import proxies
from godwitflow.standins import fake_store as stores
from godwitflow.standins import fake_upstream

HARMS = (
    proxies.Mode.DELAY,
    proxies.Mode.DEAF,
    proxies.Mode.MUTE,
    proxies.Mode.SILENT,
    proxies.Mode.RESET,
)
SIGNALS = (
    signal.SIGKILL,
    signal.SIGTERM,
    signal.SIGSTOP,
    signal.SIGHUP,
    signal.SIGTERM,
)
MOODS = tuple(
    mood for mood in stores.StoreFault if mood is not stores.StoreFault.NONE
)


@dataclasses.dataclass(frozen=True, slots=True)
class Drawn:
    """A fault that has begun; ``undo`` ends it."""

    what: str
    undo: typing.Callable[[], None]


def _nothing() -> None:
    """End a fault that needs no end."""


def draw(stage: stages.Stage, source: random.Random) -> Drawn:
    """Begin one fault."""
    kinds = (
        _upstream_fails,
        _upstream_is_cut,
        _upstream_is_replaced,
        _store_misbehaves,
        _store_forgets,
        _node_is_cut_from_store,
        _node_gets_signal,
        _node_gets_signal,
        _configuration_changes,
    )
    return source.choice(kinds)(stage, source)


def _upstream_fails(stage: stages.Stage, source: random.Random) -> Drawn:
    placed = source.choice(list(stage.placed.values()))
    upstream = placed.upstream
    upstream.fault = source.choice(list(fake_upstream.Fault))
    upstream.fault_share = source.choice((0.2, 0.6, 1.0))

    def undo() -> None:
        upstream.fault_share = 0.0

    return Drawn(f"{upstream.name} {upstream.fault.value}", undo)


def _upstream_is_cut(stage: stages.Stage, source: random.Random) -> Drawn:
    placed = source.choice(list(stage.placed.values()))
    mode = source.choice(HARMS)
    placed.proxy.set_mode(mode)

    def undo() -> None:
        placed.proxy.set_mode(proxies.Mode.PASS)

    return Drawn(f"{placed.upstream.name} link {mode.value}", undo)


def _upstream_is_replaced(stage: stages.Stage, source: random.Random) -> Drawn:
    names = [
        name
        for name, placed in stage.placed.items()
        if not placed.upstream.service.startswith("turn")
    ]
    name = source.choice(names)
    stage.replace_upstream(name)
    return Drawn(f"{name} replaced", _nothing)


def _store_misbehaves(stage: stages.Stage, source: random.Random) -> Drawn:
    mood = source.choice(MOODS)
    stage.store.fault = mood

    def undo() -> None:
        stage.store.fault = stores.StoreFault.NONE

    return Drawn(f"store {mood.value}", undo)


def _store_forgets(stage: stages.Stage, source: random.Random) -> Drawn:
    stage.store.objects.drop_history()
    return Drawn("store forgets its history", _nothing)


def _node_is_cut_from_store(
    stage: stages.Stage, source: random.Random
) -> Drawn:
    name = source.choice(list(stage.store_proxies))
    proxy = stage.store_proxies[name]
    mode = source.choice(HARMS)
    proxy.set_mode(mode)

    def undo() -> None:
        proxy.set_mode(proxies.Mode.PASS)

    return Drawn(f"{name} to store {mode.value}", undo)


def _node_gets_signal(stage: stages.Stage, source: random.Random) -> Drawn:
    node = source.choice(stage.nodes)
    number = source.choice(SIGNALS)
    return send(node, number)


def send(node: processes.NodeProcess, number: signal.Signals) -> Drawn:
    """Send a signal to a node; a stopped one goes on at the end."""
    if number is signal.SIGHUP:
        node.write_settings()
    node.send(number)

    def undo() -> None:
        node.send(signal.SIGCONT)

    what = f"{node.place.name} {number.name}"
    return Drawn(what, undo if number is signal.SIGSTOP else _nothing)


def _configuration_changes(
    stage: stages.Stage, source: random.Random
) -> Drawn:
    stage.change_configuration()
    return Drawn(f"configuration {stage.turn}", _nothing)
