"""Reads plain decimal numbers from the values of a header."""

import dataclasses
import re
import typing

MAX_BYTES = 32

_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def read(values: typing.Sequence[bytes]) -> list[float]:
    """Return the values that are plain decimal numbers.

    Signs, exponents, names of numbers and very long ones are skipped.

    >>> read([b"16.4", b" 8 ", b"nan", b"-1", b"1e3"])
    [16.4, 8.0]
    """
    return [
        float(digits)
        for value in values
        if len(digits := value.strip()) <= MAX_BYTES
        and _DECIMAL.fullmatch(digits)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class NotStated:
    """The header is missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """No value is a plain decimal number; ``text`` is their beginning."""

    text: str


def read_one(
    values: typing.Sequence[bytes],
    choose: typing.Callable[[list[float]], float],
) -> float | NotStated | Unreadable:
    """Return the number that a header states.

    ``choose`` chooses among several.

    >>> read_one([b"x", b"4", b"9"], min)
    4.0
    >>> read_one([], min), read_one([b"-1"], min)
    (NotStated(), Unreadable(text='-1'))
    """
    if not values:
        return NotStated()
    numbers = read(values)
    if numbers:
        return choose(numbers)
    return Unreadable(b", ".join(values)[:MAX_BYTES].decode("latin-1"))
