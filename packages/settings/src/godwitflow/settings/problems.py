"""A problem in settings: its place, what was found, what is allowed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Place:
    """A file and a line counted from 1, or 0 if the line is unknown."""

    file: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" if self.line else self.file


@dataclasses.dataclass(frozen=True)
class Problem:
    """A problem, with all that is needed to correct it."""

    place: Place
    key_path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"{self.place}: {self.key_path or '(top level)'}"
        return f"{where}: found {self.found}, allowed: {self.allowed}"
