"""The settings of a godwitflowd process, from a file and flags."""

import dataclasses
import pathlib

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.settings import problems
from godwitflow.settings import schema
from godwitflow.settings import yaml_tree

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """Settings of one godwitflowd.

    ``address`` is the IP address at which peers and callers reach it, and
    ``platform`` the base URL of the platform's object API. A port of 0
    selects any free port. ``seeds`` are inner addresses of peers,
    contacted if the platform's list of VMs is not available.
    ``curve_secret_key`` and ``curve_peers`` turn on CURVE authentication
    of the inner protocol.
    """

    vm_id: str
    failure_domain: str
    address: str
    platform: str
    caller_port: int = 8080
    operator_port: int = 8081
    inner_port: int = 8082
    operator_address: str = "127.0.0.1"
    seeds: tuple[str, ...] = ()
    trace_file: str = ""
    trace_otlp: str = ""
    trace_share: float = 0.01
    curve_secret_key: str = ""
    curve_peers: tuple[str, ...] = ()

    @property
    def node(self) -> ids.NodeId:
        """The node's id, which is the VM's id."""
        return ids.NodeId(self.vm_id)


_IP = schema.Text(r"[0-9.]{7,15}|[0-9a-fA-F:]{2,39}", "an IP number")
_URL = schema.Text(r"http://\S{1,200}", "an http:// URL")
_INNER = schema.Text(r"tcp://\S{1,200}", "a tcp:// address")
_PORT = schema.Number(0, MAX_PORT, integer=True)
_ID = schema.Text(r"[A-Za-z0-9_.-]{1,64}", "1 to 64 of A-Z a-z 0-9 _ . -")
_KEY = schema.Text(r"\S{40}", "a 40-character Z85 key")

PROCESS_SCHEMA = schema.Record(
    ProcessSettings,
    (
        schema.Field("vm_id", _ID),
        schema.Field("failure_domain", _ID),
        schema.Field("address", _IP),
        schema.Field("platform", _URL),
        schema.Field("caller_port", _PORT, 8080),
        schema.Field("operator_port", _PORT, 8081),
        schema.Field("inner_port", _PORT, 8082),
        schema.Field("operator_address", _IP, "127.0.0.1"),
        schema.Field("seeds", schema.ListOf(_INNER), ()),
        schema.Field("trace_file", schema.Text(r"\S{0,400}", "a path"), ""),
        schema.Field("trace_otlp", _URL, ""),
        schema.Field("trace_share", schema.Number(0, 1), 0.01),
        schema.Field("curve_secret_key", _KEY, ""),
        schema.Field("curve_peers", schema.ListOf(_KEY), ()),
    ),
)


def parse(
    file: str, content: bytes, overrides: dict[str, str | int]
) -> ProcessSettings:
    """Check a process file; ``overrides`` are the flags, by setting.

    Raises :class:`errors.SettingsError` with all problems found; those
    of a flag have the place ``flag --name``.
    """
    tree, file_problems = yaml_tree.read(file, content)
    items = dict(tree.items)
    places = dict(tree.key_places)
    for name, value in overrides.items():
        place = problems.Place(f"flag --{name.replace('_', '-')}")
        items[name] = yaml_tree.Scalar(place, value)
        places[name] = place
    merged = yaml_tree.Mapping(tree.place, items, places)
    checker = schema.Checker()
    settings = checker.check(merged, PROCESS_SCHEMA, "")
    all_problems = tuple(file_problems) + tuple(checker.problems)
    if all_problems:
        raise errors.SettingsError(all_problems)
    return settings


def load(
    path: pathlib.Path, overrides: dict[str, str | int]
) -> ProcessSettings:
    """Read and check a process file; raises SettingsError."""
    try:
        content = path.read_bytes()
    except OSError as error:
        place = problems.Place(str(path))
        problem = problems.Problem(place, "", str(error), "a file")
        raise errors.SettingsError((problem,)) from error
    return parse(path.name, content, overrides)
