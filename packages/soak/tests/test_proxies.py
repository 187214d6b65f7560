"""Tests of which data each proxy mode forwards."""

import unittest

from twisted.internet import task
from twisted.internet import testing

from godwitflow.soak import proxies

Mode = proxies.Mode


class ProxiedConnection:
    """A client and a target connected through a proxy."""

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
        """Send both ways; return what target and client received."""
        self.client.dataReceived(b"ask")
        self.target.dataReceived(b"answer")
        return self.to_target.value(), self.to_client.value()


class ProxyTest(unittest.TestCase):
    def test_modes_drop_their_direction(self):
        for mode, expected in (
            (Mode.PASS, (b"ask", b"answer")),
            (Mode.DROP_FROM_CLIENT, (b"", b"answer")),
            (Mode.DROP_FROM_TARGET, (b"ask", b"")),
            (Mode.DROP_BOTH, (b"", b"")),
        ):
            self.assertEqual(
                expected, ProxiedConnection(mode).exchange(), mode
            )

    def test_delay_forwards_after_delay(self):
        connection = ProxiedConnection(Mode.DELAY)
        self.assertEqual((b"", b""), connection.exchange())
        connection.clock.advance(proxies.DELAY_S + 0.01)
        self.assertEqual(b"ask", connection.to_target.value())

    def test_silenced_connection_stays_open_and_forwards_nothing(self):
        connection = ProxiedConnection()
        connection.proxy.silence_open_connections()
        self.assertEqual((b"", b""), connection.exchange())
        self.assertFalse(connection.aborted)
        later = connection.proxy.buildProtocol(None)
        later.makeConnection(testing.StringTransport())
        self.assertFalse(later.silent)

    def test_reset_aborts_open_and_new_connections(self):
        connection = ProxiedConnection()
        connection.proxy.set_mode(Mode.RESET)
        self.assertTrue(connection.aborted)
        self.assertTrue(ProxiedConnection(Mode.RESET).aborted)

    def test_bytes_received_before_the_target_connects_are_buffered(self):
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
