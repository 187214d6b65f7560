"""Tests of the caller library with its exchanges faked."""

import json

from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.internet import task
from twisted.trial import unittest

from godwitflow.caller import client
from godwitflow.model import errors

ANSWER = {
    "kind": "answer",
    "query_id": "q",
    "trace_id": "",
    "service": "s",
    "snapshot": 1,
    "coverage": {"answered": 1, "total": 1, "missing": []},
    "rows": [1],
    "timing": {},
}


def refusal(code, ran="not_run"):
    return {"kind": "refusal", "code": code, "ran": ran, "message": ""}


class FakeCaller(client.Caller):
    """A caller whose exchanges are scripted by address."""

    def __init__(self, clock, script):
        super().__init__(clock, ("http://e",))
        self.script = script
        self.asked_addresses = 0
        self.keys = []
        self.sent_to = []

    async def _exchange(self, method, url, body, headers):
        if method == "GET":
            self.asked_addresses += 1
            known = {"addresses": ["http://a", "http://b"], "max_age_ms": 1000}
            return 200, json.dumps(known).encode()
        self.keys.append(json.loads(body).get("request_key"))
        address = url.removesuffix("/v1/query")
        self.sent_to.append(address)
        step = self.script[address].pop(0)
        if isinstance(step, Exception):
            raise step
        return 200, json.dumps(step).encode()


class CallerTest(unittest.SynchronousTestCase):
    def setUp(self):
        self.clock = task.Clock()

    def ask(self, script, **changes):
        self.caller = FakeCaller(self.clock, script)
        ask = client.Ask("s", 1, **changes)
        running = defer.ensureDeferred(self.caller.ask(ask))
        for _ in range(20):
            self.clock.advance(0.1)
        return running

    def test_address_answer_is_kept_until_it_is_old(self):
        self.successResultOf(self.ask({"http://a": [ANSWER]}))
        caller = self.caller
        self.clock.advance(-1.9)
        caller.script["http://a"] = [ANSWER, ANSWER]
        self.successResultOf(
            defer.ensureDeferred(caller.ask(client.Ask("s", 1)))
        )
        self.assertEqual(1, caller.asked_addresses)
        self.clock.advance(1.5)
        self.successResultOf(
            defer.ensureDeferred(caller.ask(client.Ask("s", 1)))
        )
        self.assertEqual(2, caller.asked_addresses)

    def test_fails_over_to_another_address(self):
        lost = net_error.ConnectionLost()
        script = {"http://a": [lost], "http://b": [ANSWER]}
        result = self.successResultOf(self.ask(script))
        self.assertEqual(1, result.coverage.answered)
        self.assertEqual(["http://a", "http://b"], self.caller.sent_to)

    def test_a_request_that_runs_once_keeps_its_key(self):
        refused = net_error.ConnectionRefusedError()
        script = {
            "http://a": [refused],
            "http://b": [refusal("not_ready"), ANSWER],
        }
        running = self.ask(script, idempotent=False, shard_key="k")
        self.successResultOf(running)
        self.assertEqual(3, len(self.caller.keys))
        self.assertEqual(1, len(set(self.caller.keys)))
        self.assertTrue(self.caller.keys[0])

    def test_a_lost_answer_is_reported_and_not_resent(self):
        script = {"http://a": [net_error.ConnectionLost()]}
        running = self.ask(script, idempotent=False, shard_key="k")
        self.failureResultOf(running, errors.OutcomeUnknownError)
        self.assertEqual(["http://a"], self.caller.sent_to)

    def test_refusals_that_would_not_change_are_returned(self):
        script = {"http://a": [refusal("suspect")]}
        result = self.successResultOf(self.ask(script))
        self.assertEqual("suspect", result.code.value)
