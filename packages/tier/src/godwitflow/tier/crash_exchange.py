"""Exchanges with peers which requests crash their upstreams."""

import typing

from godwitflow.model import ids
from godwitflow.policy import crash_history
from godwitflow.wire import messages


class CrashExchange:
    """Reports this node's strikes, and applies those of peers.

    ``broadcast`` sends a message to every other member.
    """

    def __init__(
        self,
        history: crash_history.CrashHistory,
        broadcast: typing.Callable[[messages.Message], None],
        now_ms: typing.Callable[[], float],
    ) -> None:
        self._history = history
        self._broadcast = broadcast
        self._now_ms = now_ms

    def report(self, fingerprint: ids.Fingerprint, crashes: int) -> None:
        """Tell all peers of a request that crashed upstreams just now."""
        entry = messages.Suspicion(fingerprint, crashes, 0.0)
        self._broadcast(messages.Suspicions((entry,)))

    def on_suspicions(self, message: messages.Suspicions) -> None:
        """Apply the strikes, or the blocked requests, of a peer."""
        now_ms = self._now_ms()
        for entry in message.entries:
            if entry.runs:
                self._history.merge(_blocked_request(entry, now_ms))
            else:
                self._history.record_crashes(
                    entry.fingerprint, entry.crashes, now_ms
                )

    def suspicions(self) -> messages.Suspicions:
        """Return the requests that this node refuses."""
        now_ms = self._now_ms()
        return messages.Suspicions(
            tuple(
                messages.Suspicion(
                    request.fingerprint,
                    request.crashes,
                    round(now_ms - request.last_at_ms, 1),
                    request.runs,
                )
                for request in self._history.blocked(now_ms)
            )
        )


def _blocked_request(
    entry: messages.Suspicion, now_ms: float
) -> crash_history.BlockedRequest:
    last_at_ms = now_ms - max(0.0, entry.age_ms)
    return crash_history.BlockedRequest(
        entry.fingerprint, entry.runs, entry.crashes, last_at_ms
    )
