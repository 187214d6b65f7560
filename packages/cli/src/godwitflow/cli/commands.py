"""The operator's commands as functions, without parsing and printing.

Each returns a value or raises a subclass of GodwitflowError.
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
    """Check a folder without any server; raises SettingsError."""
    return config.parse(folder.read(path))


def value_origins(path: pathlib.Path) -> list[tuple[str, str, str]]:
    """List all values of a folder as (key path, value, place).

    Raises SettingsError if the folder is not valid.
    """
    files = folder.read(path)
    config.parse(files)
    return config.value_origins(files)


async def diff(
    reactor: typing.Any, platform: str, path: pathlib.Path
) -> config_store.Difference:
    """Return what applying a folder would change."""
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
    expected_generation: ids.Generation | None = None,
) -> config_store.Applied:
    """Check a folder and make it the accepted configuration."""
    files = folder.read(path)
    config.parse(files)
    store = store_http.HttpStore(reactor, platform)
    return await config_store.apply(store, files, author, expected_generation)


async def read_accepted(
    reactor: typing.Any, platform: str
) -> config_store.AcceptedConfig:
    """Read the accepted configuration."""
    return await config_store.read(store_http.HttpStore(reactor, platform))


async def status(
    reactor: typing.Any, operator_urls: list[str]
) -> dict[str, operators.Status | None]:
    """Return the status of nodes by operator URL.

    It is None for a node that does not respond with one. The members that
    a node reports are queried too.
    """
    statuses: dict[str, operators.Status | None] = {}
    pending = list(operator_urls)
    while pending:
        url = pending.pop(0)
        if url in statuses:
            continue
        statuses[url] = await _status_of(reactor, url)
        node_status = statuses[url]
        if node_status is not None:
            pending += [member.operator for member in node_status.members]
        pending = [url for url in pending if url and url not in statuses]
    return statuses


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
