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

    item: "Schema"


@dataclasses.dataclass(frozen=True)
class MappingOf:
    """A mapping from names to values of the same schema."""

    value: "Schema"


@dataclasses.dataclass(frozen=True)
class Field:
    """A named field of a record."""

    name: str
    schema: "Schema"
    default: object = REQUIRED


@dataclasses.dataclass(frozen=True)
class Record:
    """A mapping with known keys, passed to ``factory`` as keywords."""

    factory: typing.Callable[..., object]
    fields: tuple[Field, ...]


Schema = Number | Text | Boolean | ListOf | MappingOf | Record


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

    def check(
        self, node: yaml_tree.Node, schema: Schema, path: str
    ) -> typing.Any:
        """Return a node's value, or report a problem and return None."""
        match schema:
            case Number():
                return self._number(node, schema, path)
            case Text():
                return self._text(node, schema, path)
            case Boolean():
                return self._boolean(node, path)
            case ListOf():
                return self._list(node, schema, path)
            case MappingOf():
                return self._mapping_of(node, schema, path)
            case Record():
                return self._record(node, schema, path)

    def _number(
        self, node: yaml_tree.Node, schema: Number, path: str
    ) -> float | int | None:
        kind = "a whole number" if schema.integer else "a number"
        allowed = f"{kind} from {schema.low:g} to {schema.high:g}"
        value = node.value if isinstance(node, yaml_tree.Scalar) else None
        types = int if schema.integer else (int, float)
        is_number = isinstance(value, types) and not isinstance(value, bool)
        if is_number and schema.low <= value <= schema.high:  # type: ignore
            return value  # type: ignore[return-value]
        self.report(node, path, describe(node), allowed)
        return None

    def _text(
        self, node: yaml_tree.Node, schema: Text, path: str
    ) -> str | None:
        value = node.value if isinstance(node, yaml_tree.Scalar) else None
        if isinstance(value, str) and re.fullmatch(schema.pattern, value):
            return value
        self.report(node, path, describe(node), schema.allowed)
        return None

    def _boolean(self, node: yaml_tree.Node, path: str) -> bool | None:
        value = node.value if isinstance(node, yaml_tree.Scalar) else None
        if isinstance(value, bool):
            return value
        self.report(node, path, describe(node), "true or false")
        return None

    def _list(
        self, node: yaml_tree.Node, schema: ListOf, path: str
    ) -> tuple | None:
        if not isinstance(node, yaml_tree.Sequence):
            self.report(node, path, describe(node), "a sequence")
            return None
        return tuple(
            self.check(item, schema.item, f"{path}[{index}]")
            for index, item in enumerate(node.items)
        )

    def _mapping_of(
        self, node: yaml_tree.Node, schema: MappingOf, path: str
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
            values[key] = self.check(child, schema.value, child_path)
        return values

    def _record(
        self, node: yaml_tree.Node, schema: Record, path: str
    ) -> object | None:
        if not isinstance(node, yaml_tree.Mapping):
            self.report(node, path, describe(node), "a mapping")
            return None
        count_before = len(self.problems)
        self._report_unknown_keys(node, schema, path)
        values = {}
        for field in schema.fields:
            child = node.items.get(field.name)
            child_path = join_path(path, field.name)
            if child is not None:
                values[field.name] = self.check(
                    child, field.schema, child_path
                )
            elif field.default is REQUIRED:
                self.report(node, child_path, "nothing", "a value; required")
            else:
                values[field.name] = field.default
        if len(self.problems) > count_before:
            return None
        return schema.factory(**values)

    def _report_unknown_keys(
        self, node: yaml_tree.Mapping, schema: Record, path: str
    ) -> None:
        allowed_keys = {field.name for field in schema.fields}
        for key in node.items:
            if key in allowed_keys:
                continue
            place = node.key_places[key]
            allowed = "one of " + ", ".join(sorted(allowed_keys))
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
