"""Reads a folder of YAML files and merges them in the order of their names."""

import dataclasses
import hashlib
import pathlib

from godwitflow.model import errors
from godwitflow.settings import problems
from godwitflow.settings import yaml_tree

SUFFIXES = (".yaml", ".yml")
MAX_FILE_BYTES = 1_000_000
MAX_FILES = 2_000


@dataclasses.dataclass(frozen=True)
class File:
    """A configuration file's name and exact content."""

    name: str
    content: bytes

    @property
    def sha256(self) -> str:
        """The SHA-256 of the content, in hexadecimal."""
        return hashlib.sha256(self.content).hexdigest()


def read(path: pathlib.Path) -> tuple[File, ...]:
    """Read the folder's YAML files in name order.

    Raises :class:`errors.SettingsError` if the folder cannot be read, has
    no YAML file or too many, or has one that is too large for one object
    of the store.
    """
    try:
        entries = sorted(path.iterdir(), key=lambda entry: entry.name)
        paths = [
            entry
            for entry in entries
            if entry.is_file() and entry.suffix in SUFFIXES
        ]
        files = tuple(File(entry.name, entry.read_bytes()) for entry in paths)
    except OSError as error:
        place = problems.Place(str(path))
        problem = problems.Problem(place, "", str(error), "a folder")
        raise errors.SettingsError((problem,)) from error
    _check_sizes(path, files)
    return files


def _check_sizes(path: pathlib.Path, files: tuple[File, ...]) -> None:
    problems_found = []
    if not 1 <= len(files) <= MAX_FILES:
        allowed = f"1 to {MAX_FILES} files that end in .yaml or .yml"
        place = problems.Place(str(path))
        count = f"{len(files)} files"
        problems_found.append(problems.Problem(place, "", count, allowed))
    for file in files:
        if len(file.content) > MAX_FILE_BYTES:
            place = problems.Place(file.name)
            size = f"{len(file.content)} bytes"
            allowed = f"at most {MAX_FILE_BYTES} bytes; split the file"
            problems_found.append(problems.Problem(place, "", size, allowed))
    if problems_found:
        raise errors.SettingsError(tuple(problems_found))


def merge(
    files: tuple[File, ...],
) -> tuple[yaml_tree.Mapping, tuple[problems.Problem, ...]]:
    """Merge files; return the merged tree and the problems found.

    Mappings are merged key by key; a scalar or sequence in a later file
    replaces an earlier one. Each value keeps the place it was read from.
    """
    place = problems.Place(files[0].name if files else "")
    merged = yaml_tree.Mapping(place, {}, {})
    all_problems: list[problems.Problem] = []
    for file in files:
        tree, file_problems = yaml_tree.read(file.name, file.content)
        all_problems.extend(file_problems)
        merged = _merge_mappings(merged, tree)
    return merged, tuple(all_problems)


def _merge_mappings(
    base: yaml_tree.Mapping, override: yaml_tree.Mapping
) -> yaml_tree.Mapping:
    items = dict(base.items)
    places = dict(base.key_places)
    for key, value in override.items.items():
        old = items.get(key)
        is_mapping = isinstance(old, yaml_tree.Mapping)
        if is_mapping and isinstance(value, yaml_tree.Mapping):
            items[key] = _merge_mappings(old, value)  # type: ignore[arg-type]
            continue
        items[key] = value
        places[key] = override.key_places[key]
    return yaml_tree.Mapping(override.place, items, places)
