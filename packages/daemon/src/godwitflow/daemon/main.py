"""Command line of godwitflowd."""

import gc
import pathlib
import sys
import typing

import cyclopts
from twisted.internet import reactor as installed_reactor
import zmq

from godwitflow.daemon import logs
from godwitflow.daemon import node as node_module
from godwitflow.model import errors
from godwitflow.settings import process_settings
from godwitflow.wire import sockets

GC_THRESHOLDS = (50_000, 20, 100)

reactor: typing.Any = installed_reactor

app = cyclopts.App(
    name="godwitflowd",
    help="Serve callers' queries over the shards of the upstreams.",
)


@app.default
def run(
    settings: pathlib.Path,
    *,
    vm_id: str | None = None,
    failure_domain: str | None = None,
    address: str | None = None,
    platform: str | None = None,
    caller_port: int | None = None,
    operator_port: int | None = None,
    inner_port: int | None = None,
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info",
) -> int:
    """Run one node until a signal stops it.

    Parameters
    ----------
    settings
        YAML file with this process's settings; flags override it.
    vm_id
        The platform's id of this VM.
    failure_domain
        The failure domain that this VM is in.
    address
        The IP address at which callers and peers reach this node.
    platform
        The base URL of the platform's object API.
    caller_port
        The port of the callers' HTTP interface.
    operator_port
        The port of the operators' HTTP interface.
    inner_port
        The port for messages from other nodes.
    log_level
        The least severe level that is logged.
    """
    flags = {
        "vm_id": vm_id,
        "failure_domain": failure_domain,
        "address": address,
        "platform": platform,
        "caller_port": caller_port,
        "operator_port": operator_port,
        "inner_port": inner_port,
    }
    overrides = {
        key: value for key, value in flags.items() if value is not None
    }
    try:
        loaded = process_settings.load(settings, overrides)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return 1
    with logs.handler(sys.stderr, log_level).applicationbound():
        _serve(loaded)
    return 0


def _serve(settings: process_settings.ProcessSettings) -> None:
    context = zmq.Context()
    keys = sockets.CurveKeys.from_settings(
        settings.curve_secret_key, settings.curve_peers
    )
    authenticator = None
    if keys is not None:
        authenticator = sockets.start_authenticator(context, keys)
    node = node_module.Node(reactor, settings, context)
    node.start()
    _tune_gc()
    stopping: list[bool] = []

    def stop_gracefully() -> "typing.Any":
        # A second signal must not interrupt the graceful stop that the
        # first one started.
        if not stopping:
            stopping.append(True)
        return node.stop()

    reactor.addSystemEventTrigger("before", "shutdown", stop_gracefully)
    reactor.run()
    if authenticator is not None:
        authenticator.stop()
    context.destroy(linger=0)


def _tune_gc() -> None:
    """Reduce the cost of the garbage collector.

    Objects allocated so far are exempt from collection. With the default
    thresholds the collector took two thirds of the processor time of a
    run with many short-lived pieces.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def main() -> None:
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
