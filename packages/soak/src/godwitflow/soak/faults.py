"""Random faults; several may be active at the same time."""

import dataclasses
import random
import signal
import typing

from godwitflow.soak import deployment as deployments
from godwitflow.soak import processes
from godwitflow.soak import proxies
from godwitflow.standins import fake_store
from godwitflow.standins import fake_upstream
from godwitflow.standins import fixtures

LINK_FAULTS = (
    proxies.Mode.DELAY,
    proxies.Mode.DROP_FROM_CLIENT,
    proxies.Mode.DROP_FROM_TARGET,
    proxies.Mode.DROP_BOTH,
    proxies.Mode.RESET,
)
# SIGTERM is listed twice, which makes it twice as likely.
SIGNALS = (
    signal.SIGKILL,
    signal.SIGTERM,
    signal.SIGSTOP,
    signal.SIGHUP,
    signal.SIGTERM,
)
# Some of them are no limits.
RATE_LIMITS = ("20", "4", "0.5", "0", "-1", "ten", "", "1e9")
ODD_ENTRY_KINDS = ("servers", "members")
PAUSES = ("0.5", "2", "0", "-1", "nan", "", "soon")
STORE_FAULTS = tuple(
    fault
    for fault in fake_store.StoreFault
    if fault is not fake_store.StoreFault.NONE
)


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveFault:
    """An injected fault; ``undo`` ends it."""

    description: str
    undo: typing.Callable[[], None]


def _no_undo() -> None:
    """Do nothing, for faults that need no undoing."""


def inject_random(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    """Inject a fault chosen at random; a signal is twice as likely."""
    injectors = (
        _fail_upstream,
        _disturb_upstream_link,
        _replace_upstream,
        _fail_store,
        _drop_store_history,
        _disturb_store_link,
        _silence_store_connections,
        _write_odd_entry,
        _signal_node,
        _signal_node,
        _change_configuration,
        _limit_upstream,
        _pause_upstream,
    )
    return rng.choice(injectors)(deployment, rng)


def _fail_upstream(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    registered = rng.choice(list(deployment.upstreams.values()))
    upstream = registered.upstream
    upstream.fault = rng.choice(list(fake_upstream.Fault))
    upstream.fault_share = rng.choice((0.2, 0.6, 1.0))

    def undo() -> None:
        upstream.fault_share = 0.0

    return ActiveFault(f"{upstream.name} {upstream.fault.value}", undo)


def _limit_upstream(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    registered = rng.choice(list(deployment.upstreams.values()))
    upstream = registered.upstream
    upstream.rate_limit = rng.choice(RATE_LIMITS)

    def undo() -> None:
        upstream.rate_limit = None

    return ActiveFault(f"{upstream.name} limit {upstream.rate_limit!r}", undo)


def _pause_upstream(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    registered = rng.choice(list(deployment.upstreams.values()))
    upstream = registered.upstream
    upstream.fault = fake_upstream.Fault.REJECT
    upstream.fault_share = rng.choice((0.2, 0.6, 1.0))
    upstream.retry_after = rng.choice(PAUSES)

    def undo() -> None:
        upstream.fault_share = 0.0
        upstream.retry_after = None

    return ActiveFault(f"{upstream.name} wants {upstream.retry_after!r}", undo)


def _disturb_upstream_link(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    registered = rng.choice(list(deployment.upstreams.values()))
    mode = rng.choice(LINK_FAULTS)
    registered.proxy.set_mode(mode)

    def undo() -> None:
        registered.proxy.set_mode(proxies.Mode.PASS)

    return ActiveFault(f"{registered.upstream.name} link {mode.value}", undo)


def _replace_upstream(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    names = [
        name
        for name, registered in deployment.upstreams.items()
        if not registered.upstream.service.startswith("turn")
    ]
    name = rng.choice(names)
    deployment.replace_upstream(name)
    return ActiveFault(f"{name} replaced", _no_undo)


def _fail_store(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    fault = rng.choice(STORE_FAULTS)
    deployment.store.fault = fault

    def undo() -> None:
        deployment.store.fault = fake_store.StoreFault.NONE

    return ActiveFault(f"store {fault.value}", undo)


def _drop_store_history(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    deployment.store.objects.drop_history()
    return ActiveFault("store forgets its history", _no_undo)


def _disturb_store_link(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    name = rng.choice(list(deployment.store_proxies))
    proxy = deployment.store_proxies[name]
    mode = rng.choice(LINK_FAULTS)
    proxy.set_mode(mode)

    def undo() -> None:
        proxy.set_mode(proxies.Mode.PASS)

    return ActiveFault(f"{name} to store {mode.value}", undo)


def _silence_store_connections(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    deployment.silence_store_connections()
    return ActiveFault("open connections to the store silent", _no_undo)


def _write_odd_entry(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    kind = rng.choice(ODD_ENTRY_KINDS)
    name = f"odd{rng.randrange(1_000_000)}"
    spec = rng.choice(fixtures.odd_specs())
    deployment.store.write_raw(kind, name, spec)

    def undo() -> None:
        deployment.store.objects.remove(kind, name)

    return ActiveFault(f"odd entry in {kind}: {spec[:60]!r}", undo)


def _signal_node(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    node = rng.choice(deployment.nodes)
    number = rng.choice(SIGNALS)
    return send_signal(node, number)


def send_signal(
    node: processes.NodeProcess, number: signal.Signals
) -> ActiveFault:
    """Send a signal to a node; undoing SIGSTOP sends SIGCONT."""
    if number is signal.SIGHUP:
        node.write_settings()
    node.send_signal(number)

    def undo() -> None:
        node.send_signal(signal.SIGCONT)

    description = f"{node.endpoints.name} {number.name}"
    return ActiveFault(
        description, undo if number is signal.SIGSTOP else _no_undo
    )


def _change_configuration(
    deployment: deployments.Deployment, rng: random.Random
) -> ActiveFault:
    deployment.change_configuration()
    return ActiveFault(
        f"configuration {deployment.configuration_number}", _no_undo
    )
