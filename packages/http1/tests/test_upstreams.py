"""Tests of the client's side of a connection to an upstream."""

import unittest

import hypothesis
from hypothesis import strategies
import transports

from godwitflow.http1 import upstreams

REPLY = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Stamp: s\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
STALE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nServer-Stamp: old\r\n"
    b"Content-Length: 3\r\n\r\nold"
)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nhel"
SETTINGS = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)


class Owner:
    """Counts what becomes of connections."""

    id_header = b"request-id"

    def __init__(self):
        self.idle = []
        self.closed = []

    def now_ms(self):
        return 0.0

    def on_idle(self, connection):
        self.idle.append(connection)

    def on_closed(self, connection):
        self.closed.append(connection)


class Rig:
    """A connection with one request under way."""

    def __init__(self, request_id=b"1", connected=True):
        self.owner = Owner()
        self.outcomes = []
        self.connection = upstreams.UpstreamConnection(self.owner)
        self.send(request_id)
        if connected:
            self.connection.makeConnection(transports.Transport())

    def send(self, request_id):
        self.connection.send(
            upstreams.Call(b"request", request_id, False, self.outcomes.append)
        )

    def bodies(self):
        return [
            outcome.response.body
            for outcome in self.outcomes
            if isinstance(outcome, upstreams.Replied)
        ]


class UpstreamConnectionTest(unittest.TestCase):
    def test_whole_reply_frees_the_connection(self):
        rig = Rig()
        rig.connection.dataReceived(REPLY)
        self.assertEqual([b"hello"], rig.bodies())
        self.assertEqual([rig.connection], rig.owner.idle)

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from([REPLY, CHUNKED, STALE + REPLY]),
        strategies.lists(strategies.integers(0, 200), max_size=10),
    )
    def test_any_split_gives_the_same_reply(self, data, cuts):
        rig = Rig()
        edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for start, end in zip(edges, edges[1:]):
            if end > start and not rig.connection.closed:
                rig.connection.dataReceived(data[start:end])
        self.assertEqual([b"hello"], rig.bodies())

    @SETTINGS
    @hypothesis.given(strategies.binary(min_size=1, max_size=80))
    def test_bytes_after_a_reply_never_reach_the_next_request(self, extra):
        rig = Rig()
        rig.connection.dataReceived(REPLY + extra)
        self.assertEqual([b"hello"], rig.bodies())
        if rig.owner.idle:
            rig.send(b"2")
            rig.connection.dataReceived(
                REPLY.replace(b"Request-Id: 1", b"Request-Id: 2")
            )
            self.assertNotIn(extra, b"".join(rig.bodies()[1:]))
        else:
            self.assertEqual([rig.connection], rig.owner.closed)

    def test_stale_reply_is_left_out_and_ends_the_connection(self):
        rig = Rig()
        rig.connection.dataReceived(STALE)
        self.assertEqual([], rig.outcomes)
        rig.connection.dataReceived(REPLY)
        self.assertEqual([b"hello"], rig.bodies())
        self.assertEqual([], rig.owner.idle)
        self.assertTrue(rig.connection.transport.aborted)

    def test_bytes_on_an_idle_connection_end_it(self):
        rig = Rig()
        rig.connection.dataReceived(REPLY)
        rig.connection.dataReceived(STALE)
        self.assertTrue(rig.connection.closed)

    def test_cut_reply_is_no_reply(self):
        for end in (transports.clean_end(), transports.reset()):
            rig = Rig()
            rig.connection.dataReceived(REPLY[:-1])
            rig.connection.connectionLost(end)
            self.assertEqual(
                [
                    upstreams.Failed(
                        upstreams.FailureReason.CONNECTION_LOST, True
                    )
                ],
                rig.outcomes,
            )

    def test_reply_without_length_ends_with_a_clean_end_only(self):
        rig = Rig()
        rig.connection.dataReceived(UNFRAMED)
        self.assertEqual([], rig.outcomes)
        rig.connection.connectionLost(transports.clean_end())
        self.assertEqual([b"hel"], rig.bodies())
        rig = Rig()
        rig.connection.dataReceived(UNFRAMED)
        rig.connection.connectionLost(transports.reset())
        self.assertEqual([], rig.bodies())

    def test_garbage_is_malformed(self):
        rig = Rig()
        rig.connection.dataReceived(b"not http at all\r\n\r\n")
        self.assertEqual(
            [upstreams.Failed(upstreams.FailureReason.MALFORMED, True)],
            rig.outcomes,
        )

    def test_failed_connect_says_that_nothing_was_sent(self):
        rig = Rig(connected=False)
        rig.connection.connect_failed()
        self.assertEqual(
            [upstreams.Failed(upstreams.FailureReason.NOT_CONNECTED, False)],
            rig.outcomes,
        )

    def test_cancelled_call_ends_its_connection(self):
        rig = Rig()
        rig.connection.cancel()
        self.assertTrue(rig.connection.transport.aborted)
        self.assertEqual(
            [upstreams.Failed(upstreams.FailureReason.CANCELLED, True)],
            rig.outcomes,
        )
        rig.connection.dataReceived(REPLY)
        self.assertEqual(1, len(rig.outcomes))

    def test_interim_reply_is_not_the_reply(self):
        rig = Rig()
        rig.connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n" + REPLY)
        self.assertEqual([b"hello"], rig.bodies())

    def test_connection_of_a_long_request_carries_no_other(self):
        """An upstream may answer before it has read all of the body."""
        rig = Rig(connected=False)
        body = b"x" * (upstreams.LARGE_REQUEST_BYTES + 1)
        rig.connection.call = None
        rig.connection.send(
            upstreams.Call(body, b"1", False, rig.outcomes.append)
        )
        rig.connection.makeConnection(transports.Transport())
        rig.connection.dataReceived(REPLY)
        self.assertEqual([b"hello"], rig.bodies())
        self.assertEqual([], rig.owner.idle)
        self.assertEqual([rig.connection], rig.owner.closed)

    def test_stated_keep_alive_bounds_reuse(self):
        rig = Rig()
        rig.connection.dataReceived(
            REPLY.replace(b"Server-Stamp", b"Keep-Alive: timeout=3\r\nX")
        )
        self.assertTrue(rig.connection.usable(2_500.0))
        self.assertFalse(rig.connection.usable(2_700.0))
