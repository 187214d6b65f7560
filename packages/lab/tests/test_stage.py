"""The whole path over real sockets, small, with faults."""

import json

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from godwitflow.caller import client
from godwitflow.fakes import deployment
from godwitflow.fakes import upstream
from godwitflow.lab import stage as stage_module
from godwitflow.model import answers
from godwitflow.model import index
from godwitflow.settings import folder
from godwitflow.store import config_store

SMALL = deployment.Deployment(
    "small",
    ("north", "south"),
    (
        ("steward", 150.0, 3_000.0, 0.0, 20.0),
        ("clerk", 2_000.0, 5_000.0, 0.1, 1.0),
    ),
    (deployment.ServiceShape("seats", 3, 2, upstream.Shape(2, 8, 1.0, 2.0)),),
    "seats",
)
CODES = answers.RefusalCode


class StageCase(unittest.TestCase):
    """Builds a stage for each test and takes it down again."""

    timeout = 60

    async def build(self, nodes=2):
        self.stage = stage_module.Stage(reactor, SMALL)
        await self.stage.publish()
        await self.stage.start_nodes(nodes)
        await self.stage.wait_ready(nodes)
        points = self.stage.entry_points()
        self.caller = client.Caller(reactor, points)

    async def tear(self):
        await self.caller.close()
        await self.stage.stop_nodes()
        await self.stage.close()

    def run_with(self, work, nodes=2):
        async def main():
            await self.build(nodes)
            try:
                await work()
            finally:
                await self.tear()

        return defer.ensureDeferred(main())

    async def ask(self, payload="x", **changes):
        return await self.caller.send_request(
            client.Request("seats", payload, "steward", **changes)
        )

    async def book(self, payload, key):
        return await self.ask(
            payload, idempotent=False, request_key=key, shard_key="A1"
        )

    def runs(self, payload):
        return self.stage.fleet.run_count(json.dumps(payload))

    async def vanish(self, name):
        """Lose a node: it neither sends nor takes anything any more."""
        victim = self.stage.nodes.pop(name)
        for loop in victim._loops:
            loop.stop()
        victim.links.close()
        for port in victim._ports:
            await port.stopListening()
        for site in victim._sites:
            site.close_idle()
        await victim.upstream.close()
        await victim.store.close()
        victim.dispatch.stop()

    async def honest(self, answer):
        """Check rows against the coverage and the snapshot claimed."""
        rows = json.loads(bytes(answer.rows))
        self.assertEqual(answer.coverage.answered, len(rows))
        self.assertLessEqual(
            {row["snapshot"] for row in rows}, {answer.snapshot}
        )
        return answer


class StageTest(StageCase):
    def test_query_and_booking(self):
        async def work():
            answer = await self.ask()
            self.assertTrue(answer.coverage.complete)
            rows = json.loads(bytes(answer.rows))
            self.assertEqual(
                ["s00", "s01", "s02"], [row["shard"] for row in rows]
            )
            first = await self.book("b1", "key-1")
            self.assertIs(answers.RunStatus.RAN, first.ran)
            self.assertIsNotNone(first.shard)
            again = await self.book("b1", "key-1")
            self.assertIs(CODES.DUPLICATE_KEY, again.code)
            self.assertEqual(1, self.runs("b1"))

        return self.run_with(work)

    def test_store_down(self):
        async def work():
            await self.book("warm", "key-0")
            self.stage.platform.down = True
            answer = await self.ask()
            self.assertTrue(answer.coverage.complete)
            refused = await self.book("b2", "key-2")
            self.assertIs(CODES.JOURNAL_UNAVAILABLE, refused.code)
            self.assertIs(answers.RunStatus.NOT_RUN, refused.ran)
            self.assertEqual(0, self.runs("b2"))
            await self.stage.start_node("vm3", "south")
            await self.stage.wait_ready(3)
            self.stage.platform.down = False
            again = await self.book("b2", "key-2")
            self.assertIs(answers.RunStatus.RAN, again.ran)

        return self.run_with(work)

    def test_lost_write_answer_runs_once(self):
        async def work():
            self.stage.platform.lose_put_answers = 1
            first = await self.book("b3", "key-3")
            self.assertIs(answers.RunStatus.RAN, first.ran)
            self.assertEqual(1, self.runs("b3"))

        return self.run_with(work)

    def test_nodes_lost_without_a_word(self):
        async def work():
            await self.ask()
            await self.vanish("vm2")
            await self.vanish("vm3")
            answer = await self.ask("after", deadline_ms=3_000.0)
            self.assertTrue(answer.coverage.complete)

        return self.run_with(work, nodes=4)

    def test_upstream_crash_is_contained(self):
        async def work():
            for fake in self.stage.fleet.upstreams.values():
                fake.crash_marker = b"poison"
            for _ in range(3):
                refused = await self.caller.send_request(
                    client.Request("seats", "poison", "clerk")
                )
                self.assertIs(CODES.SUSPECT, refused.code)
            fakes = self.stage.fleet.upstreams.values()
            self.assertLessEqual(sum(item.crash_count for item in fakes), 2)

        return self.run_with(work)

    def test_new_configuration_comes_into_force_on_all(self):
        async def work():
            files = deployment.files(SMALL) + (
                folder.File("90.yaml", b"addresses: {count: 1}\n"),
            )
            store = self.stage.platform.store
            done = await config_store.apply(store, files, "ana")
            nodes = self.stage.nodes.values()
            await self.stage.wait_until(
                lambda: all(
                    node.catalog.head.generation == done.generation
                    for node in nodes
                )
            )
            for node in nodes:
                self.assertEqual(1, node.catalog.config.addresses.count)

        return self.run_with(work, nodes=3)


class PairsTest(StageCase):
    """Two failures at once."""

    def split(self):
        """Split a shard in a new snapshot that all upstreams hold."""
        before = self.stage.fleet.indexes["seats"]
        shards = dict(before.shards)
        set_id = shards.pop("s02")
        shards["s02a"] = shards["s02b"] = set_id
        after = index.Index("seats", 2, before.replica_sets, shards)
        for fake in self.stage.fleet.upstreams.values():
            fake.snapshots.add(2)
        return after

    def test_repartition_while_the_owner_leaves(self):
        async def work():
            leaving = self.stage.nodes.pop("vm2")
            stopped = leaving.stop()
            await self.stage.publish_index(self.split())
            seen = set()
            while not stopped.called or 2 not in seen:
                answer = await self.honest(await self.ask(len(seen)))
                self.assertTrue(answer.coverage.complete)
                seen.add(answer.snapshot)
            for fake in self.stage.fleet.upstreams.values():
                fake.snapshots.discard(1)
            answer = await self.honest(await self.ask("last"))
            self.assertEqual(4, answer.coverage.total)

        return self.run_with(work, nodes=3)

    def test_old_address_is_served_until_it_is_too_old(self):
        async def work():
            node = self.stage.nodes.pop("vm1")
            stopped = node.stop()
            kept = client.Caller(reactor, ())
            served = 0
            while node.lifecycle.name() == "leaving":
                request = client.Request("seats", served, "steward")
                result = await kept._send(node.caller_url, request)
                self.assertTrue(result.coverage.complete)
                served += 1
            self.assertGreater(served, 0)
            await kept.close()
            await stopped
            found = await self.caller.send_request(
                client.Request("seats", "x", "clerk")
            )
            self.assertTrue(found.coverage.complete)

        return self.run_with(work, nodes=3)

    def test_silent_link_during_a_graceful_stop(self):
        """The link to another node is silent while one node leaves."""

        async def work():
            leaving = self.stage.nodes["vm1"]
            deaf = self.stage.nodes["vm2"]
            await self.ask()
            deaf.links.handler = lambda header, batch: None
            asks = [
                defer.ensureDeferred(self.ask(number, deadline_ms=3_000.0))
                for number in range(5)
            ]
            del self.stage.nodes["vm1"]
            stopped = leaving.stop()
            for asking in asks:
                answer = await asking
                self.assertTrue(answer.coverage.complete)
            await stopped

        return self.run_with(work, nodes=3)


class _Raw(protocol.Protocol):
    def __init__(self):
        self.data = b""
        self.done = defer.Deferred()

    def dataReceived(self, data):
        self.data += data

    def connectionLost(self, reason=None):
        self.done.callback(self.data)


class BadInputTest(StageCase):
    async def raw(self, node, request):
        """Send bytes as they are; return what comes until the end."""
        creator = protocol.ClientCreator(reactor, _Raw)
        port = node._ports[0].getHost().port
        peer = await creator.connectTCP("127.0.0.1", port)
        peer.transport.write(request)
        return await peer.done

    def post(self, body, extra=b""):
        return (
            b"POST /v1/query HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n%s\r\n%s" % (len(body), extra, body)
        )

    def test_bad_input_gets_a_clear_error(self):
        good = b'{"service": "seats", "payload": 1}'
        cases = (
            (self.post(b"{"), b"400", b"bad_request"),
            (self.post(b'{"service": 1, "payload": 1}'), b"400", b"service"),
            (
                self.post(
                    b'{"service": "seats", "payload": 1, "deadline_ms": -1}'
                ),
                b"400",
                b"deadline_ms",
            ),
            (
                self.post(b'{"service": "none", "payload": 1}'),
                b"404",
                b"unknown_service",
            ),
            (
                self.post(
                    b'{"service": "seats", "payload": 1, "priority": "x"}'
                ),
                b"400",
                b"unknown_priority",
            ),
            (
                self.post(
                    b'{"service": "seats", "payload": "%s"}' % (b"x" * 70_000)
                ),
                b"413",
                b"too_large",
            ),
            (
                b"POST /v1/query HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 99999999\r\n\r\n",
                b"413",
                b"too_large",
            ),
            (
                self.post(good, b"X-Big: %s\r\n" % (b"a" * 20_000)),
                b"400",
                b"",
            ),
            (
                b"GET /nowhere HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n",
                b"404",
                b"bad_request",
            ),
            (self.post(good), b"200", b'"answered":3'),
        )

        async def work():
            node = self.stage.nodes["vm1"]
            for request, status, text in cases:
                response = await self.raw(node, request)
                head = response.split(b"\r\n")[0]
                self.assertIn(b" %s " % status, head, request[:200])
                self.assertIn(text, response)

        return self.run_with(work)

    def test_slow_sender_does_not_hold_others_up(self):
        async def work():
            node = self.stage.nodes["vm1"]
            slow = self.raw(node, b"POST /v1/query HTTP/1.1\r\nHost")
            slow = defer.ensureDeferred(slow)
            answer = await self.ask()
            self.assertTrue(answer.coverage.complete)
            await task.deferLater(reactor, 0.01, lambda: None)
            self.assertFalse(slow.called)
            for site in node._sites:
                for channel in list(site.channels):
                    if channel._request_timer is not None:
                        channel._request_timer.reset(0)
            await slow

        return self.run_with(work)
