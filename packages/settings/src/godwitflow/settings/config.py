"""The configuration of the whole system, read from a folder.

services:
  seats:
    index: index/seats
    priorities:
      steward: {rank: 0, target_ms: 120, deadline_ms: 600}
"""

import dataclasses

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.settings import folder
from godwitflow.settings import problems
from godwitflow.settings import schema
from godwitflow.settings import yaml_tree

MAX_DEADLINE_MS = 600_000


@dataclasses.dataclass(frozen=True)
class Priority:
    """A priority class; rank 0 is the most urgent.

    ``floor_share`` is the share of slots that the class keeps while
    others overload the service. ``worth`` is the weight of its answers in
    reports.
    """

    rank: int
    target_ms: float
    deadline_ms: float
    floor_share: float = 0.0
    worth: float = 1.0


@dataclasses.dataclass(frozen=True)
class Hedge:
    """When a slow piece is sent to a second replica, and how often.

    A call is slow once it runs longer than ``quantile`` of the recent
    calls, and longer than ``min_delay_ms``. ``budget_share`` limits the
    second calls to a share of the first ones.
    """

    budget_share: float = 0.02
    quantile: float = 0.98
    min_delay_ms: float = 5.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A query service over the shards of one index object.

    A request that was never answered before runs on one shard first if
    its rank is ``canary_from_rank`` or less urgent, so that one which
    crashes upstreams does not reach all shards. 16 turns this off.
    """

    index: str
    priorities: dict[str, Priority]
    default_priority: str = ""
    slots: int = 2
    connection_cap: int = 25
    batch_size: int = 1
    batch_window_ms: float = 0.0
    call_timeout_ms: float = 2_000.0
    retry_budget_share: float = 0.1
    canary_from_rank: int = 1
    max_body_bytes: int = 65_536
    hedge: Hedge = Hedge()

    def priority(self, name: str) -> tuple[ids.Rank, Priority] | None:
        """Return a priority's rank and settings, or None if unknown.

        An empty name selects ``default_priority``, or the least urgent
        priority if that is not set.
        """
        selected_name = (
            name or self.default_priority or self.priority_names[-1]
        )
        selected = self.priorities.get(selected_name)
        if selected is None:
            return None
        return ids.Rank(self.priority_names.index(selected_name)), selected

    @property
    def priority_names(self) -> list[str]:
        """The names of the priorities, most urgent first."""
        by_rank = self.priorities.items()
        return [name for name, _ in sorted(by_rank, key=_rank_of)]

    @property
    def floor_shares(self) -> tuple[float, ...]:
        """The floor share of each rank, most urgent first."""
        return tuple(
            self.priorities[name].floor_share for name in self.priority_names
        )


def _rank_of(item: tuple[str, Priority]) -> int:
    return item[1].rank


@dataclasses.dataclass(frozen=True)
class Addresses:
    """How many node addresses a caller gets, and for how long."""

    count: int = 3
    max_age_ms: float = 5_000.0


@dataclasses.dataclass(frozen=True)
class Journal:
    """The journal of request keys, so that a request runs at most once."""

    partitions: int = 16
    retention_ms: float = 600_000.0
    commit_interval_ms: float = 50.0
    claim_timeout_ms: float = 1_500.0


@dataclasses.dataclass(frozen=True)
class Config:
    """The configuration of one accepted generation."""

    services: dict[str, Service]
    addresses: Addresses = Addresses()
    journal: Journal = Journal()


_MS = schema.Number(0, MAX_DEADLINE_MS)
_SHARE = schema.Number(0, 1)
_NAME = schema.Text(schema.NAME_PATTERN, "a name of a-z, 0-9, '_', '.', '-'")
_OBJECT = schema.Text(r"[a-zA-Z0-9._/-]{1,200}", "an object name")

PRIORITY_SCHEMA = schema.Record(
    Priority,
    (
        schema.Field("rank", schema.Number(0, 15, integer=True)),
        schema.Field("target_ms", schema.Number(1, MAX_DEADLINE_MS)),
        schema.Field("deadline_ms", schema.Number(1, MAX_DEADLINE_MS)),
        schema.Field("floor_share", _SHARE, 0.0),
        schema.Field("worth", schema.Number(0, 1e6), 1.0),
    ),
)

HEDGE_SCHEMA = schema.Record(
    Hedge,
    (
        schema.Field("budget_share", schema.Number(0, 0.5), 0.02),
        schema.Field("quantile", schema.Number(0.5, 0.9999), 0.98),
        schema.Field("min_delay_ms", _MS, 5.0),
    ),
)

SERVICE_SCHEMA = schema.Record(
    Service,
    (
        schema.Field("index", _OBJECT),
        schema.Field("priorities", schema.MappingOf(PRIORITY_SCHEMA)),
        schema.Field("default_priority", _NAME, ""),
        schema.Field("slots", schema.Number(1, 1000, integer=True), 2),
        schema.Field(
            "connection_cap", schema.Number(2, 10_000, integer=True), 25
        ),
        schema.Field("batch_size", schema.Number(1, 1000, integer=True), 1),
        schema.Field("batch_window_ms", schema.Number(0, 1000), 0.0),
        schema.Field(
            "call_timeout_ms", schema.Number(1, MAX_DEADLINE_MS), 2_000.0
        ),
        schema.Field("retry_budget_share", _SHARE, 0.1),
        schema.Field(
            "canary_from_rank", schema.Number(0, 16, integer=True), 1
        ),
        schema.Field(
            "max_body_bytes",
            schema.Number(64, 1_000_000, integer=True),
            65_536,
        ),
        schema.Field("hedge", HEDGE_SCHEMA, Hedge()),
    ),
)

ADDRESSES_SCHEMA = schema.Record(
    Addresses,
    (
        schema.Field("count", schema.Number(1, 20, integer=True), 3),
        schema.Field("max_age_ms", schema.Number(100, 600_000), 5_000.0),
    ),
)

JOURNAL_SCHEMA = schema.Record(
    Journal,
    (
        schema.Field("partitions", schema.Number(1, 256, integer=True), 16),
        schema.Field(
            "retention_ms", schema.Number(1_000, 86_400_000), 600_000.0
        ),
        schema.Field("commit_interval_ms", schema.Number(0, 10_000), 50.0),
        schema.Field("claim_timeout_ms", schema.Number(10, 60_000), 1_500.0),
    ),
)

CONFIG_SCHEMA = schema.Record(
    Config,
    (
        schema.Field("services", schema.MappingOf(SERVICE_SCHEMA)),
        schema.Field("addresses", ADDRESSES_SCHEMA, Addresses()),
        schema.Field("journal", JOURNAL_SCHEMA, Journal()),
    ),
)


def parse(files: tuple[folder.File, ...]) -> Config:
    """Merge and check the files of a folder.

    Raises :class:`errors.SettingsError` with all problems found.
    """
    merged, merge_problems = folder.merge(files)
    checker = schema.Checker()
    config = checker.check(merged, CONFIG_SCHEMA, "")
    if isinstance(config, Config):
        _check_services(checker, merged, config)
    all_problems = tuple(merge_problems) + tuple(checker.problems)
    if all_problems:
        raise errors.SettingsError(_sort_by_place(all_problems))
    return config


def _sort_by_place(
    unsorted: tuple[problems.Problem, ...],
) -> tuple[problems.Problem, ...]:
    def order(problem: problems.Problem) -> tuple[str, int, str]:
        return problem.place.file, problem.place.line, problem.key_path

    return tuple(sorted(unsorted, key=order))


def _check_services(
    checker: schema.Checker, merged: yaml_tree.Mapping, config: Config
) -> None:
    service_nodes = merged.items["services"]
    assert isinstance(service_nodes, yaml_tree.Mapping)
    for name, service in config.services.items():
        node = service_nodes.items[name]
        path = f"services.{name}"
        _check_service(checker, node, path, service)


def _check_service(
    checker: schema.Checker,
    node: yaml_tree.Node,
    path: str,
    service: Service,
) -> None:
    def report(key: str, found: str, allowed: str) -> None:
        key_node = node
        if isinstance(node, yaml_tree.Mapping):
            key_node = node.items.get(key, node)
        checker.report(key_node, f"{path}.{key}", found, allowed)

    ranks = [priority.rank for priority in service.priorities.values()]
    if not ranks:
        report("priorities", "none", "one priority or more")
        return
    if len(set(ranks)) != len(ranks):
        report("priorities", "a rank used twice", "a different rank for each")
    if sum(service.floor_shares) > 0.9:
        total = f"floor shares that add up to {sum(service.floor_shares):g}"
        report("priorities", total, "at most 0.9")
    for name, priority in service.priorities.items():
        if priority.deadline_ms < priority.target_ms:
            found = f"{name}: deadline_ms below target_ms"
            report("priorities", found, "deadline_ms >= target_ms")
    if service.slots > service.connection_cap // 2:
        allowed = "at most half of connection_cap, which a node may use"
        report("slots", f"{service.slots}", allowed)
    default = service.default_priority
    if default and default not in service.priorities:
        allowed = "one of " + ", ".join(service.priority_names)
        report("default_priority", repr(default), allowed)


def value_origins(
    files: tuple[folder.File, ...],
) -> list[tuple[str, str, str]]:
    """List all values as (key path, value, place that set the value)."""
    merged, _ = folder.merge(files)
    origins: list[tuple[str, str, str]] = []
    _collect_values(merged, "", origins)
    return origins


def _collect_values(
    node: yaml_tree.Node, path: str, origins: list[tuple[str, str, str]]
) -> None:
    match node:
        case yaml_tree.Mapping():
            for key, child in node.items.items():
                _collect_values(child, schema.join_path(path, key), origins)
        case yaml_tree.Sequence():
            for index, child in enumerate(node.items):
                _collect_values(child, f"{path}[{index}]", origins)
        case yaml_tree.Scalar():
            text = schema.describe(node)
            origins.append((path, text, str(node.place)))
