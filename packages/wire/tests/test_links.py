"""Tests of links over real sockets on loopback."""

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
import zmq

from godwitflow.wire import links
from godwitflow.wire import messages
from godwitflow.wire import sockets

ADDRESS = "tcp://127.0.0.1:0"
POLL_S = 0.01
POLLS = 300
QUIET_POLLS = 40


class LinksTest(unittest.TestCase):
    timeout = 30

    def setUp(self):
        self.context = zmq.Context()
        self.open = []
        self.auth = None

    def tearDown(self):
        for item in self.open:
            item.close()
        if self.auth is not None:
            self.auth.stop()
        self.context.destroy(linger=0)

    def link(self, name, keys=None):
        got = []
        made = links.Links(
            reactor,
            self.context,
            name,
            1,
            ADDRESS,
            lambda header, batch: got.extend(
                (header.sender, item) for item in batch
            ),
            keys,
        )
        self.open.append(made)
        return made, got

    async def until(self, done, polls=POLLS):
        for _ in range(polls):
            if done():
                return True
            await task.deferLater(reactor, POLL_S, lambda: None)
        return False

    def test_one_turn_is_one_envelope_in_order(self):
        async def work():
            near, _ = self.link("a")
            far, got = self.link("b")
            for number in range(500):
                near.send(far.receive_socket.address, messages.Ping(number))
            self.assertTrue(await self.until(lambda: len(got) == 500))
            numbers = [item.sequence for _, item in got]
            self.assertEqual(list(range(500)), numbers)
            self.assertEqual(500, near.counters.sent)

        return defer.ensureDeferred(work())

    def test_malformed_envelopes_are_counted_and_dropped(self):
        async def work():
            near, _ = self.link("a")
            far, got = self.link("b")
            outlet = near._outlet(far.receive_socket.address)
            for raw in (b"", b"\x93", b"rubbish", b"\xff" * 100):
                outlet.send(raw)
            near.send(far.receive_socket.address, messages.Ping(1))
            self.assertTrue(await self.until(lambda: got))
            self.assertEqual(4, far.counters.malformed)

        return defer.ensureDeferred(work())

    def keys(self):
        public, secret = zmq.curve_keypair()
        return sockets.CurveKeys.from_settings(
            secret.decode(), (public.decode(),)
        )

    def test_peer_without_a_known_key_gets_nowhere(self):
        async def work():
            ours, other = self.keys(), self.keys()
            self.auth = sockets.start_authenticator(self.context, ours)
            far, got = self.link("b", ours)
            friend, _ = self.link("a", ours)
            friend.send(far.receive_socket.address, messages.Ping(1))
            self.assertTrue(await self.until(lambda: got))
            plain, _ = self.link("c")
            plain.send(far.receive_socket.address, messages.Ping(2))
            stranger, _ = self.link("d")
            stranger.keys = other
            stranger._outlets[far.receive_socket.address] = sockets.SendSocket(
                self.context, far.receive_socket.address, other, ours.public
            )
            stranger.send(far.receive_socket.address, messages.Ping(3))
            await self.until(lambda: len(got) > 1, QUIET_POLLS)
            self.assertEqual(["a"], [sender for sender, _ in got])

        return defer.ensureDeferred(work())
