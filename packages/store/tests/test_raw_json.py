"""Tests of splitting JSON text."""

import doctest
import json
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.store import raw_json

SETTINGS = hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)


class RawJsonTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.recursive(
            strategies.none() | strategies.integers() | strategies.text(),
            lambda inner: (
                strategies.lists(inner)
                | strategies.dictionaries(strategies.text("ab"), inner)
            ),
        )
    )
    def test_parts_decode_to_the_parts_of_the_document(self, document):
        raw = json.dumps([document, {"x": document}]).encode()
        first, second = raw_json.split_array(raw)
        self.assertEqual(document, json.loads(first))
        self.assertEqual({b"x"}, set(raw_json.split_object(second)))
        if isinstance(document, dict):
            members = raw_json.split_object(first)
            decoded = {
                name.decode(): json.loads(value)
                for name, value in members.items()
            }
            self.assertEqual(document, decoded)

    def test_other_text_is_refused(self):
        for raw in (b"", b"[", b"1", b"{]", b"[1]]", b"[[1]", b"[{]"):
            with self.assertRaises(ValueError):
                raw_json.split_array(raw)
        for raw in (b"{1}", b'{"a"}', b"[]", b"{", b'{"a":{}'):
            with self.assertRaises(ValueError):
                raw_json.split_object(raw)


def load_tests(loader, tests, pattern):
    """Add the doctests."""
    tests.addTests(doctest.DocTestSuite(raw_json))
    return tests
