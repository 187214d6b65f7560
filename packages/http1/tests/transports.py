"""An in-memory transport that records a protocol's calls."""

from twisted.internet import error
from twisted.python import failure


class Transport:
    """Records what is written; the test delivers the received bytes."""

    def __init__(self):
        self.written = b""
        self.aborted = False
        self.write_closed = False
        self.paused = False
        self.producer = None

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        self.producer = None

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


def clean_close():
    """Return the reason for a connection that its peer closed."""
    return failure.Failure(error.ConnectionDone())


def reset():
    """Return the reason for a connection that was reset."""
    return failure.Failure(error.ConnectionLost())
