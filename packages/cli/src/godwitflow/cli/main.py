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
from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.model import ids

EXIT_OK = 0
EXIT_FAILED = 1

app = cyclopts.App(
    name="godwitflow",
    help="Configure, watch and try a godwitflow deployment.",
)

Output = typing.Callable[[], None]


def _print_json(value: typing.Any) -> None:
    print(msgspec.json.encode(value, enc_hook=_plain).decode())


def _plain(value: typing.Any) -> typing.Any:
    return getattr(value, "__dict__", str(value))


def _run(work: typing.Callable[[typing.Any], typing.Any]) -> typing.Any:
    """Run a verb on the reactor and return what it returns."""
    kept: list[typing.Any] = []

    async def main(reactor: typing.Any) -> None:
        kept.append(await work(reactor))

    failed: list[BaseException] = []

    def note(failure: typing.Any) -> None:
        failed.append(failure.value)

    def start(reactor: typing.Any) -> typing.Any:
        running = defer.ensureDeferred(main(reactor))
        return running.addErrback(note)

    try:
        task.react(start)
    except SystemExit:
        pass
    if failed:
        raise failed[0]
    return kept[0]


def _guard(work: Output) -> int:
    """Run a verb; print an error of the project in full."""
    try:
        work()
    except errors.GodwitflowError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


@app.command
def check(folder: pathlib.Path, *, json: bool = False) -> int:
    """Check a configuration folder with no server.

    Parameters
    ----------
    folder
        The folder of YAML files.
    json
        Print the problems as JSON.
    """
    try:
        found = commands.check(folder)
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
        print(f"good: {len(found.services)} services")
    return EXIT_OK


@app.command
def explain(request: str, *files: pathlib.Path) -> int:
    """Print what the logs say of one request, in order.

    Parameters
    ----------
    request
        The request's id.
    files
        Logs of any number of nodes; standard input where none is named.
    """
    if files:
        lines = [
            line for file in files for line in file.read_text().splitlines()
        ]
    else:
        lines = sys.stdin.read().splitlines()
    story = commands.explain(request, lines)
    for line in story:
        print(line)
    if not story:
        print(f"no line of request {request}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


@app.command
def diff(folder: pathlib.Path, *, platform: str, json: bool = False) -> int:
    """Show what an apply would change.

    Parameters
    ----------
    folder
        The folder of YAML files.
    platform
        The base URL of the platform's object API.
    json
        Print JSON.
    """

    def work() -> None:
        found = _run(lambda reactor: commands.diff(reactor, platform, folder))
        if json:
            _print_json(vars(found))
            return
        for word in ("added", "changed", "removed"):
            for name in getattr(found, word):
                print(f"{word:8} {name}")
        if not found.touched:
            print("no change")

    return _guard(work)


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
        Who makes the change; the login name where not given.
    seen
        The generation that the change was made against.
    json
        Print JSON.
    """
    name = author or getpass.getuser()
    generation = None if seen is None else ids.Generation(seen)

    def work() -> None:
        done = _run(
            lambda reactor: commands.apply(
                reactor, platform, folder, name, generation
            )
        )
        if json:
            _print_json(vars(done))
        elif done.unchanged:
            print(f"no change: generation {done.generation} stays")
        else:
            lost = " (an answer was lost; read back)" if done.settled else ""
            print(f"applied: generation {done.generation}{lost}")

    return _guard(work)


@app.command
def show(
    folder: pathlib.Path | None = None,
    *,
    platform: str | None = None,
    file: str | None = None,
    origin: bool = False,
) -> int:
    """Show a folder's values, or the accepted files.

    Parameters
    ----------
    folder
        The folder of YAML files; without it, the platform is asked.
    platform
        The base URL of the platform's object API.
    file
        Print this accepted file as it was accepted.
    origin
        Say which file and line set each value.
    """

    def work() -> None:
        if folder is not None:
            _show_values(commands.origins(folder), origin)
        elif platform is not None:
            _show_accepted(platform, file, origin)
        else:
            raise errors.GodwitflowError("give a folder or --platform")

    return _guard(work)


def _show_values(rows: list[tuple[str, str, str]], origin: bool) -> None:
    for path, value, place in rows:
        suffix = f"  # {place}" if origin else ""
        print(f"{path}: {value}{suffix}")


def _show_accepted(platform: str, file: str | None, origin: bool) -> None:
    current = _run(lambda reactor: commands.accepted(reactor, platform))
    if file is not None:
        for item in current.files:
            if item.name == file:
                sys.stdout.buffer.write(item.content)
                return
        raise errors.GodwitflowError(f"no accepted file {file!r}")
    head = current.head
    print(f"generation {head.generation} by {head.author}")
    print(f"change {head.change_id}")
    for item in current.files:
        print(f"{item.sha256[:12]} {len(item.content):7} {item.name}")
    if origin and current.files:
        _show_values(commands.config.origins(current.files), True)


@app.command
def status(*operators: str, json: bool = False) -> int:
    """Show what each node has in force and whom it sees.

    Parameters
    ----------
    operators
        Operator URLs of one or more nodes; the rest are found.
    json
        Print JSON.
    """
    found = _run(lambda reactor: commands.status(reactor, list(operators)))
    if json:
        _print_json(found)
        return EXIT_OK
    for url, row in sorted(found.items()):
        if row is None:
            print(f"{url}: no answer")
            continue
        print(
            f"{row.node:12} {row.failure_domain:12} {row.state:9} "
            f"generation {row.generation} snapshots {row.snapshots} "
            f"owned {row.owned.get(row.node, 0)}"
        )
        for member in row.members:
            if member.state != "alive":
                print(f"    sees {member.node} {member.state}")
        for item in row.upstreams:
            if item.breaker != "closed" or item.leaving:
                print(f"    {item.upstream} {item.breaker}")
    missing = [url for url, row in found.items() if row is None]
    return EXIT_FAILED if missing or not found else EXIT_OK


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
    """Send one request as a caller would.

    Parameters
    ----------
    service
        The service to ask.
    payload
        Any JSON value.
    entry
        Caller URLs known beforehand; may be given several times.
    priority
        One of the service's priorities.
    deadline_ms
        The time to answer in; 0 takes the priority's.
    least_coverage
        The share of shards below which a refusal is wanted.
    request_key
        Names a request that may run only once.
    shard_key
        Picks the one shard of a keyed request.
    once
        The request is not idempotent.
    """

    def work() -> None:
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
        result = _run(
            lambda reactor: commands.query(reactor, tuple(entry), request)
        )
        _print_json(result)
        if isinstance(result, answers.Refusal):
            raise errors.GodwitflowError(f"refused: {result.code.value}")

    return _guard(work)


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
    """Run stand-ins and three nodes in this process, and ask them.

    Parameters
    ----------
    deployment
        Whose sizes to use.
    serve_s
        Go on serving for so many seconds, to try calls by hand.
    """
    from godwitflow.lab import demo as demo_module

    return _run(lambda reactor: demo_module.run(reactor, deployment, serve_s))


def main() -> None:
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
