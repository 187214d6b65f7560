"""Tests of encoding and decoding envelopes."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.wire import codec
from godwitflow.wire import messages

HEADER = codec.Header(codec.VERSION, "vm1", 7, "tcp://127.0.0.1:1")
PIECE = messages.Piece(
    1, "s1", 2, messages.PieceStatus.OK, answers.RunStatus.RAN, b"[]"
)


class CodecTest(unittest.TestCase):
    def test_round_trip(self):
        batch = [PIECE, messages.Ping(4), messages.CancelPieces((1, 2))]
        received = codec.decode(codec.encode(HEADER, batch))
        self.assertEqual(HEADER, received.header)
        self.assertEqual(batch, received.messages)

    def test_envelope_of_a_newer_version_is_decoded(self):
        """A peer of the next version adds fields and a message kind."""
        header = [codec.VERSION + 1, "vm2", 9, "tcp://127.0.0.1:2", "extra"]
        ping = [14, 5, "a field of the next version"]
        unknown = [99, "a message of the next version"]
        raw = msgspec.msgpack.encode([header, [ping, unknown]])
        received = codec.decode(raw)
        self.assertEqual([messages.Ping(5)], received.messages)
        self.assertEqual(1, received.rejected)

    def test_truncated_envelope_raises_codec_error(self):
        raw = codec.encode(HEADER, [PIECE])
        for cut in range(len(raw)):
            with self.assertRaises(errors.CodecError):
                codec.decode(raw[:cut])

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=300, database=None
    )
    @hypothesis.given(strategies.data())
    def test_corrupt_bytes_raise_only_codec_error(self, data):
        raw = bytearray(codec.encode(HEADER, [PIECE, messages.Ping(1)]))
        position = data.draw(strategies.integers(0, len(raw) - 1))
        raw[position] = data.draw(strategies.integers(0, 255))
        try:
            codec.decode(bytes(raw))
        except errors.CodecError:
            pass
