"""Asks the kernel what a connection has not delivered yet."""

import fcntl
import struct
import termios
import typing


def unsent_bytes(handle: typing.Any) -> int:
    """Return how many bytes the peer of a TCP socket has not acknowledged.

    Returns 0 where the kernel cannot tell.
    """
    try:
        answer = fcntl.ioctl(handle, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    (count,) = struct.unpack("i", answer)
    return int(count)
