"""YAML text read into values that remember where they stood.

Only the plain tree of a document is read: mappings with string keys,
sequences and scalars. Duplicate keys are problems, as a reader of the
file would otherwise not know which one counts.
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
    """A mapping; ``key_places`` says where each key stands."""

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
    """A string, number, truth value or null."""

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
            self.report(place, path, "deep nesting", f"{MAX_DEPTH} levels")
            return Scalar(place, None)
        match node:
            case yaml.MappingNode():
                return self.mapping(node, path, depth)
            case yaml.SequenceNode():
                items = [
                    self.convert(child, f"{path}[{number}]", depth + 1)
                    for number, child in enumerate(node.value)
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
                self.report(place, path, "a key that is no text", "a name")
                continue
            key_path = f"{path}.{key}" if path else key
            if key in items:
                first = places[key].line
                found = f"a duplicate key (first on line {first})"
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
    return problems.Problem(place, "", f"broken YAML: {text}", "YAML")


@functools.lru_cache(maxsize=MAX_CACHED_DOCUMENTS)
def read(
    file: str, content: bytes
) -> tuple[Mapping, tuple[problems.Problem, ...]]:
    """Read one document; return its tree and every problem found.

    An empty document reads as an empty mapping. Results are kept, since
    a new generation mostly holds the files of the last one; callers must
    not change the tree.
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
    reader = _TreeBuilder(file)
    tree = reader.convert(root, "", 0)
    if not isinstance(tree, Mapping):
        reader.report(tree.place, "", "no mapping", "a mapping of names")
        return empty, tuple(reader.problems)
    return tree, tuple(reader.problems)


def _is_anchor(token: yaml.Token) -> bool:
    return isinstance(token, (yaml.AnchorToken, yaml.AliasToken))
