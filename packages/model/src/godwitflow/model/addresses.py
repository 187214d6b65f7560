"""Network addresses of the form ``IP:PORT``, with IPv4 and no names."""

import functools
import ipaddress
import re

from godwitflow.model import errors

MAX_PORT = 65_535
MAX_LENGTH = len("255.255.255.255:65535")
CACHED_ADDRESSES = 16_384

_HOST_AND_PORT = re.compile(r"([0-9.]+):([0-9]{1,5})")


def split(address: str) -> tuple[str, int]:
    """Return the host and the port; raises AddressError if it is invalid.

    >>> split("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    parsed = _parse(address) if len(address) <= MAX_LENGTH else None
    if parsed is None:
        raise errors.AddressError(f"{address!r:.60} is not IP:PORT")
    return parsed


def is_valid(address: str) -> bool:
    """Return whether an address can be split.

    >>> is_valid("10.0.0.1:80"), is_valid("10.0.0.1:65536")
    (True, False)
    """
    return len(address) <= MAX_LENGTH and _parse(address) is not None


@functools.lru_cache(maxsize=CACHED_ADDRESSES)
def _parse(address: str) -> tuple[str, int] | None:
    match = _HOST_AND_PORT.fullmatch(address)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        return None
    try:
        ipaddress.IPv4Address(match[1])
    except ValueError:
        return None
    return match[1], int(match[2])
