"""Structured logs: JSON lines on standard output, without blocking.

Lines that cannot be written immediately are buffered up to a limit.
Lines beyond that limit, or beyond the rate limit, are dropped and
counted.
"""

import os
import time
import typing

import msgspec

LINES_PER_SECOND = 25.0
BURST_LINES = 200.0
MAX_PENDING_BYTES = 65_536
MS_PER_S = 1_000.0


class Log:
    """Writes one JSON object per line to a file descriptor."""

    def __init__(
        self,
        node: str,
        now_ms: typing.Callable[[], float],
        descriptor: int = 1,
    ) -> None:
        self.node = node
        self._now_ms = now_ms
        self._descriptor = descriptor
        self._tokens = BURST_LINES
        self._refilled_at_ms = now_ms()
        self._pending = b""
        self._dropped = 0
        self.dropped_total = 0
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        os.set_blocking(descriptor, False)

    def event(self, event: str, **fields: typing.Any) -> None:
        """Log a change of the process's state, without a rate limit."""
        self._write(event, fields)

    def limited_event(self, event: str, **fields: typing.Any) -> None:
        """Log an event that may be frequent, subject to the rate limit."""
        now_ms = self._now_ms()
        refilled = (
            (now_ms - self._refilled_at_ms) / MS_PER_S * LINES_PER_SECOND
        )
        self._tokens = min(BURST_LINES, self._tokens + refilled)
        self._refilled_at_ms = now_ms
        if self._tokens < 1.0:
            self._count_dropped()
            return
        self._tokens -= 1.0
        self._write(event, fields)

    def twisted_observer(self, entry: dict[str, typing.Any]) -> None:
        """Log unhandled errors; registered as an observer of Twisted's log.

        Such an error ends a task or a connection without any other
        message.
        """
        failure = entry.get("log_failure")
        if failure is not None:
            text = str(entry.get("log_format") or "")
            self.limited_event(
                "error", where=text, error=failure.getTraceback()
            )

    def _write(self, event: str, fields: dict[str, typing.Any]) -> None:
        record = {
            "time": round(time.time(), 3),
            "steady_ms": round(self._now_ms(), 1),
            "node": self.node,
            "event": event,
            **fields,
        }
        if self._dropped:
            record["lines_left_out"] = self._dropped
        line = self._encode(record) + b"\n"
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._count_dropped()
            self._flush()
            return
        self._dropped = 0
        self._pending += line
        self._flush()

    def _count_dropped(self) -> None:
        self._dropped += 1
        self.dropped_total += 1

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            written = len(self._pending)  # no reader: drop the lines
        self._pending = self._pending[written:]
