"""Network addresses of the form ``IP:PORT``, with IPv4 and no names."""

import ipaddress

from godwitflow.model import errors

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split(address: str) -> tuple[str, int]:
    """Return the host and the port; raises AddressError if it is invalid.

    >>> split("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit():
        raise errors.AddressError(f"{address!r:.60} has no port")
    if len(port) > MAX_PORT_DIGITS or not 0 < int(port) <= MAX_PORT:
        raise errors.AddressError(f"{address!r:.60} has an invalid port")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise errors.AddressError(
            f"{address!r:.60} has no IPv4 address"
        ) from error
    return host, int(port)


def is_valid(address: str) -> bool:
    """Return whether an address can be split.

    >>> is_valid("10.0.0.1:80"), is_valid("10.0.0.1:65536")
    (True, False)
    """
    try:
        split(address)
    except errors.AddressError:
        return False
    return True
