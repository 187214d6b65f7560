"""A fault in settings: where it is, what was found, what is allowed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Place:
    """A file and a line, counted from 1; 0 where no line is known."""

    file: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" if self.line else self.file


@dataclasses.dataclass(frozen=True)
class Problem:
    """One fault, complete enough to be mended without another run."""

    place: Place
    key_path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"{self.place}: {self.key_path or '(top level)'}"
        return f"{where}: found {self.found}, allowed: {self.allowed}"
