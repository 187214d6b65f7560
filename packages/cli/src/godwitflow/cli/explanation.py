"""Explains one request from the logs of any nodes.

A request's own lines say what happened to it. Why its calls went to some
upstreams and not to others follows from what the node knew of them at the
time, which it logs as that changes.
"""

import dataclasses
import typing

import msgspec

MS_PER_S = 1_000.0
# Shown in other places of a line, or the same in each.
HIDDEN_FIELDS = ("time", "node", "event", "request", "steady_ms")

Entry = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """What a node knew of an upstream that kept calls from it.

    ``until_ms`` is the end on the node's steady clock, if it is known.
    """

    upstream: str
    service: str
    text: str
    until_ms: float | None = None


class NodeView:
    """What one node knows of upstreams, as its log lines are read."""

    def __init__(self) -> None:
        self._conditions: dict[tuple[str, str], Condition] = {}
        self._evacuated: set[str] = set()

    def read(self, entry: Entry) -> None:
        """Follow a line of the node's log, in order of time."""
        match entry.get("event"):
            case "started":
                self._conditions.clear()
                self._evacuated.clear()
            case "evacuation":
                self._evacuated.add(str(entry.get("failure_domain")))
            case "evacuation_ended":
                self._evacuated.discard(str(entry.get("failure_domain")))
            case "upstream_leaving":
                self._begin(entry, "leaving", "leaves")
            case "upstream_paused":
                pause_ms = _number(entry, "pause_ms")
                until_ms = _number(entry, "steady_ms") + pause_ms
                self._begin(entry, "paused", "wants no calls", until_ms)
            case "upstream_resumed":
                self._end(entry, "paused")
            case "upstream_doubted":
                self._begin(entry, "doubted", "does not answer")
            case "upstream_back":
                self._end(entry, "doubted")
            case "limit_known":
                text = f"takes {entry.get('calls_per_s')} calls/s"
                self._begin(entry, "limited", text)
            case "limit_ended":
                self._end(entry, "limited")

    def _begin(
        self,
        entry: Entry,
        kind: str,
        text: str,
        until_ms: float | None = None,
    ) -> None:
        upstream = str(entry.get("upstream"))
        service = str(entry.get("service"))
        self._conditions[upstream, kind] = Condition(
            upstream, service, text, until_ms
        )

    def _end(self, entry: Entry, kind: str) -> None:
        self._conditions.pop((str(entry.get("upstream")), kind), None)

    def of(self, services: typing.Container[str]) -> list[Condition]:
        """Return what is known of the upstreams of services."""
        return [
            condition
            for condition in self._conditions.values()
            if condition.service in services
        ]

    def evacuations(self) -> list[Condition]:
        """Return the failure domains whose upstreams get no calls."""
        return [
            Condition("upstreams", domain, "get no calls: evacuated")
            for domain in sorted(self._evacuated)
        ]


def explain(request: str, lines: typing.Iterable[str]) -> list[str]:
    """Return a request's lines from the logs of any nodes, sorted by time.

    A line is parsed from its first brace, so it may have a prefix; lines
    that hold no JSON object are skipped. Each returned line starts with
    the time, the node and the event. Indented lines follow, with what the
    node knew of the upstreams of the services that the line names.
    """
    entries = [
        entry for line in lines if (entry := _parse_line(line)) is not None
    ]
    entries.sort(key=lambda entry: _number(entry, "time"))
    views: dict[str, NodeView] = {}
    explained: list[str] = []
    shown: set[tuple[str, Condition]] = set()
    for entry in entries:
        node = str(entry.get("node", "?"))
        view = views.setdefault(node, NodeView())
        if entry.get("request") != request:
            view.read(entry)
            continue
        explained.append(_format_entry(entry))
        services = _services(entry)
        known = view.of(services) + (view.evacuations() if services else [])
        for condition in known:
            if (node, condition) not in shown:
                shown.add((node, condition))
                explained.append(_format_condition(condition, entry))
    return explained


def _parse_line(line: str) -> Entry | None:
    brace = line.find("{")
    if brace < 0:
        return None
    try:
        entry = msgspec.json.decode(line[brace:])
    except (msgspec.DecodeError, RecursionError):
        return None
    return entry if isinstance(entry, dict) else None


def _number(entry: Entry, field: str) -> float:
    value = entry.get(field)
    return value if isinstance(value, (int, float)) else 0.0


def _services(entry: Entry) -> set[str]:
    """Return the services that a request's line names."""
    names = {entry.get("service"), entry.get("last")}
    missing = entry.get("missing")
    if isinstance(missing, dict):
        names.update(missing)
    return {name for name in names if isinstance(name, str)}


def _format_entry(entry: Entry) -> str:
    rest = " ".join(
        f"{name}={value}"
        for name, value in entry.items()
        if name not in HIDDEN_FIELDS
    )
    prefix = f"{_number(entry, 'time'):.3f} {entry.get('node', '?')}"
    return f"{prefix} {entry.get('event', '?')} {rest}"


def _format_condition(condition: Condition, entry: Entry) -> str:
    text = f"    {condition.upstream} of {condition.service} {condition.text}"
    if condition.until_ms is None:
        return text
    left_s = (condition.until_ms - _number(entry, "steady_ms")) / MS_PER_S
    return f"{text} for {max(0.0, left_s):.1f} s more"
