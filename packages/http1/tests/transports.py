"""A transport in memory that records what a protocol does with it."""

from twisted.internet import error
from twisted.python import failure


class Transport:
    """Keeps what was written; the test delivers what comes back."""

    def __init__(self):
        self.written = b""
        self.aborted = False
        self.write_closed = False
        self.paused = False

    def write(self, data):
        self.written += data

    def setTcpNoDelay(self, value):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True

    def loseWriteConnection(self):  # noqa: N802
        self.write_closed = True

    def pauseProducing(self):  # noqa: N802
        self.paused = True

    def resumeProducing(self):  # noqa: N802
        self.paused = False

    def take(self):
        """Return what was written since the last call."""
        data, self.written = self.written, b""
        return data


def clean_end():
    """Return the reason of a connection that its peer closed."""
    return failure.Failure(error.ConnectionDone())


def reset():
    """Return the reason of a connection that was reset."""
    return failure.Failure(error.ConnectionLost())
