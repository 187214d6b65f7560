"""Tests of network addresses."""

import doctest
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.model import addresses
from godwitflow.model import errors

INVALID = (
    "",
    ":",
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1: 80",
    "10.0.0.1:8_0",
    "10.0.0.1:\u00b2",
    "10.0.0.1:\u0663",
    "10.0.0.1:" + "9" * 5_000,
    "10.0.0.1:1e400",
    "10.0.0.256:80",
    "10.0.0:80",
    "a.example:80",
    "[::1]:80",
    "10.0.0.1\n:80",
)


class AddressesTest(unittest.TestCase):
    def test_invalid_addresses_are_refused(self):
        for address in INVALID:
            self.assertFalse(addresses.is_valid(address), address)
            with self.assertRaises(errors.AddressError):
                addresses.split(address)

    @hypothesis.settings(
        max_examples=200, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(strategies.text(max_size=30))
    def test_any_text_is_an_address_or_not(self, text):
        if addresses.is_valid(text):
            host, port = addresses.split(text)
            self.assertEqual(text, f"{host}:{text.rpartition(':')[2]}")
            self.assertLess(0, port)


def load_tests(loader, tests, pattern):
    """Add the doctests."""
    tests.addTests(doctest.DocTestSuite(addresses))
    return tests
