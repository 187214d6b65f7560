"""Schemas of settings, and the check of a YAML tree against one."""

import dataclasses
import re
import typing

from godwitflow.settings import problems
from godwitflow.settings import yaml_tree

REQUIRED = object()
"""Marks a field without a default."""

NAME_PATTERN = r"[a-z0-9][a-z0-9_.-]{0,62}"


@dataclasses.dataclass(frozen=True)
class Number:
    """A finite number from ``low`` to ``high``, inclusive."""

    low: float
    high: float
    integer: bool = False


@dataclasses.dataclass(frozen=True)
class Text:
    """A string that matches a pattern; ``allowed`` describes it."""

    pattern: str
    allowed: str


@dataclasses.dataclass(frozen=True)
class Boolean:
    """True or false."""


@dataclasses.dataclass(frozen=True)
class ListOf:
    """A sequence whose items all have the same schema."""

    item: "Spec"


@dataclasses.dataclass(frozen=True)
class MappingOf:
    """A mapping from names to values of the same schema."""

    value: "Spec"


@dataclasses.dataclass(frozen=True)
class Field:
    """A named field of a record."""

    name: str
    spec: "Spec"
    default: object = REQUIRED


@dataclasses.dataclass(frozen=True)
class Record:
    """A mapping with known keys, passed to ``factory`` as keywords."""

    factory: typing.Callable[..., object]
    fields: tuple[Field, ...]


Spec = Number | Text | Boolean | ListOf | MappingOf | Record


class Checker:
    """Checks trees and collects all problems found."""

    def __init__(self) -> None:
        self.problems: list[problems.Problem] = []

    def report(
        self, node: yaml_tree.Node, path: str, found: str, allowed: str
    ) -> None:
        """Record a problem at a node's place."""
        problem = problems.Problem(node.place, path, found, allowed)
        self.problems.append(problem)

    def check(self, node: yaml_tree.Node, spec: Spec, path: str) -> typing.Any:
        """Return a node's value, or report a problem and return None."""
        match spec:
            case Number():
                return self._number(node, spec, path)
            case Text():
                return self._text(node, spec, path)
            case Boolean():
                return self._boolean(node, path)
            case ListOf():
                return self._list(node, spec, path)
            case MappingOf():
                return self._mapping_of(node, spec, path)
            case Record():
                return self._record(node, spec, path)

    def _number(
        self, node: yaml_tree.Node, spec: Number, path: str
    ) -> float | int | None:
        kind = "a whole number" if spec.integer else "a number"
        allowed = f"{kind} from {spec.low:g} to {spec.high:g}"
        value = node.value if isinstance(node, yaml_tree.Scalar) else None
        types = int if spec.integer else (int, float)
        is_number = isinstance(value, types) and not isinstance(value, bool)
        if is_number and spec.low <= value <= spec.high:  # type: ignore
            return value  # type: ignore[return-value]
        self.report(node, path, describe(node), allowed)
        return None

    def _text(self, node: yaml_tree.Node, spec: Text, path: str) -> str | None:
        value = node.value if isinstance(node, yaml_tree.Scalar) else None
        if isinstance(value, str) and re.fullmatch(spec.pattern, value):
            return value
        self.report(node, path, describe(node), spec.allowed)
        return None

    def _boolean(self, node: yaml_tree.Node, path: str) -> bool | None:
        value = node.value if isinstance(node, yaml_tree.Scalar) else None
        if isinstance(value, bool):
            return value
        self.report(node, path, describe(node), "true or false")
        return None

    def _list(
        self, node: yaml_tree.Node, spec: ListOf, path: str
    ) -> tuple | None:
        if not isinstance(node, yaml_tree.Sequence):
            self.report(node, path, describe(node), "a sequence")
            return None
        return tuple(
            self.check(item, spec.item, f"{path}[{index}]")
            for index, item in enumerate(node.items)
        )

    def _mapping_of(
        self, node: yaml_tree.Node, spec: MappingOf, path: str
    ) -> dict | None:
        if not isinstance(node, yaml_tree.Mapping):
            self.report(node, path, describe(node), "a mapping of names")
            return None
        values = {}
        for key, child in node.items.items():
            child_path = join_path(path, key)
            if not re.fullmatch(NAME_PATTERN, key):
                allowed = "a name of a-z, 0-9, '_', '.', '-'"
                self.report(child, child_path, repr(key), allowed)
                continue
            values[key] = self.check(child, spec.value, child_path)
        return values

    def _record(
        self, node: yaml_tree.Node, spec: Record, path: str
    ) -> object | None:
        if not isinstance(node, yaml_tree.Mapping):
            self.report(node, path, describe(node), "a mapping")
            return None
        count_before = len(self.problems)
        self._report_unknown_keys(node, spec, path)
        values = {}
        for field in spec.fields:
            child = node.items.get(field.name)
            child_path = join_path(path, field.name)
            if child is not None:
                values[field.name] = self.check(child, field.spec, child_path)
            elif field.default is REQUIRED:
                self.report(node, child_path, "nothing", "a value; required")
            else:
                values[field.name] = field.default
        if len(self.problems) > count_before:
            return None
        return spec.factory(**values)

    def _report_unknown_keys(
        self, node: yaml_tree.Mapping, spec: Record, path: str
    ) -> None:
        known = {field.name for field in spec.fields}
        for key in node.items:
            if key in known:
                continue
            place = node.key_places[key]
            allowed = "one of " + ", ".join(sorted(known))
            key_path = join_path(path, key)
            problem = problems.Problem(
                place, key_path, "an unknown key", allowed
            )
            self.problems.append(problem)


def join_path(path: str, key: str) -> str:
    """Append a key to a key path."""
    return f"{path}.{key}" if path else key


def describe(node: yaml_tree.Node) -> str:
    """Return a short description of a node's value."""
    match node:
        case yaml_tree.Mapping():
            return "a mapping"
        case yaml_tree.Sequence():
            return "a sequence"
        case yaml_tree.Scalar(value=None):
            return "null"
        case yaml_tree.Scalar(value=str() as text):
            return repr(text if len(text) <= 60 else text[:60] + "...")
        case yaml_tree.Scalar(value=value):
            return str(value).lower() if value is True else str(value)
