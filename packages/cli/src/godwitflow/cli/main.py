"""The operator's command line."""

import getpass
import pathlib
import sys
import typing

import cyclopts
import msgspec
from twisted.internet import defer
from twisted.internet import task

from godwitflow.caller import client
from godwitflow.cli import commands
from godwitflow.cli import explanation
from godwitflow.cli import placement
from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.model import ids

EXIT_OK = 0
EXIT_FAILED = 1

app = cyclopts.App(
    name="godwitflow",
    help="Configure, watch and try a godwitflow deployment.",
)

Action = typing.Callable[[], None]


def _print_json(value: typing.Any) -> None:
    print(msgspec.json.encode(value, enc_hook=_to_builtin).decode())


def _to_builtin(value: typing.Any) -> typing.Any:
    return getattr(value, "__dict__", str(value))


def _run_on_reactor(
    command: typing.Callable[[typing.Any], typing.Any],
) -> typing.Any:
    """Run a coroutine function on the reactor; return its result."""
    results: list[typing.Any] = []

    async def main(reactor: typing.Any) -> None:
        results.append(await command(reactor))

    raised: list[BaseException] = []

    def on_failure(failure: typing.Any) -> None:
        raised.append(failure.value)

    def start(reactor: typing.Any) -> typing.Any:
        running = defer.ensureDeferred(main(reactor))
        return running.addErrback(on_failure)

    try:
        task.react(start)
    except SystemExit:
        pass
    if raised:
        raise raised[0]
    return results[0]


def _report_errors(action: Action) -> int:
    """Run an action; print a GodwitflowError and return the exit code."""
    try:
        action()
    except errors.GodwitflowError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


@app.command
def check(folder: pathlib.Path, *, json: bool = False) -> int:
    """Check a configuration folder without any server.

    Parameters
    ----------
    folder
        The folder of YAML files.
    json
        Print the problems as JSON.
    """
    try:
        config = commands.check(folder)
    except errors.SettingsError as error:
        if json:
            _print_json([vars(problem) for problem in error.problems])
        else:
            print(error)
            print(f"{len(error.problems)} problems")
        return EXIT_FAILED
    if json:
        _print_json([])
    else:
        print(f"good: {len(config.services)} services")
    return EXIT_OK


@app.command
def explain(request: str, *files: pathlib.Path) -> int:
    """Print the log lines of a request, in order of time.

    Parameters
    ----------
    request
        The request's id.
    files
        Logs of any number of nodes; standard input if none is given.
    """
    if files:
        lines = [
            line for file in files for line in file.read_text().splitlines()
        ]
    else:
        lines = sys.stdin.read().splitlines()
    matching = explanation.explain(request, lines)
    for line in matching:
        print(line)
    if not matching:
        print(f"no line of request {request}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


@app.command
def where(
    method: str,
    target: str,
    *,
    node: str,
    host: str,
    key: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show where a request would go now, and why, without sending it.

    Parameters
    ----------
    method
        The request's method.
    target
        The request's path, with its query.
    node
        The address of a node's metrics, IP:PORT.
    host
        The request's Host header.
    key
        A file that holds the customer's key.
    json
        Print JSON.
    """

    def action() -> None:
        secret = placement.read_key(key)
        plan = _run_on_reactor(
            lambda reactor: placement.ask(
                reactor, node, method, target, host, secret
            )
        )
        if json:
            print(msgspec.json.encode(plan).decode())
            return
        for line in placement.lines(plan):
            print(line)

    return _report_errors(action)


@app.command
def diff(folder: pathlib.Path, *, platform: str, json: bool = False) -> int:
    """Show what applying a folder would change.

    Parameters
    ----------
    folder
        The folder of YAML files.
    platform
        The base URL of the platform's object API.
    json
        Print JSON.
    """

    def action() -> None:
        difference = _run_on_reactor(
            lambda reactor: commands.diff(reactor, platform, folder)
        )
        if json:
            _print_json(vars(difference))
            return
        for word in ("added", "changed", "removed"):
            for name in getattr(difference, word):
                print(f"{word:8} {name}")
        if not difference.touched:
            print("no change")

    return _report_errors(action)


@app.command
def apply(
    folder: pathlib.Path,
    *,
    platform: str,
    author: str | None = None,
    seen: int | None = None,
    json: bool = False,
) -> int:
    """Make a folder the accepted configuration.

    Parameters
    ----------
    folder
        The folder of YAML files.
    platform
        The base URL of the platform's object API.
    author
        Who makes the change; the login name by default.
    seen
        The generation that the change is based on; any other is a conflict.
    json
        Print JSON.
    """
    name = author or getpass.getuser()
    generation = None if seen is None else ids.Generation(seen)

    def action() -> None:
        applied = _run_on_reactor(
            lambda reactor: commands.apply(
                reactor, platform, folder, name, generation
            )
        )
        if json:
            _print_json(vars(applied))
        elif applied.unchanged:
            print(f"no change: generation {applied.generation} stays")
        else:
            suffix = (
                " (an answer was lost; read back)" if applied.settled else ""
            )
            print(f"applied: generation {applied.generation}{suffix}")

    return _report_errors(action)


@app.command
def show(
    folder: pathlib.Path | None = None,
    *,
    platform: str | None = None,
    file: str | None = None,
    origin: bool = False,
) -> int:
    """Show the values of a folder, or the accepted files.

    Parameters
    ----------
    folder
        The folder of YAML files; by default the platform is read.
    platform
        The base URL of the platform's object API.
    file
        Print the exact content of this accepted file.
    origin
        Show the file and line that set each value.
    """

    def action() -> None:
        if folder is not None:
            _print_values(commands.value_origins(folder), origin)
        elif platform is not None:
            _print_accepted(platform, file, origin)
        else:
            raise errors.GodwitflowError("give a folder or --platform")

    return _report_errors(action)


def _print_values(values: list[tuple[str, str, str]], origin: bool) -> None:
    for path, value, place in values:
        suffix = f"  # {place}" if origin else ""
        print(f"{path}: {value}{suffix}")


def _print_accepted(platform: str, file: str | None, origin: bool) -> None:
    accepted = _run_on_reactor(
        lambda reactor: commands.read_accepted(reactor, platform)
    )
    if file is not None:
        for accepted_file in accepted.files:
            if accepted_file.name == file:
                sys.stdout.buffer.write(accepted_file.content)
                return
        raise errors.GodwitflowError(f"no accepted file {file!r}")
    head = accepted.head
    print(f"generation {head.generation} by {head.author}")
    print(f"change {head.change_id}")
    for accepted_file in accepted.files:
        print(
            f"{accepted_file.sha256[:12]} {len(accepted_file.content):7} "
            f"{accepted_file.name}"
        )
    if origin and accepted.files:
        _print_values(commands.config.value_origins(accepted.files), True)


@app.command
def status(*operators: str, json: bool = False) -> int:
    """Show each node's configuration, members and upstreams.

    Parameters
    ----------
    operators
        Operator URLs of one or more nodes; the other nodes are discovered.
    json
        Print JSON.
    """
    statuses = _run_on_reactor(
        lambda reactor: commands.status(reactor, list(operators))
    )
    if json:
        _print_json(statuses)
        return EXIT_OK
    for url, node_status in sorted(statuses.items()):
        if node_status is None:
            print(f"{url}: no answer")
            continue
        print(
            f"{node_status.node:12} {node_status.failure_domain:12} "
            f"{node_status.state:9} "
            f"generation {node_status.generation} "
            f"snapshots {node_status.snapshots} "
            f"owned {node_status.owned.get(node_status.node, 0)}"
        )
        for member in node_status.members:
            if member.state != "alive":
                print(f"    sees {member.node} {member.state}")
        for upstream in node_status.upstreams:
            if upstream.breaker != "closed" or upstream.leaving:
                print(f"    {upstream.upstream} {upstream.breaker}")
    missing = [
        url for url, node_status in statuses.items() if node_status is None
    ]
    return EXIT_FAILED if missing or not statuses else EXIT_OK


@app.command
def query(
    service: str,
    payload: str,
    *,
    entry: list[str],
    priority: str = "",
    deadline_ms: float = 0.0,
    least_coverage: float = 0.0,
    request_key: str | None = None,
    shard_key: str | None = None,
    once: bool = False,
) -> int:
    """Send one request as a caller.

    Parameters
    ----------
    service
        The service to query.
    payload
        Any JSON value.
    entry
        Caller URL of a node to start from; may be given several times.
    priority
        One of the service's priorities; its default if not given.
    deadline_ms
        The deadline; 0 selects that of the priority.
    least_coverage
        The smallest share of shards that an answer must cover; the request
        is refused if fewer answer.
    request_key
        Identifies a request that may run only once.
    shard_key
        Selects the only shard that the request is sent to.
    once
        The request is not idempotent; it needs a request key and a shard key.
    """

    def action() -> None:
        request = client.Request(
            service,
            _payload(payload),
            priority,
            deadline_ms,
            least_coverage,
            not once,
            request_key,
            shard_key,
        )
        result = _run_on_reactor(
            lambda reactor: commands.query(reactor, tuple(entry), request)
        )
        _print_json(result)
        if isinstance(result, answers.Refusal):
            raise errors.GodwitflowError(f"refused: {result.code.value}")

    return _report_errors(action)


def _payload(text: str) -> typing.Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        message = f"the payload is not JSON: {error}"
        raise errors.GodwitflowError(message) from error


@app.command
def demo(
    *,
    deployment: typing.Literal["brittany", "svealand"] = "brittany",
    serve_s: float = 0.0,
) -> int:
    """Run three nodes against fakes in this process, and query them.

    Parameters
    ----------
    deployment
        The deployment whose sizes are used.
    serve_s
        Keep serving for this many seconds, to try requests manually.
    """
    from godwitflow.lab import demo as demo_module

    return _run_on_reactor(
        lambda reactor: demo_module.run(reactor, deployment, serve_s)
    )


def main() -> None:
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
