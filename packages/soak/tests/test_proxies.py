"""Tests of the proxies: what each mode lets through."""

import unittest

from twisted.internet import task
from twisted.internet import testing

from godwitflow.soak import proxies

Mode = proxies.Mode


class Pair:
    """A client and a target with a proxy between them."""

    def __init__(self, mode=Mode.PASS):
        self.clock = testing.MemoryReactorClock()
        self.proxy = proxies.Proxy(self.clock, "127.0.0.1:9")
        self.proxy.mode = mode
        self.client = self.proxy.buildProtocol(None)
        self.to_client = testing.StringTransport()
        self.to_client.abortConnection = self._abort
        self.aborted = False
        self.client.makeConnection(self.to_client)
        self.to_target = testing.StringTransport()
        if self.clock.tcpClients:
            factory = self.clock.tcpClients[0][2]
            self.target = factory.buildProtocol(None)
            self.target.makeConnection(self.to_target)

    def _abort(self):
        self.aborted = True

    def exchange(self):
        """Send both ways; return what the target and the client got."""
        self.client.dataReceived(b"ask")
        self.target.dataReceived(b"answer")
        return self.to_target.value(), self.to_client.value()


class ProxyTest(unittest.TestCase):
    def test_modes_lose_what_they_say(self):
        for mode, expected in (
            (Mode.PASS, (b"ask", b"answer")),
            (Mode.DEAF, (b"", b"answer")),
            (Mode.MUTE, (b"ask", b"")),
            (Mode.SILENT, (b"", b"")),
        ):
            self.assertEqual(expected, Pair(mode).exchange(), mode)

    def test_delay_keeps_bytes_for_a_while(self):
        pair = Pair(Mode.DELAY)
        self.assertEqual((b"", b""), pair.exchange())
        pair.clock.advance(proxies.DELAY_S + 0.01)
        self.assertEqual(b"ask", pair.to_target.value())

    def test_reset_breaks_off_open_and_new_connections(self):
        pair = Pair()
        pair.proxy.set_mode(Mode.RESET)
        self.assertTrue(pair.aborted)
        self.assertTrue(Pair(Mode.RESET).aborted)

    def test_bytes_that_come_before_the_target_are_kept(self):
        clock = testing.MemoryReactorClock()
        proxy = proxies.Proxy(clock, "127.0.0.1:9")
        client = proxy.buildProtocol(None)
        client.makeConnection(testing.StringTransport())
        client.dataReceived(b"early")
        target = clock.tcpClients[0][2].buildProtocol(None)
        transport = testing.StringTransport()
        target.makeConnection(transport)
        self.assertEqual(b"early", transport.value())
        self.assertIsInstance(clock, task.Clock)
