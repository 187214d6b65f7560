"""Tests of finding the customer of a request."""

import doctest
import unittest

from godwitflow.model import ids
from godwitflow.policy import customers


def customer(name, *keys, **fields):
    digests = tuple(customers.key_digest(key) for key in keys)
    return customers.Customer(ids.CustomerName(name), digests, **fields)


class ReadKeyTest(unittest.TestCase):
    def test_scheme_is_compared_without_regard_to_case(self):
        for value in (b"Token k", b"token k", b"TOKEN   k ", b"Token\tk"):
            self.assertEqual(b"k", customers.read_key([value]), value)

    def test_odd_credentials_name_no_customer(self):
        expected = {
            (): customers.KeyDefect.MISSING,
            (b"",): customers.KeyDefect.MISSING,
            (b"  ",): customers.KeyDefect.MISSING,
            (b"Token k", b"Token k"): customers.KeyDefect.SEVERAL,
            (b"Bearer k",): customers.KeyDefect.SCHEME,
            (b"k",): customers.KeyDefect.SCHEME,
            (b"Tokenk",): customers.KeyDefect.SCHEME,
            (b"Token",): customers.KeyDefect.MALFORMED,
            (b"Token k k",): customers.KeyDefect.MALFORMED,
            (b"Token " + b"k" * 9_000,): customers.KeyDefect.MALFORMED,
        }
        for values, defect in expected.items():
            self.assertIs(defect, customers.read_key(list(values)), values)

    def test_key_may_be_any_bytes(self):
        self.assertEqual(b"\xff\x01", customers.read_key([b"Token \xff\x01"]))


class CustomerTableTest(unittest.TestCase):
    def test_each_key_of_a_customer_identifies_it(self):
        one = customer("one", b"a", b"b")
        table = customers.CustomerTable([one, customer("two", b"c")])
        for key in (b"a", b"b"):
            self.assertIs(one, table.identify([b"Token " + key]))

    def test_unknown_key_and_customer_without_keys(self):
        table = customers.CustomerTable([customer("one")])
        self.assertIs(
            customers.KeyDefect.UNKNOWN, table.identify([b"Token a"])
        )

    def test_key_of_two_customers_identifies_the_first_everywhere(self):
        first = customer("b", b"k")
        table = customers.CustomerTable([first, customer("a", b"k")])
        self.assertIs(first, table.identify([b"Token k"]))
        self.assertEqual(["a", "b"], table.shared_names)


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(customers))
    return tests
