"""Counts the bytes that a connection or socket carries."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ByteCount:
    """Bytes of payload sent and received, without TCP or IP headers."""

    sent: int = 0
    received: int = 0
