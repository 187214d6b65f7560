"""Tests of queries, answers and the index."""

import unittest

from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.model import index
from godwitflow.model import queries

INVALID_BODIES = (
    b"",
    b"{",
    b"[]",
    b"\xff",
    b'{"service": "s"}',
    b'{"service": 5, "payload": 1}',
    b'{"service": "s", "payload": 1, "deadline_ms": -1}',
    b'{"service": "s", "payload": 1, "deadline_ms": 1e999}',
    b'{"service": "s", "payload": 1, "deadline_ms": NaN}',
    b'{"service": "s", "payload": 1, "least_coverage": 1.5}',
    b'{"service": "s", "payload": 1, "color": "red"}',
    b'{"service": "s", "payload": 1, "idempotent": false}',
    b'{"service": "s", "payload": 1, "request_key": ""}',
    b'{"service": "s", "payload": ' + b"[" * 100_000,
)


class DecodeTest(unittest.TestCase):
    def test_invalid_body_raises_an_error_with_a_message(self):
        for body in INVALID_BODIES:
            with self.assertRaises(errors.RequestInvalidError) as caught:
                queries.decode(body)
            self.assertEqual(400, caught.exception.status)
            self.assertTrue(caught.exception.message)

    def test_valid_body_is_decoded(self):
        body = b'{"service": "s", "payload": {"a": [1]}, "deadline_ms": 5}'
        query = queries.decode(body)
        self.assertEqual(b'{"a": [1]}', bytes(query.payload))

    def test_fingerprint_depends_on_payload_and_not_priority(self):
        def fingerprint_of(body):
            return queries.fingerprint(queries.decode(body))

        first = fingerprint_of(
            b'{"service": "s", "payload": 1, "priority": "a"}'
        )
        other_priority = fingerprint_of(
            b'{"service": "s", "payload": 1, "priority": "b"}'
        )
        other_payload = fingerprint_of(b'{"service": "s", "payload": 2}')
        self.assertEqual(first, other_priority)
        self.assertNotEqual(first, other_payload)


class AnswersTest(unittest.TestCase):
    def test_each_refusal_code_has_a_status(self):
        self.assertEqual(set(answers.RefusalCode), set(answers.HTTP_STATUS))

    def test_join_rows(self):
        parts = [b"[1, 2]", b"[]", b' [{"a": []}] ']
        self.assertEqual(b'[1, 2,{"a": []}]', answers.join_rows(parts))


class IndexTest(unittest.TestCase):
    VALID = index.Index("s", 1, {"r": ("http://u",)}, {"a": "r", "b": "r"})

    def test_round_trip(self):
        raw = index.encode(self.VALID)
        self.assertEqual(self.VALID, index.decode(raw))

    def test_invalid_or_truncated_index_is_rejected(self):
        raw = index.encode(self.VALID)
        invalid = [raw[:cut] for cut in range(len(raw))]
        invalid.append(raw.replace(b'"snapshot":1', b'"snapshot":0'))
        invalid.append(raw.replace(b'"a":"r"', b'"a":"q"'))
        invalid.append(raw.replace(b'"r":[', b'"q":["http://u"],"r":['))
        for value in invalid:
            with self.assertRaises(errors.IndexInvalidError):
                index.decode(value)

    def test_shard_for_key_is_stable(self):
        shards = {index.shard_for_key(self.VALID, f"k{n}") for n in range(50)}
        self.assertEqual({"a", "b"}, shards)
        self.assertEqual(
            index.shard_for_key(self.VALID, "x"),
            index.shard_for_key(self.VALID, "x"),
        )
