"""What an operator can do, as plain functions.

The command line is a thin shell over these; each takes what it works on
and returns a value or raises one of the project's errors.
"""

import pathlib
import typing

import msgspec
import treq

from godwitflow.caller import client
from godwitflow.daemon import operators
from godwitflow.model import ids
from godwitflow.settings import config
from godwitflow.settings import folder
from godwitflow.store import config_store
from godwitflow.store import http as store_http

STATUS_TIMEOUT_S = 3.0

_status_decoder = msgspec.json.Decoder(operators.Status)


def check(path: pathlib.Path) -> config.Config:
    """Check a folder with no server; raises ``SettingsError``."""
    return config.parse(folder.read(path))


def origins(path: pathlib.Path) -> list[tuple[str, str, str]]:
    """List each value of a folder with the place that set it."""
    files = folder.read(path)
    config.parse(files)
    return config.origins(files)


async def diff(
    reactor: typing.Any, platform: str, path: pathlib.Path
) -> config_store.Difference:
    """Return what an apply of a folder would change."""
    files = folder.read(path)
    config.parse(files)
    store = store_http.HttpStore(reactor, platform)
    head, _ = await config_store.read_head(store)
    refs = config_store.stored_config.file_refs(files)
    return config_store.compare(head.files, refs)


async def apply(
    reactor: typing.Any,
    platform: str,
    path: pathlib.Path,
    author: str,
    seen: ids.Generation | None = None,
) -> config_store.Applied:
    """Check a folder and make it the accepted configuration."""
    files = folder.read(path)
    config.parse(files)
    store = store_http.HttpStore(reactor, platform)
    return await config_store.apply(store, files, author, seen)


async def accepted(reactor: typing.Any, platform: str) -> config_store.Current:
    """Read the accepted configuration back."""
    return await config_store.read(store_http.HttpStore(reactor, platform))


async def status(
    reactor: typing.Any, operator_urls: list[str]
) -> dict[str, operators.Status | None]:
    """Ask nodes for their status; None for one that does not answer.

    Nodes that the first ones know of are asked too.
    """
    found: dict[str, operators.Status | None] = {}
    waiting = list(operator_urls)
    while waiting:
        url = waiting.pop(0)
        if url in found:
            continue
        found[url] = await _status_of(reactor, url)
        answer = found[url]
        if answer is not None:
            waiting += [row.operator for row in answer.members]
        waiting = [item for item in waiting if item and item not in found]
    return found


async def _status_of(reactor: typing.Any, url: str) -> operators.Status | None:
    try:
        response = await treq.get(
            f"{url}/status", timeout=STATUS_TIMEOUT_S, reactor=reactor
        )
        body = await treq.content(response)
        return _status_decoder.decode(body)
    except Exception:
        return None


async def query(
    reactor: typing.Any, entry_points: tuple[str, ...], request: client.Request
) -> client.Result:
    """Send one request as a caller would."""
    caller = client.Caller(reactor, entry_points)
    try:
        return await caller.send_request(request)
    finally:
        await caller.close()


def explain(request: str, lines: typing.Iterable[str]) -> list[str]:
    """Return the story of one request from the log lines of many nodes.

    A line counts from its first brace, so that lines with a prefix are
    read as well; what is no JSON object is passed over. The lines come in
    the order of their time, each with its node and event first.
    """
    rows = [row for line in lines if (row := _log_row(line)) is not None]
    mine = [row for row in rows if row.get("request") == request]
    mine.sort(key=lambda row: row.get("time", 0.0))
    return [_story_line(row) for row in mine]


def _log_row(line: str) -> dict[str, typing.Any] | None:
    brace = line.find("{")
    if brace < 0:
        return None
    try:
        row = msgspec.json.decode(line[brace:])
    except msgspec.DecodeError:
        return None
    return row if isinstance(row, dict) else None


def _story_line(row: dict[str, typing.Any]) -> str:
    told = ("time", "node", "event", "request", "steady_ms")
    rest = " ".join(
        f"{name}={value}" for name, value in row.items() if name not in told
    )
    head = f"{row.get('time', 0.0):.3f} {row.get('node', '?')}"
    return f"{head} {row.get('event', '?')} {rest}"
