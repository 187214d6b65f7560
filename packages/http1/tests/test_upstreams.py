"""Tests of the client side of a connection to an upstream."""

import doctest
import tracemalloc
import unittest

import hypothesis
from hypothesis import strategies
import transports

from godwitflow.http1 import byte_count
from godwitflow.http1 import receive_memory
from godwitflow.http1 import upstreams

RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Stamp: s\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
STALE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nServer-Stamp: old\r\n"
    b"Content-Length: 3\r\n\r\nold"
)
CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
CLOSE_DELIMITED_RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nhel"
SETTINGS = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)


class RecordingOwner:
    """Records the connections reported as idle and as closed."""

    id_header = b"request-id"

    def __init__(self, memory_bytes=receive_memory.LIMIT_BYTES):
        self.bytes_carried = byte_count.ByteCount()
        self.receive_memory = receive_memory.ReceiveMemory(memory_bytes)
        self.idle = []
        self.closed = []

    def now_ms(self):
        return 0.0

    def on_idle(self, connection):
        self.idle.append(connection)

    def on_closed(self, connection):
        self.closed.append(connection)


class PendingCall:
    """A connection with one pending call."""

    def __init__(self, request_id=b"1", connected=True, owner=None):
        self.owner = owner or RecordingOwner()
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
    def test_complete_response_makes_the_connection_idle(self):
        pending = PendingCall()
        pending.connection.dataReceived(RESPONSE)
        self.assertEqual([b"hello"], pending.bodies())
        self.assertEqual([pending.connection], pending.owner.idle)

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(
            [RESPONSE, CHUNKED_RESPONSE, STALE_RESPONSE + RESPONSE]
        ),
        strategies.lists(strategies.integers(0, 200), max_size=10),
    )
    def test_any_split_gives_the_same_response(self, data, cuts):
        pending = PendingCall()
        edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for start, end in zip(edges, edges[1:]):
            if end > start and not pending.connection.closed:
                pending.connection.dataReceived(data[start:end])
        self.assertEqual([b"hello"], pending.bodies())

    def test_response_that_ends_within_its_head_is_no_response(self):
        head, chunked_head, unframed_head = (
            response[: response.index(b"\r\n\r\n") + 4]
            for response in (
                RESPONSE,
                CHUNKED_RESPONSE,
                CLOSE_DELIMITED_RESPONSE,
            )
        )
        for response in (
            head,
            chunked_head,
            unframed_head,
            head.replace(b"200 OK", b"500 Broken"),
            b"HTTP/1.1 100 Continue\r\n\r\n" + unframed_head,
            STALE_RESPONSE + unframed_head,
        ):
            for length in range(len(response)):
                for reason in (transports.clean_close, transports.reset):
                    pending = PendingCall()
                    pending.connection.dataReceived(response[:length])
                    pending.connection.connectionLost(reason())
                    (outcome,) = pending.outcomes
                    self.assertIsInstance(
                        outcome, upstreams.Failed, response[:length]
                    )
                    self.assertEqual([], pending.owner.idle)

    def test_framed_response_that_ends_within_its_body_is_no_response(self):
        for response in (RESPONSE, CHUNKED_RESPONSE):
            head_bytes = response.index(b"\r\n\r\n") + 4
            for length in range(head_bytes, len(response)):
                pending = PendingCall()
                pending.connection.dataReceived(response[:length])
                pending.connection.connectionLost(transports.clean_close())
                (outcome,) = pending.outcomes
                self.assertIsInstance(
                    outcome, upstreams.Failed, response[:length]
                )

    @SETTINGS
    @hypothesis.given(strategies.binary(min_size=1, max_size=80))
    def test_bytes_after_a_response_never_reach_the_next_request(
        self, trailing
    ):
        pending = PendingCall()
        pending.connection.dataReceived(RESPONSE + trailing)
        self.assertEqual([b"hello"], pending.bodies())
        if pending.owner.idle:
            pending.send(b"2")
            pending.connection.dataReceived(
                RESPONSE.replace(b"Request-Id: 1", b"Request-Id: 2")
            )
            self.assertNotIn(trailing, b"".join(pending.bodies()[1:]))
        else:
            self.assertEqual([pending.connection], pending.owner.closed)

    def test_stale_response_is_ignored_and_closes_the_connection(self):
        pending = PendingCall()
        pending.connection.dataReceived(STALE_RESPONSE)
        self.assertEqual([], pending.outcomes)
        pending.connection.dataReceived(RESPONSE)
        self.assertEqual([b"hello"], pending.bodies())
        self.assertEqual([], pending.owner.idle)
        self.assertTrue(pending.connection.transport.aborted)

    def test_bytes_on_an_idle_connection_close_it(self):
        pending = PendingCall()
        pending.connection.dataReceived(RESPONSE)
        pending.connection.dataReceived(STALE_RESPONSE)
        self.assertTrue(pending.connection.closed)

    def test_truncated_response_fails_the_call(self):
        for end in (transports.clean_close(), transports.reset()):
            pending = PendingCall()
            pending.connection.dataReceived(RESPONSE[:-1])
            pending.connection.connectionLost(end)
            self.assertEqual(
                [
                    upstreams.Failed(
                        upstreams.FailureReason.CONNECTION_LOST, True
                    )
                ],
                pending.outcomes,
            )

    def test_unframed_response_needs_a_clean_close(self):
        pending = PendingCall()
        pending.connection.dataReceived(CLOSE_DELIMITED_RESPONSE)
        self.assertEqual([], pending.outcomes)
        pending.connection.connectionLost(transports.clean_close())
        self.assertEqual([b"hel"], pending.bodies())
        pending = PendingCall()
        pending.connection.dataReceived(CLOSE_DELIMITED_RESPONSE)
        pending.connection.connectionLost(transports.reset())
        self.assertEqual([], pending.bodies())

    def test_garbage_fails_the_call_as_malformed(self):
        pending = PendingCall()
        pending.connection.dataReceived(b"not http at all\r\n\r\n")
        self.assertEqual(
            [upstreams.Failed(upstreams.FailureReason.MALFORMED, True)],
            pending.outcomes,
        )

    def test_failed_connect_reports_that_nothing_was_sent(self):
        pending = PendingCall(connected=False)
        pending.connection.connect_failed()
        self.assertEqual(
            [upstreams.Failed(upstreams.FailureReason.NOT_CONNECTED, False)],
            pending.outcomes,
        )

    def test_cancelled_call_closes_its_connection(self):
        pending = PendingCall()
        pending.connection.cancel()
        self.assertTrue(pending.connection.transport.aborted)
        self.assertEqual(
            [upstreams.Failed(upstreams.FailureReason.CANCELLED, True)],
            pending.outcomes,
        )
        pending.connection.dataReceived(RESPONSE)
        self.assertEqual(1, len(pending.outcomes))

    def test_interim_response_is_skipped(self):
        pending = PendingCall()
        pending.connection.dataReceived(
            b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE
        )
        self.assertEqual([b"hello"], pending.bodies())

    def test_connection_is_not_reused_after_a_large_request(self):
        """An upstream may respond before it has read all of the body."""
        pending = PendingCall(connected=False)
        body = b"x" * (upstreams.LARGE_REQUEST_BYTES + 1)
        pending.connection.call = None
        pending.connection.send(
            upstreams.Call(body, b"1", False, pending.outcomes.append)
        )
        pending.connection.makeConnection(transports.Transport())
        pending.connection.dataReceived(RESPONSE)
        self.assertEqual([b"hello"], pending.bodies())
        self.assertEqual([], pending.owner.idle)
        self.assertEqual([pending.connection], pending.owner.closed)

    def test_odd_keep_alive_header_loses_no_response(self):
        # A number of more digits than int() takes left the call unanswered.
        for value in (b"9" * 5_000, b"9" * 400, b"1e9", b"-1", b"", b"nan"):
            pending = PendingCall()
            pending.connection.dataReceived(
                RESPONSE.replace(
                    b"\r\nServer", b"\r\nKeep-Alive: timeout=%b\r\nServer"
                )
                % value
            )
            self.assertEqual([b"hello"], pending.bodies(), value[:10])

    def test_keep_alive_header_limits_reuse(self):
        pending = PendingCall()
        pending.connection.dataReceived(
            RESPONSE.replace(b"Server-Stamp", b"Keep-Alive: timeout=3\r\nX")
        )
        self.assertTrue(pending.connection.usable(2_500.0))
        self.assertFalse(pending.connection.usable(2_700.0))


class StatusTest(unittest.TestCase):
    """Guards against status lines that are none, passed on as answers."""

    def outcome(self, status):
        pending = PendingCall()
        pending.connection.dataReceived(
            b"HTTP/1.1 %b Odd\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok"
            % status
        )
        return pending

    def test_status_that_is_none_fails_the_call_at_once(self):
        for status in (
            b"000",
            b"099",
            b"600",
            b"999",
            b"1000",
            b"-20",
            b"20x",
            b"2 0",
            b"20",
            b"0200",
            b"+200",
            b"",
            b"101",
        ):
            pending = self.outcome(status)
            self.assertEqual(
                [
                    upstreams.Failed(
                        upstreams.FailureReason.MALFORMED, request_sent=True
                    )
                ],
                pending.outcomes,
                status,
            )
            self.assertTrue(pending.connection.closed, status)

    def test_every_status_of_the_protocol_is_an_answer(self):
        for status in (200, 299, 300, 404, 429, 500, 503, 599):
            pending = self.outcome(b"%d" % status)
            self.assertEqual(status, pending.outcomes[0].response.status)


class LargeBodyTest(unittest.TestCase):
    BODY = bytes(range(256)) * 400

    def setUp(self):
        self.transport = transports.Transport()
        connection = upstreams.UpstreamConnection(RecordingOwner())
        connection.send(upstreams.Call(b"head", b"1", False, print, self.BODY))
        connection.makeConnection(self.transport)

    def test_large_body_is_not_copied_for_each_upstream_at_once(self):
        while self.transport.producer is not None:
            self.transport.producer.resumeProducing()
            self.assertLessEqual(
                len(self.transport.take()), upstreams.BODY_SLICE_BYTES + 4
            )

    def test_large_body_is_sent_whole(self):
        while self.transport.producer is not None:
            self.transport.producer.resumeProducing()
        self.assertEqual(b"head" + self.BODY, self.transport.written)


def without_id(response):
    return response.replace(b"Request-Id: 1\r\n", b"")


class ResponseWithoutIdTest(unittest.TestCase):
    """A response without an id may be a late copy of an earlier one."""

    def test_is_accepted_on_a_new_connection_which_is_not_reused(self):
        pending = PendingCall()
        pending.connection.dataReceived(without_id(RESPONSE))
        self.assertEqual([b"hello"], pending.bodies())
        self.assertEqual([], pending.owner.idle)
        self.assertTrue(pending.connection.transport.aborted)

    def test_late_copy_never_reaches_the_next_request(self):
        for copy in (without_id(RESPONSE), RESPONSE, STALE_RESPONSE):
            for step in (1, 7, len(copy)):
                pending = PendingCall()
                pending.connection.dataReceived(RESPONSE)
                pending.send(b"2")
                for start in range(0, len(copy), step):
                    if not pending.connection.closed:
                        pending.connection.dataReceived(
                            copy[start : start + step]
                        )
                self.assertEqual([b"hello"], pending.bodies(), copy)

    def test_next_request_fails_at_once_if_it_cannot_tell(self):
        pending = PendingCall()
        pending.connection.dataReceived(RESPONSE)
        pending.send(b"2")
        pending.connection.dataReceived(without_id(RESPONSE))
        self.assertEqual(
            upstreams.Failed(upstreams.FailureReason.MALFORMED, True),
            pending.outcomes[-1],
        )
        self.assertTrue(pending.connection.transport.aborted)

    def test_calls_without_an_id_reuse_their_connection(self):
        pending = PendingCall(request_id=None)
        for _ in range(2):
            pending.connection.dataReceived(without_id(RESPONSE))
            pending.send(None)
        self.assertEqual([b"hello", b"hello"], pending.bodies())


class EndlessResponseTest(unittest.TestCase):
    """Bytes that never end are dropped at a limit, and the call fails."""

    CHUNK = 16_384

    def assert_dropped(self, start, repeated, limit_bytes, owner=None):
        """Send ``repeated`` until the connection closes, within a limit."""
        pending = PendingCall(owner=owner)
        pending.connection.dataReceived(start)
        sent_bytes = len(start)
        block = repeated * max(1, self.CHUNK // len(repeated))
        while not pending.connection.closed and sent_bytes <= limit_bytes:
            pending.connection.dataReceived(block)
            sent_bytes += len(block)
        self.assertTrue(pending.connection.transport.aborted)
        self.assertEqual(
            [upstreams.Failed(upstreams.FailureReason.MALFORMED, True)],
            pending.outcomes,
        )
        self.assertEqual([pending.connection], pending.owner.closed)
        self.assertEqual(0, pending.owner.receive_memory.held_bytes)

    def test_endless_head(self):
        limit = upstreams.MAX_HEAD_BYTES + self.CHUNK
        ok = b"HTTP/1.1 200 OK\r\n"
        self.assert_dropped(ok, b"X-Filler: 1\r\n", limit)
        self.assert_dropped(ok + b"X-Filler: ", b"a", limit)
        self.assert_dropped(ok + b"X", b"a", limit)
        self.assert_dropped(b"HTTP/1.1 200 O", b"K", limit)

    def test_head_after_a_large_stale_response_is_accepted(self):
        pending = PendingCall()
        size = 2 * upstreams.MAX_HEAD_BYTES
        stale = b"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: %d\r\n"
        pending.connection.dataReceived(stale % size + b"\r\n" + b"a" * size)
        pending.connection.dataReceived(RESPONSE)
        self.assertEqual([b"hello"], pending.bodies())

    def test_endless_interim_responses(self):
        limit = upstreams.MAX_HEAD_BYTES + self.CHUNK
        self.assert_dropped(b"", b"HTTP/1.1 100 Continue\r\n\r\n", limit)

    def test_endless_body(self):
        limit = upstreams.MAX_RESPONSE_BYTES + self.CHUNK
        ok = b"HTTP/1.1 200 OK\r\n"
        chunked = ok + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assert_dropped(ok + b"\r\n", b"a", limit)
        self.assert_dropped(
            ok + b"Content-Length: 99999999999\r\n\r\n", b"a", limit
        )
        self.assert_dropped(chunked, b"4\r\naaaa\r\n", limit)
        self.assert_dropped(chunked + b"1;", b"a", limit)
        self.assert_dropped(chunked + b"0\r\nX-Filler: ", b"a", limit)

    def test_chunks_of_two_bytes_take_no_more_memory_than_was_received(self):
        # Kept one by one, such chunks took 25 times the size that was counted.
        data = b"2\r\nab\r\n" * 40_000
        pending = PendingCall()
        pending.connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        tracemalloc.start()
        try:
            pending.connection.dataReceived(data)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertFalse(pending.connection.closed)
        self.assertLess(held_bytes, len(data))

    def test_body_that_is_mostly_framing_is_dropped_early(self):
        limit = 4 * upstreams.MAX_OVERHEAD_BYTES
        ok = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_dropped(ok, b"2\r\nab\r\n", limit)
        self.assert_dropped(ok, b"1;" + b"a" * 50 + b"\r\nb\r\n", limit)
        self.assert_dropped(ok + b"0\r\n", b"X-Filler: 1\r\n", limit)

    def test_head_of_very_many_headers_is_dropped(self):
        limit = 8 * upstreams.MAX_HEADERS + self.CHUNK
        self.assert_dropped(b"HTTP/1.1 200 OK\r\n", b"a:\r\n", limit)

    def test_large_body_in_small_chunks_is_accepted(self):
        chunks = 60_000
        pending = PendingCall()
        pending.connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(chunks // 1_000):
            pending.connection.dataReceived(b"8\r\nabcdefgh\r\n" * 1_000)
        pending.connection.dataReceived(b"0\r\n\r\n")
        self.assertEqual([b"abcdefgh" * chunks], pending.bodies())

    def test_endless_bodies_share_the_memory_limit(self):
        memory_bytes = 1_048_576
        owner = RecordingOwner(memory_bytes)
        first = PendingCall(owner=owner)
        first.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
        first.connection.dataReceived(b"a" * 1_000_000)
        small = PendingCall(owner=owner)
        small.connection.dataReceived(RESPONSE[:-1])
        second = PendingCall(owner=owner)
        second.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
        while not second.connection.closed:
            second.connection.dataReceived(b"a" * self.CHUNK)
            self.assertLess(owner.receive_memory.held_bytes, 2 * memory_bytes)
        small.connection.dataReceived(RESPONSE[-1:])
        self.assertEqual([b"hello"], small.bodies())
        first.connection.close()
        self.assertEqual(0, owner.receive_memory.held_bytes)

    def hold_on_many(self, start, count, owner):
        """Receive the start of a response on many connections."""
        for _ in range(count):
            PendingCall(owner=owner).connection.dataReceived(start)

    def test_many_bodies_that_stop_short_share_the_memory_limit(self):
        # Each took up to 256 KiB that no limit counted.
        memory_bytes = 1_048_576
        owner = RecordingOwner(memory_bytes)
        start = b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 100_000
        self.hold_on_many(start, 100, owner)
        self.assertLess(owner.receive_memory.held_bytes, 2 * memory_bytes)
        self.assertGreater(owner.receive_memory.dropped_count, 0)

    def test_many_heads_that_stop_short_share_the_memory_limit(self):
        memory_bytes = 1_048_576
        owner = RecordingOwner(memory_bytes)
        start = b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 500 + b"a" * 40_000
        self.hold_on_many(start, 100, owner)
        self.assertLess(owner.receive_memory.held_bytes, 2 * memory_bytes)

    def test_small_response_is_received_while_others_exceed_the_limit(self):
        owner = RecordingOwner(100_000)
        start = b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 30_000
        self.hold_on_many(start, 6, owner)
        small = PendingCall(owner=owner)
        small.connection.dataReceived(RESPONSE[:-1])
        small.connection.dataReceived(RESPONSE[-1:])
        self.assertEqual([b"hello"], small.bodies())


def load_tests(loader, tests, pattern):
    """Add the doctests of the memory limit and of statuses."""
    tests.addTests(doctest.DocTestSuite(receive_memory))
    tests.addTests(doctest.DocTestSuite(upstreams))
    return tests
