"""Detects unresponsive peers while replies are awaited from them."""

import dataclasses

from godwitflow.model import ids

PING_AFTER_MS = 100.0
UNRESPONSIVE_AFTER_MS = 500.0
PAUSE_THRESHOLD_MS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class PingPeer:
    """Ping a peer that has not been heard from for some time."""

    node: ids.NodeId
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnresponsive:
    """A peer does not respond; its work has to go to another node."""

    node: ids.NodeId


PeerAction = PingPeer | PeerUnresponsive


class PeerLiveness:
    """Tracks when each peer was last heard from.

    Only peers from which a reply is awaited are checked, so an idle link
    costs nothing. A long gap between two checks means that this process
    itself was paused; a peer's silence during the pause does not count.
    """

    def __init__(self) -> None:
        self._last_heard_at_ms: dict[ids.NodeId, float] = {}
        self._checked_at_ms: float | None = None
        self._awaited: set[ids.NodeId] = set()
        self._unresponsive: set[ids.NodeId] = set()
        self._sequence = 0

    def on_message(self, node: ids.NodeId, now_ms: float) -> None:
        """Record that a message arrived from a peer."""
        self._last_heard_at_ms[node] = now_ms
        self._unresponsive.discard(node)

    def responsive_first(self, nodes: list[ids.NodeId]) -> list[ids.NodeId]:
        """Return the nodes with the unresponsive ones moved to the end.

        A peer is unresponsive until it is heard from again.
        """
        if not self._unresponsive:
            return nodes
        return sorted(nodes, key=self._unresponsive.__contains__)

    def on_request_sent(self, node: ids.NodeId, now_ms: float) -> None:
        """Start the wait for a reply, unless one is awaited already."""
        if node in self._awaited:
            return
        self._awaited.add(node)
        heard_at_ms = self._last_heard_at_ms.get(node)
        if heard_at_ms is None or now_ms - heard_at_ms > PING_AFTER_MS:
            self._last_heard_at_ms[node] = now_ms - PING_AFTER_MS

    def check(
        self, awaited: set[ids.NodeId], now_ms: float
    ) -> list[PeerAction]:
        """Return the actions for awaited peers that are silent.

        Resets the timer of a peer that it reports as unresponsive.
        """
        last_check_ms = self._checked_at_ms
        self._checked_at_ms = now_ms
        self._awaited = set(awaited)
        if (
            last_check_ms is not None
            and now_ms - last_check_ms > PAUSE_THRESHOLD_MS
        ):
            for node in awaited:
                self._last_heard_at_ms[node] = now_ms - PING_AFTER_MS
        actions: list[PeerAction] = []
        for node in sorted(awaited):
            silent_ms = now_ms - self._last_heard_at_ms.get(node, now_ms)
            if silent_ms >= UNRESPONSIVE_AFTER_MS:
                self._last_heard_at_ms[node] = now_ms - PING_AFTER_MS
                self._unresponsive.add(node)
                actions.append(PeerUnresponsive(node))
            elif silent_ms >= PING_AFTER_MS:
                self._sequence += 1
                actions.append(PingPeer(node, self._sequence))
        return actions
