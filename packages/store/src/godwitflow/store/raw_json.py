"""Splits JSON text into its parts without decoding them.

A decoder refuses a whole document for one string or number in it, and runs
out of stack on deep nesting. Here every part stays raw bytes, so that the
others can still be decoded. There is no recursion.
"""

import re

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_MEMBER = re.compile(rb'\s*"([^"\\]*(?:\\.[^"\\]*)*)"\s*:(.*)', re.DOTALL)
_DEPTH_CHANGES = {b"[": 1, b"{": 1, b"]": -1, b"}": -1}


def split_array(raw: bytes) -> list[bytes]:
    """Return the items of an array; raises ValueError if it is none.

    >>> split_array(b'[1, "a,]", {"b": [2]}]')
    [b'1', b'"a,]"', b'{"b": [2]}']
    """
    return _split(raw, b"[", b"]")


def split_object(raw: bytes) -> dict[bytes, bytes]:
    """Return the members of an object by name; raises ValueError if none.

    Escapes in names are kept as they are.

    >>> split_object(b'{"a": 1, "b": {"c": 2}}')
    {b'a': b'1', b'b': b'{"c": 2}'}
    """
    members = {}
    for part in _split(raw, b"{", b"}"):
        match = _MEMBER.fullmatch(part)
        if match is None:
            raise ValueError("a member of an object has no name")
        members[match[1]] = match[2].strip()
    return members


def _split(raw: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Split what is between two brackets at its outermost commas."""
    text = raw.strip()
    if len(text) < 2 or text[:1] != opening or text[-1:] != closing:
        raise ValueError(f"no {opening!r} {closing!r} around the value")
    parts = []
    start = 1
    depth = 0
    for token in _TOKEN.finditer(text, 1, len(text) - 1):
        if token[0] == b"," and depth == 0:
            parts.append(text[start : token.start()].strip())
            start = token.end()
        depth += _DEPTH_CHANGES.get(token[0], 0)
        if depth < 0:
            raise ValueError("brackets are not balanced")
    if depth != 0:
        raise ValueError("brackets are not balanced")
    last = text[start:-1].strip()
    return [*parts, last] if parts or last else []
