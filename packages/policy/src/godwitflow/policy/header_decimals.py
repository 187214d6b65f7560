"""Reads plain decimal numbers from the values of a header."""

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


def shorten(values: typing.Sequence[bytes]) -> str:
    """Return the beginning of a header's values, for a log line."""
    return b", ".join(values)[:MAX_BYTES].decode("latin-1")
