"""How busy a node is, and whether callers should rather use others.

Answers floods on deployments whose nodes differ in size: the strongest
nodes are named to callers first, until they are busy. The load is an
estimate from the calls that a node makes, which are nearly all its work.
"""

CALL_CORE_MS = 0.5
CORES_MIN = 0.01
WINDOW_MS = 1_000.0
BUSY_LOAD = 0.5
CALM_LOAD = 0.3


class NodeLoad:
    """The share of its cores that a node uses, over the last window."""

    def __init__(self, cores: float) -> None:
        self.busy = False
        self.load = 0.0
        self._cores = max(CORES_MIN, cores)
        self._calls = 0
        self._since_ms: float | None = None

    def update(self, now_ms: float, calls: int) -> bool:
        """End the window if it is over; True where ``busy`` changed.

        ``calls`` is how many calls the node has made in its life. A busy
        node is calm again only well below the load at which it
        became busy, so that callers are not sent to and fro.
        """
        if self._since_ms is None:
            self._since_ms = now_ms
            self._calls = calls
            return False
        elapsed_ms = now_ms - self._since_ms
        if elapsed_ms < WINDOW_MS:
            return False
        made = calls - self._calls
        self.load = made * CALL_CORE_MS / elapsed_ms / self._cores
        self._calls = calls
        self._since_ms = now_ms
        before = self.busy
        bound = CALM_LOAD if before else BUSY_LOAD
        self.busy = self.load >= bound
        return self.busy is not before
