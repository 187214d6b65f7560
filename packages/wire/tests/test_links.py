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
        self.open_links = []
        self.auth = None

    def tearDown(self):
        for open_link in self.open_links:
            open_link.close()
        if self.auth is not None:
            self.auth.stop()
        self.context.destroy(linger=0)

    def link(self, name, keys=None):
        received = []
        new_links = links.Links(
            reactor,
            self.context,
            name,
            1,
            ADDRESS,
            lambda header, batch: received.extend(
                (header.sender, message) for message in batch
            ),
            keys,
        )
        self.open_links.append(new_links)
        return new_links, received

    async def wait_until(self, condition, polls=POLLS):
        for _ in range(polls):
            if condition():
                return True
            await task.deferLater(reactor, POLL_S, lambda: None)
        return False

    def test_address_that_is_no_endpoint_holds_up_no_other_peer(self):
        async def work():
            sender, _ = self.link("a")
            receiver, received = self.link("b")
            for odd in ("", "odd", "tcp://:x"):
                sender.send(odd, messages.Ping(1))
            sender.send(receiver.receive_socket.address, messages.Ping(2))
            self.assertTrue(await self.wait_until(lambda: received))
            self.assertEqual([("a", messages.Ping(2))], received)
            self.assertEqual(3, sender.counters.unsent)

        return defer.ensureDeferred(work())

    def test_messages_of_one_iteration_arrive_in_order(self):
        async def work():
            sender, _ = self.link("a")
            receiver, received = self.link("b")
            for number in range(500):
                sender.send(
                    receiver.receive_socket.address, messages.Ping(number)
                )
            self.assertTrue(
                await self.wait_until(lambda: len(received) == 500)
            )
            numbers = [message.sequence for _, message in received]
            self.assertEqual(list(range(500)), numbers)
            self.assertEqual(500, sender.counters.sent)

        return defer.ensureDeferred(work())

    def test_malformed_envelopes_are_counted_and_dropped(self):
        async def work():
            sender, _ = self.link("a")
            receiver, received = self.link("b")
            send_socket = sender._send_socket(receiver.receive_socket.address)
            for raw in (b"", b"\x93", b"rubbish", b"\xff" * 100):
                send_socket.send(raw)
            sender.send(receiver.receive_socket.address, messages.Ping(1))
            self.assertTrue(await self.wait_until(lambda: received))
            self.assertEqual(4, receiver.counters.malformed)

        return defer.ensureDeferred(work())

    def keys(self):
        public, secret = zmq.curve_keypair()
        return sockets.CurveKeys.from_settings(
            secret.decode(), (public.decode(),)
        )

    def test_peer_without_a_known_key_is_rejected(self):
        async def work():
            own_keys, other = self.keys(), self.keys()
            self.auth = sockets.start_authenticator(self.context, own_keys)
            receiver, received = self.link("b", own_keys)
            known_peer, _ = self.link("a", own_keys)
            known_peer.send(receiver.receive_socket.address, messages.Ping(1))
            self.assertTrue(await self.wait_until(lambda: received))
            unencrypted, _ = self.link("c")
            unencrypted.send(receiver.receive_socket.address, messages.Ping(2))
            unknown_peer, _ = self.link("d")
            unknown_peer.keys = other
            unknown_peer._send_sockets[receiver.receive_socket.address] = (
                sockets.SendSocket(
                    self.context,
                    receiver.receive_socket.address,
                    other,
                    own_keys.public,
                )
            )
            unknown_peer.send(
                receiver.receive_socket.address, messages.Ping(3)
            )
            await self.wait_until(lambda: len(received) > 1, QUIET_POLLS)
            self.assertEqual(["a"], [sender for sender, _ in received])

        return defer.ensureDeferred(work())
