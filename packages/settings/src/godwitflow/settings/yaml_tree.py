"""Reads YAML text into a tree of values with their file and line.

Only mappings with string keys, sequences and scalars are accepted, and
no anchors or aliases. Duplicate keys are reported as problems, because it
would not be clear from the file which of them applies.
"""

import dataclasses
import functools
import typing

import yaml

from godwitflow.settings import problems

MAX_DEPTH = 20
MAX_CACHED_DOCUMENTS = 4_096
PLAIN_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}"
    for name in ("map", "seq", "str", "int", "float", "bool", "null")
)


@dataclasses.dataclass(frozen=True)
class Mapping:
    """A mapping; ``key_places`` holds the place of each key."""

    place: problems.Place
    items: dict[str, "Node"]
    key_places: dict[str, problems.Place]


@dataclasses.dataclass(frozen=True)
class Sequence:
    """A sequence of nodes."""

    place: problems.Place
    items: list["Node"]


@dataclasses.dataclass(frozen=True)
class Scalar:
    """A string, number, boolean or null."""

    place: problems.Place
    value: str | int | float | bool | None


Node = Mapping | Sequence | Scalar


class _TreeBuilder:
    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[problems.Problem] = []
        self.constructor = yaml.constructor.SafeConstructor()

    def place(self, mark: typing.Any) -> problems.Place:
        return problems.Place(self.file, mark.line + 1)

    def report(
        self, place: problems.Place, path: str, found: str, allowed: str
    ) -> None:
        problem = problems.Problem(place, path, found, allowed)
        self.problems.append(problem)

    def convert(self, node: yaml.Node, path: str, depth: int) -> Node:
        place = self.place(node.start_mark)
        if node.tag not in PLAIN_TAGS:
            self.report(place, path, f"the tag {node.tag}", "plain values")
            return Scalar(place, None)
        if depth > MAX_DEPTH:
            self.report(
                place, path, "deep nesting", f"at most {MAX_DEPTH} levels"
            )
            return Scalar(place, None)
        match node:
            case yaml.MappingNode():
                return self.mapping(node, path, depth)
            case yaml.SequenceNode():
                items = [
                    self.convert(child, f"{path}[{index}]", depth + 1)
                    for index, child in enumerate(node.value)
                ]
                return Sequence(place, items)
            case _:
                return self.scalar(node, path)

    def mapping(self, node: yaml.MappingNode, path: str, depth: int) -> Node:
        items: dict[str, Node] = {}
        places: dict[str, problems.Place] = {}
        for key_node, value_node in node.value:
            place = self.place(key_node.start_mark)
            key = key_node.value
            if not isinstance(key, str):
                self.report(
                    place, path, "a key that is not a string", "a name"
                )
                continue
            key_path = f"{path}.{key}" if path else key
            if key in items:
                first_line = places[key].line
                found = f"a duplicate key (first on line {first_line})"
                self.report(place, key_path, found, "each key once")
                continue
            items[key] = self.convert(value_node, key_path, depth + 1)
            places[key] = place
        return Mapping(self.place(node.start_mark), items, places)

    def scalar(self, node: yaml.Node, path: str) -> Scalar:
        place = self.place(node.start_mark)
        try:
            value = self.constructor.construct_object(node)
        except (yaml.YAMLError, ValueError) as error:
            self.report(place, path, f"{error}", "a plain value")
            return Scalar(place, None)
        if isinstance(value, (str, int, float, bool)) or value is None:
            return Scalar(place, value)
        self.report(place, path, type(value).__name__, "a plain value")
        return Scalar(place, None)


def _yaml_problem(file: str, error: Exception) -> problems.Problem:
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark is not None else 0
    text = getattr(error, "problem", None) or str(error).split("\n")[0]
    place = problems.Place(file, line)
    return problems.Problem(place, "", f"invalid YAML: {text}", "YAML")


@functools.lru_cache(maxsize=MAX_CACHED_DOCUMENTS)
def read(
    file: str, content: bytes
) -> tuple[Mapping, tuple[problems.Problem, ...]]:
    """Read one document; return its tree and the problems found.

    An empty document gives an empty mapping. Results are cached, because
    most files of a new generation are those of the previous one; the
    tree must not be modified.
    """
    empty = Mapping(problems.Place(file), {}, {})
    try:
        text = content.decode("utf-8")
        if any(_is_anchor(token) for token in yaml.scan(text)):
            place = problems.Place(file)
            problem = problems.Problem(
                place, "", "an anchor or alias", "values written out"
            )
            return empty, (problem,)
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError) as error:
        return empty, (_yaml_problem(file, error),)
    if root is None:
        return empty, ()
    builder = _TreeBuilder(file)
    tree = builder.convert(root, "", 0)
    if not isinstance(tree, Mapping):
        builder.report(
            tree.place,
            "",
            "a document that is not a mapping",
            "a mapping of names",
        )
        return empty, tuple(builder.problems)
    return tree, tuple(builder.problems)


def _is_anchor(token: yaml.Token) -> bool:
    return isinstance(token, (yaml.AnchorToken, yaml.AliasToken))
