"""Tests of the caller library, with scripted HTTP exchanges."""

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


class ScriptedCaller(client.Caller):
    """A caller whose HTTP exchanges are scripted for each address."""

    def __init__(self, clock, script):
        super().__init__(clock, ("http://e",))
        self.script = script
        self.address_requests = 0
        self.keys = []
        self.sent_to = []

    async def _http_request(self, method, url, body, headers):
        if method == "GET":
            self.address_requests += 1
            reply = {"addresses": ["http://a", "http://b"], "max_age_ms": 1000}
            return 200, json.dumps(reply).encode()
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

    def send(self, script, **changes):
        self.caller = ScriptedCaller(self.clock, script)
        request = client.Request("s", 1, **changes)
        running = defer.ensureDeferred(self.caller.send_request(request))
        for _ in range(20):
            self.clock.advance(0.1)
        return running

    def test_addresses_are_cached_until_they_expire(self):
        self.successResultOf(self.send({"http://a": [ANSWER]}))
        caller = self.caller
        self.clock.advance(-1.9)
        caller.script["http://a"] = [ANSWER, ANSWER]
        self.successResultOf(
            defer.ensureDeferred(caller.send_request(client.Request("s", 1)))
        )
        self.assertEqual(1, caller.address_requests)
        self.clock.advance(1.5)
        self.successResultOf(
            defer.ensureDeferred(caller.send_request(client.Request("s", 1)))
        )
        self.assertEqual(2, caller.address_requests)

    def test_fails_over_to_another_address(self):
        lost = net_error.ConnectionLost()
        script = {"http://a": [lost], "http://b": [ANSWER]}
        result = self.successResultOf(self.send(script))
        self.assertEqual(1, result.coverage.answered)
        self.assertEqual(["http://a", "http://b"], self.caller.sent_to)

    def test_non_idempotent_request_keeps_its_key_over_resends(self):
        refused = net_error.ConnectionRefusedError()
        script = {
            "http://a": [refused],
            "http://b": [refusal("not_ready"), ANSWER],
        }
        running = self.send(script, idempotent=False, shard_key="k")
        self.successResultOf(running)
        self.assertEqual(3, len(self.caller.keys))
        self.assertEqual(1, len(set(self.caller.keys)))
        self.assertTrue(self.caller.keys[0])

    def test_non_idempotent_request_is_not_resent_after_a_lost_answer(self):
        script = {"http://a": [net_error.ConnectionLost()]}
        running = self.send(script, idempotent=False, shard_key="k")
        self.failureResultOf(running, errors.OutcomeUnknownError)
        self.assertEqual(["http://a"], self.caller.sent_to)

    def test_refusal_for_another_reason_is_not_retried(self):
        script = {"http://a": [refusal("suspect")]}
        result = self.successResultOf(self.send(script))
        self.assertEqual("suspect", result.code.value)
