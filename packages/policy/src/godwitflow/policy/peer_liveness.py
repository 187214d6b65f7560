"""Signs of life of peers that owe an answer."""

import dataclasses

from godwitflow.model import ids

PING_AFTER_MS = 100.0
SILENT_AFTER_MS = 500.0
PAUSE_MS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class PingPeer:
    """Ask a quiet peer for a sign of life."""

    node: ids.NodeId
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnresponsive:
    """A peer has given no sign of life; turn to another."""

    node: ids.NodeId


Verdict = PingPeer | PeerUnresponsive


class PeerLiveness:
    """When each peer was last heard of.

    Only peers that owe something are checked, so an idle link costs
    nothing. A gap between two checks means that this process itself was
    paused; silence from before it does not count.
    """

    def __init__(self) -> None:
        self._heard_at_ms: dict[ids.NodeId, float] = {}
        self._checked_at_ms: float | None = None
        self._owing: set[ids.NodeId] = set()
        self._silent: set[ids.NodeId] = set()
        self._sequence = 0

    def on_message(self, node: ids.NodeId, now_ms: float) -> None:
        """Note a message from a peer."""
        self._heard_at_ms[node] = now_ms
        self._silent.discard(node)

    def responsive_first(self, nodes: list[ids.NodeId]) -> list[ids.NodeId]:
        """Put peers that were given up, and not heard since, last."""
        if not self._silent:
            return nodes
        return sorted(nodes, key=self._silent.__contains__)

    def on_request_sent(self, node: ids.NodeId, now_ms: float) -> None:
        """Note the start of waiting for a peer that owed nothing."""
        if node in self._owing:
            return
        self._owing.add(node)
        heard_ms = self._heard_at_ms.get(node)
        if heard_ms is None or now_ms - heard_ms > PING_AFTER_MS:
            self._heard_at_ms[node] = now_ms - PING_AFTER_MS

    def check(self, awaited: set[ids.NodeId], now_ms: float) -> list[Verdict]:
        """Return what to do about quiet peers."""
        last_ms = self._checked_at_ms
        self._checked_at_ms = now_ms
        self._owing = set(awaited)
        if last_ms is not None and now_ms - last_ms > PAUSE_MS:
            for node in awaited:
                self._heard_at_ms[node] = now_ms - PING_AFTER_MS
        verdicts: list[Verdict] = []
        for node in sorted(awaited):
            quiet_ms = now_ms - self._heard_at_ms.get(node, now_ms)
            if quiet_ms >= SILENT_AFTER_MS:
                self._heard_at_ms[node] = now_ms - PING_AFTER_MS
                self._silent.add(node)
                verdicts.append(PeerUnresponsive(node))
            elif quiet_ms >= PING_AFTER_MS:
                self._sequence += 1
                verdicts.append(PingPeer(node, self._sequence))
        return verdicts
