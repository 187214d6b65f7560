"""Tests of the object API's client against odd responses."""

import unittest

from twisted.internet import defer
from twisted.internet import task
from twisted.web import http_headers

from godwitflow.model import errors
from godwitflow.store import http

ODD_BODIES = (b"", b"{", b"[1]", b"[" * 2_000 + b"]" * 2_000, b"\xff")
ODD_VERSIONS = ("", "x", "-1", "\u00b2", "9" * 5_000)


class HttpStoreTest(unittest.TestCase):
    def call(self, make_call, body=b"", version="1"):
        """Make a call that gets status 200; return its result or error."""
        store = http.HttpStore(task.Clock(), "http://10.0.0.2:7000")
        headers = http_headers.Headers({http.VERSION_HEADER: [version]})

        async def exchange(method, path, options):
            return 200, headers, body

        store._exchange = exchange
        results = []
        defer.ensureDeferred(make_call(store)).addBoth(results.append)
        (result,) = results
        return getattr(result, "value", result)

    def test_malformed_list_of_names_is_a_store_error(self):
        for body in ODD_BODIES:
            error = self.call(lambda store: store.list_names("index/"), body)
            self.assertIsInstance(error, errors.StoreUnavailableError)

    def test_malformed_version_is_a_store_error(self):
        for version in ODD_VERSIONS:
            error = self.call(
                lambda store: store.get("config/head"), version=version
            )
            self.assertIsInstance(error, errors.StoreUnavailableError)
            error = self.call(
                lambda store: store.put("config/head", b"x", 1),
                version=version,
            )
            self.assertIsInstance(error, errors.StoreOutcomeUnknownError)
