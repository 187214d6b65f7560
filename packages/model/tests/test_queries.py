"""Tests of a caller's request and of its answer."""

import unittest

from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.model import index
from godwitflow.model import queries

BAD = (
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
    def test_bad_input_is_a_clear_error(self):
        for body in BAD:
            with self.assertRaises(errors.RequestInvalidError) as caught:
                queries.decode(body)
            self.assertEqual(400, caught.exception.status)
            self.assertTrue(caught.exception.message)

    def test_good_input(self):
        body = b'{"service": "s", "payload": {"a": [1]}, "deadline_ms": 5}'
        query = queries.decode(body)
        self.assertEqual(b'{"a": [1]}', bytes(query.payload))

    def test_fingerprint_follows_what_is_asked(self):
        def mark(body):
            return queries.fingerprint(queries.decode(body))

        one = mark(b'{"service": "s", "payload": 1, "priority": "a"}')
        same = mark(b'{"service": "s", "payload": 1, "priority": "b"}')
        other = mark(b'{"service": "s", "payload": 2}')
        self.assertEqual(one, same)
        self.assertNotEqual(one, other)


class AnswersTest(unittest.TestCase):
    def test_each_refusal_has_a_status(self):
        self.assertEqual(set(answers.RefusalCode), set(answers.HTTP_STATUS))

    def test_join_rows(self):
        parts = [b"[1, 2]", b"[]", b' [{"a": []}] ']
        self.assertEqual(b'[1, 2,{"a": []}]', answers.join_rows(parts))


class IndexTest(unittest.TestCase):
    GOOD = index.Index("s", 1, {"r": ("http://u",)}, {"a": "r", "b": "r"})

    def test_round_trip(self):
        raw = index.encode(self.GOOD)
        self.assertEqual(self.GOOD, index.decode(raw))

    def test_bad_or_truncated_is_refused(self):
        raw = index.encode(self.GOOD)
        bad = [raw[:cut] for cut in range(len(raw))]
        bad.append(raw.replace(b'"snapshot":1', b'"snapshot":0'))
        bad.append(raw.replace(b'"a":"r"', b'"a":"q"'))
        bad.append(raw.replace(b'"r":[', b'"q":["http://u"],"r":['))
        for value in bad:
            with self.assertRaises(errors.IndexInvalidError):
                index.decode(value)

    def test_key_shard_is_stable(self):
        shards = {index.shard_for_key(self.GOOD, f"k{n}") for n in range(50)}
        self.assertEqual({"a", "b"}, shards)
        self.assertEqual(
            index.shard_for_key(self.GOOD, "x"),
            index.shard_for_key(self.GOOD, "x"),
        )
