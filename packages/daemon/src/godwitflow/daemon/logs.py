"""Logging as JSON lines."""

import typing

import logbook
import msgspec

LEVELS = ("debug", "info", "warning", "error")


class JsonHandler(logbook.StreamHandler):
    """Writes one JSON object per line: time, level, event and fields."""

    def format(self, record: typing.Any) -> str:
        """Format a record as one line of JSON."""
        fields = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "event": record.message,
            **record.kwargs,
            **{str(key): value for key, value in record.extra.items()},
        }
        if record.exc_info:
            fields["error"] = record.formatted_exception
        return msgspec.json.encode(fields, enc_hook=str).decode()


def handler(stream: typing.TextIO, level: str) -> JsonHandler:
    """Return a handler for a stream; ``level`` is one of ``LEVELS``."""
    number = logbook.lookup_level(level.upper())
    return JsonHandler(stream, level=number, bubble=False)


def logger(name: str) -> logbook.Logger:
    """Return the logger of a component of the daemon."""
    return logbook.Logger(name)
