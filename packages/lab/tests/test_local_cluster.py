"""Tests of a small cluster over real sockets, with injected faults."""

import json

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from godwitflow.caller import client
from godwitflow.fakes import deployment
from godwitflow.fakes import upstream
from godwitflow.lab import local_cluster
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


class ClusterTestCase(unittest.TestCase):
    """Starts a local cluster for each test and stops it afterwards."""

    timeout = 60

    async def build(self, nodes=2):
        self.cluster = local_cluster.LocalCluster(reactor, SMALL)
        await self.cluster.publish()
        await self.cluster.start_nodes(nodes)
        await self.cluster.wait_ready(nodes)
        entry_points = self.cluster.entry_points()
        self.caller = client.Caller(reactor, entry_points)

    async def tear_down(self):
        await self.caller.close()
        await self.cluster.stop_nodes()
        await self.cluster.close()

    def run_with(self, scenario, nodes=2):
        async def main():
            await self.build(nodes)
            try:
                await scenario()
            finally:
                await self.tear_down()

        return defer.ensureDeferred(main())

    async def query(self, payload="x", **changes):
        return await self.caller.send_request(
            client.Request("seats", payload, "steward", **changes)
        )

    async def book(self, payload, key):
        return await self.query(
            payload, idempotent=False, request_key=key, shard_key="A1"
        )

    def runs(self, payload):
        return self.cluster.fleet.run_count(json.dumps(payload))

    async def kill_node(self, name):
        """Stop a node abruptly: it sends and receives nothing more."""
        node = self.cluster.nodes.pop(name)
        for loop in node._loops:
            loop.stop()
        node.links.close()
        for port in node._ports:
            await port.stopListening()
        for site in node._sites:
            site.close_idle()
        await node.upstream.close()
        await node.store.close()
        node.dispatch.stop()

    async def check_consistent(self, answer):
        """Assert that the rows match the answer's coverage and snapshot."""
        rows = json.loads(bytes(answer.rows))
        self.assertEqual(answer.coverage.answered, len(rows))
        self.assertLessEqual(
            {row["snapshot"] for row in rows}, {answer.snapshot}
        )
        return answer


class QueryTest(ClusterTestCase):
    def test_query_and_booking(self):
        """A booking sent again under its request key must not run twice."""

        async def scenario():
            answer = await self.query()
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

        return self.run_with(scenario)

    def test_queries_but_no_bookings_while_store_is_down(self):
        """A booking must not run while its claim cannot be stored."""

        async def scenario():
            await self.book("warm", "key-0")
            self.cluster.platform.down = True
            answer = await self.query()
            self.assertTrue(answer.coverage.complete)
            refused = await self.book("b2", "key-2")
            self.assertIs(CODES.JOURNAL_UNAVAILABLE, refused.code)
            self.assertIs(answers.RunStatus.NOT_RUN, refused.ran)
            self.assertEqual(0, self.runs("b2"))
            await self.cluster.start_node("vm3", "south")
            await self.cluster.wait_ready(3)
            self.cluster.platform.down = False
            again = await self.book("b2", "key-2")
            self.assertIs(answers.RunStatus.RAN, again.ran)

        return self.run_with(scenario)

    def test_booking_runs_once_if_a_store_response_is_lost(self):
        """A write that succeeds without a response must not stop a booking."""

        async def scenario():
            self.cluster.platform.lose_put_answers = 1
            first = await self.book("b3", "key-3")
            self.assertIs(answers.RunStatus.RAN, first.ran)
            self.assertEqual(1, self.runs("b3"))

        return self.run_with(scenario)

    def test_query_after_abrupt_loss_of_two_nodes(self):
        """Queries must be complete after owners died without leaving."""

        async def scenario():
            await self.query()
            await self.kill_node("vm2")
            await self.kill_node("vm3")
            answer = await self.query("after", deadline_ms=3_000.0)
            self.assertTrue(answer.coverage.complete)

        return self.run_with(scenario, nodes=4)

    def test_crashing_request_crashes_at_most_two_upstreams(self):
        """Resends of a crashing request must not crash more upstreams."""

        async def scenario():
            for fake in self.cluster.fleet.upstreams.values():
                fake.crash_marker = b"poison"
            for _ in range(3):
                refused = await self.caller.send_request(
                    client.Request("seats", "poison", "clerk")
                )
                self.assertIs(CODES.SUSPECT, refused.code)
            fakes = self.cluster.fleet.upstreams.values()
            self.assertLessEqual(sum(item.crash_count for item in fakes), 2)

        return self.run_with(scenario)

    def test_new_configuration_reaches_all_nodes(self):
        """No node may keep the old generation after an apply."""

        async def scenario():
            files = deployment.files(SMALL) + (
                folder.File("90.yaml", b"addresses: {count: 1}\n"),
            )
            store = self.cluster.platform.store
            applied = await config_store.apply(store, files, "ana")
            nodes = self.cluster.nodes.values()
            await self.cluster.wait_until(
                lambda: all(
                    node.catalog.head.generation == applied.generation
                    for node in nodes
                )
            )
            for node in nodes:
                self.assertEqual(1, node.catalog.config.addresses.count)

        return self.run_with(scenario, nodes=3)


class DoubleFailureTest(ClusterTestCase):
    """Two failures at the same time."""

    def split(self):
        """Give all upstreams a new snapshot with one shard split in two.

        Returns the index of that snapshot.
        """
        before = self.cluster.fleet.indexes["seats"]
        shards = dict(before.shards)
        set_id = shards.pop("s02")
        shards["s02a"] = shards["s02b"] = set_id
        after = index.Index("seats", 2, before.replica_sets, shards)
        for fake in self.cluster.fleet.upstreams.values():
            fake.snapshots.add(2)
        return after

    def test_repartition_while_the_owner_leaves(self):
        """Answers must not mix snapshots or miss shards meanwhile."""

        async def scenario():
            leaving = self.cluster.nodes.pop("vm2")
            stopped = leaving.stop()
            await self.cluster.publish_index(self.split())
            seen = set()
            while not stopped.called or 2 not in seen:
                answer = await self.check_consistent(
                    await self.query(len(seen))
                )
                self.assertTrue(answer.coverage.complete)
                seen.add(answer.snapshot)
            for fake in self.cluster.fleet.upstreams.values():
                fake.snapshots.discard(1)
            answer = await self.check_consistent(await self.query("last"))
            self.assertEqual(4, answer.coverage.total)

        return self.run_with(scenario, nodes=3)

    def test_leaving_node_serves_callers_with_a_stale_address(self):
        """A node must not refuse queries while it is leaving."""

        async def scenario():
            node = self.cluster.nodes.pop("vm1")
            stopped = node.stop()
            direct_caller = client.Caller(reactor, ())
            served = 0
            while node.lifecycle.name() == "leaving":
                request = client.Request("seats", served, "steward")
                result = await direct_caller._send(node.caller_url, request)
                self.assertTrue(result.coverage.complete)
                served += 1
            self.assertGreater(served, 0)
            await direct_caller.close()
            await stopped
            answer = await self.caller.send_request(
                client.Request("seats", "x", "clerk")
            )
            self.assertTrue(answer.coverage.complete)

        return self.run_with(scenario, nodes=3)

    def test_silent_link_during_a_graceful_stop(self):
        """One node drops all messages while another one stops."""

        async def scenario():
            leaving = self.cluster.nodes["vm1"]
            unresponsive = self.cluster.nodes["vm2"]
            await self.query()
            unresponsive.links.handler = lambda header, batch: None
            queries = [
                defer.ensureDeferred(self.query(number, deadline_ms=3_000.0))
                for number in range(5)
            ]
            del self.cluster.nodes["vm1"]
            stopped = leaving.stop()
            for query in queries:
                answer = await query
                self.assertTrue(answer.coverage.complete)
            await stopped

        return self.run_with(scenario, nodes=3)


class _Raw(protocol.Protocol):
    def __init__(self):
        self.data = b""
        self.done = defer.Deferred()

    def dataReceived(self, data):
        self.data += data

    def connectionLost(self, reason=None):
        self.done.callback(self.data)


class BadInputTest(ClusterTestCase):
    async def raw(self, node, request):
        """Send raw bytes; return all that is received until the close."""
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

    def test_bad_input_gets_an_error_response(self):
        """Bad requests must get a 4xx status; a valid one is still served."""

        valid_body = b'{"service": "seats", "payload": 1}'
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
                self.post(valid_body, b"X-Big: %s\r\n" % (b"a" * 20_000)),
                b"400",
                b"",
            ),
            (
                b"GET /nowhere HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n",
                b"404",
                b"bad_request",
            ),
            (self.post(valid_body), b"200", b'"answered":3'),
        )

        async def scenario():
            node = self.cluster.nodes["vm1"]
            for request, status, text in cases:
                response = await self.raw(node, request)
                head = response.split(b"\r\n")[0]
                self.assertIn(b" %s " % status, head, request[:200])
                self.assertIn(text, response)

        return self.run_with(scenario)

    def test_slow_sender_does_not_block_others(self):
        """An incomplete request must not delay others; its timer ends it."""

        async def scenario():
            node = self.cluster.nodes["vm1"]
            slow = self.raw(node, b"POST /v1/query HTTP/1.1\r\nHost")
            slow = defer.ensureDeferred(slow)
            answer = await self.query()
            self.assertTrue(answer.coverage.complete)
            await task.deferLater(reactor, 0.01, lambda: None)
            self.assertFalse(slow.called)
            for site in node._sites:
                for channel in list(site.channels):
                    if channel._request_timer is not None:
                        channel._request_timer.reset(0)
            await slow

        return self.run_with(scenario)
