"""Tests of the server side of a caller's connection."""

import contextlib
import socket
import time
import tracemalloc
import unittest

import hypothesis
from hypothesis import strategies
import transports

from godwitflow.http1 import caller_capacity
from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.http1 import send_queue

GET = b"GET /a/b?c=1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /y HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked"
    b"\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
SETTINGS = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)


class RecordingServer:
    """Records the exchanges; the test responds to them."""

    def __init__(self):
        self.limits = callers.Limits(
            header_bytes=500,
            body_bytes=100,
            header_timeout_ms=1_000.0,
            idle_timeout_ms=3_000.0,
        )
        self.capacity = caller_capacity.CallerCapacity()
        self.closing = False
        self.connections = set()
        self.exchanges = []
        self.time_ms = 0.0

    def now_ms(self):
        return self.time_ms

    def handle(self, exchange):
        self.exchanges.append(exchange)


class FakeSocket:
    """A socket whose recv returns bytes, returns b"" or raises."""

    def __init__(self, result):
        self.result = result

    def recv(self, count, flags):
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


def connect(server):
    connection = callers.CallerConnection(server)
    connection.makeConnection(transports.Transport())
    return connection


def exchange_all(data, cuts, respond_immediately=True):
    """Feed data split at ``cuts``; return the requests and the output."""
    server = RecordingServer()
    connection = connect(server)
    edges = [0, *sorted(cuts), len(data)]
    requests = []
    for start, end in zip(edges, edges[1:]):
        if end > start:
            connection.dataReceived(data[start:end])
        while respond_immediately and len(server.exchanges) > len(requests):
            exchange = server.exchanges[len(requests)]
            request = exchange.request
            requests.append(
                (request.method, request.target, request.headers, request.body)
            )
            exchange.respond(messages.text_response(200, "ok"))
    return requests, connection.transport.written


@contextlib.contextmanager
def slow_caller():
    """Yield the two sides of a TCP connection; nobody reads them."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        caller = socket.create_connection(listening.getsockname())
        accepted, _ = listening.accept()
        accepted.setblocking(False)
        with caller, accepted:
            yield caller, accepted


class CallerConnectionTest(unittest.TestCase):
    def test_request_of_a_disconnected_caller_is_not_started(self):
        for result, starts in (
            (b"", False),
            (ConnectionResetError(), False),
            (BlockingIOError(), True),
            (b"G", True),
        ):
            server = RecordingServer()
            connection = connect(server)
            connection.transport.getHandle = lambda: FakeSocket(result)
            connection.dataReceived(GET)
            self.assertEqual(int(starts), len(server.exchanges), result)
            self.assertEqual(not starts, connection.transport.aborted)

    def test_only_the_first_request_is_first_on_its_connection(self):
        server = RecordingServer()
        connection = connect(server)
        for number in range(3):
            connection.dataReceived(GET)
            exchange = server.exchanges[number]
            self.assertEqual(number == 0, exchange.request.first_on_connection)
            exchange.respond(messages.text_response(200, "ok"))

    def test_request_is_preserved_byte_for_byte(self):
        requests, _ = exchange_all(GET + POST + CHUNKED, [])
        self.assertEqual(
            [(b"GET", b"/a/b?c=1"), (b"POST", b"/x"), (b"POST", b"/y")],
            [request[:2] for request in requests],
        )
        self.assertEqual(
            [None, b"hello", b"abcde"], [request[3] for request in requests]
        )
        self.assertIn((b"Request-Id", b"1"), requests[0][2])

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.integers(0, len(GET + POST + CHUNKED)), max_size=12
        )
    )
    def test_any_split_gives_the_same_requests(self, cuts):
        data = GET + POST + CHUNKED
        self.assertEqual(exchange_all(data, []), exchange_all(data, cuts))

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_garbage_after_a_request_is_never_a_request(self, garbage):
        hypothesis.assume(not garbage.lstrip(b"\r\n")[:1].isalpha())
        requests, _ = exchange_all(GET + garbage, [])
        self.assertEqual(1, len(requests))

    def test_request_smuggling_is_rejected(self):
        for data in (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /in HTTP/1.1\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 5\r\n\r\nabcGE",
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked"
            b"\r\n\r\n0\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nBad Header: x\r\n\r\n",
        ):
            requests, written = exchange_all(data, [])
            self.assertEqual([], requests, data)
            self.assertTrue(written.startswith(b"HTTP/1.1 400 "), written)

    def test_responses_keep_the_request_order(self):
        server = RecordingServer()
        connection = connect(server)
        connection.dataReceived(GET + POST)
        self.assertEqual(1, len(server.exchanges))
        server.exchanges[0].respond(messages.text_response(200, "first"))
        server.exchanges[1].respond(messages.text_response(200, "second"))
        written = connection.transport.written
        self.assertLess(written.index(b"first"), written.index(b"second"))

    def test_second_response_is_ignored(self):
        server = RecordingServer()
        connection = connect(server)
        connection.dataReceived(GET)
        server.exchanges[0].respond(messages.text_response(200, "first"))
        connection.transport.take()
        server.exchanges[0].respond(messages.text_response(200, "second"))
        self.assertEqual(b"", connection.transport.written)

    def test_disconnect_is_reported_once(self):
        server = RecordingServer()
        connection = connect(server)
        connection.dataReceived(GET)
        disconnects = []
        server.exchanges[0].on_disconnect = lambda: disconnects.append(True)
        connection.connectionLost(transports.clean_close())
        self.assertEqual([True], disconnects)
        server.exchanges[0].respond(messages.text_response(200, "late"))
        self.assertEqual(b"", connection.transport.written)

    def test_oversized_headers_and_body_are_rejected(self):
        _, written = exchange_all(b"GET /" + b"a" * 600 + b" HTTP/1.1\r\n", [])
        self.assertTrue(written.startswith(b"HTTP/1.1 431 "))
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n"
        _, written = exchange_all(head, [])
        self.assertTrue(written.startswith(b"HTTP/1.1 413 "))

    def test_chunks_of_one_byte_take_no_more_memory_than_was_received(self):
        server = RecordingServer()
        server.limits.body_bytes = 100_000
        connection = connect(server)
        connection.dataReceived(CHUNKED[: CHUNKED.index(b"3\r\n")])
        data = b"1\r\na\r\n" * 40_000
        tracemalloc.start()
        try:
            connection.dataReceived(data)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(held_bytes, len(data))
        connection.dataReceived(b"0\r\n\r\n")
        self.assertEqual(b"a" * 40_000, server.exchanges[0].request.body)

    def test_slow_headers_get_408_and_idle_connection_closes(self):
        server = RecordingServer()
        connection = connect(server)
        connection.dataReceived(GET[:10])
        server.time_ms = 1_001.0
        connection.check_timeouts(server.time_ms)
        self.assertIn(b"408", connection.transport.written)
        idle = connect(server)
        idle.check_timeouts(server.time_ms + 2_999.0)
        self.assertFalse(idle.transport.write_closed)
        idle.check_timeouts(server.time_ms + 3_001.0)
        self.assertTrue(idle.transport.write_closed)
        self.assertEqual(b"", idle.transport.written)

    def test_response_that_is_still_being_sent_is_not_cut(self):
        # A stopping node reset what a slow caller had not received after 1 s.
        with slow_caller() as (caller, accepted):
            server = RecordingServer()
            connection = connect(server)
            connection.transport.getHandle = lambda: accepted
            connection.dataReceived(GET)
            server.closing = True
            unread = accepted.send(b"x" * 4_000_000)
            server.exchanges[0].respond(messages.text_response(200, "ok"))
            connection.check_timeouts(2_000.0)
            self.assertFalse(connection.transport.aborted)
            while unread > 0:
                unread -= len(caller.recv(65_536))
            while send_queue.unsent_bytes(accepted):
                time.sleep(0.01)  # the kernel acknowledges soon
            connection.check_timeouts(2_000.0)
            self.assertTrue(connection.transport.aborted)

    def test_caller_that_never_reads_is_reset_in_the_end(self):
        with slow_caller() as (_, accepted):
            server = RecordingServer()
            connection = connect(server)
            connection.transport.getHandle = lambda: accepted
            accepted.send(b"x" * 4_000_000)
            connection.start_lingering_close()
            connection.check_timeouts(29_000.0)
            self.assertFalse(connection.transport.aborted)
            connection.check_timeouts(31_000.0)
            self.assertTrue(connection.transport.aborted)

    def test_stopping_server_closes_after_the_response(self):
        server = RecordingServer()
        connection = connect(server)
        connection.dataReceived(GET)
        server.closing = True
        server.exchanges[0].respond(messages.text_response(200, "last"))
        self.assertIn(b"Connection: close\r\n", connection.transport.written)
        self.assertTrue(connection.transport.write_closed)

    def test_expect_gets_100_continue(self):
        server = RecordingServer()
        connection = connect(server)
        connection.dataReceived(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        self.assertEqual(callers.CONTINUE, connection.transport.take())
        connection.dataReceived(b"ok")
        self.assertEqual(b"ok", server.exchanges[0].request.body)


class CapacityTest(unittest.TestCase):
    def setUp(self):
        self.server = RecordingServer()
        self.server.limits = callers.Limits()
        self.server.capacity = caller_capacity.CallerCapacity(
            caller_capacity.CapacityLimits(request_bytes=20_000)
        )

    def send(self, data):
        connection = connect(self.server)
        connection.dataReceived(data)
        return connection

    def test_incomplete_body_is_refused_as_not_run_when_there_is_no_room(self):
        head = b"POST /x HTTP/1.1\r\nContent-Length: 15000\r\n\r\n"
        first = self.send(head + b"x" * 14_999)
        second = self.send(head + b"x" * 14_999)
        self.assertIn(b" 503 ", first.transport.written)
        self.assertIn(b"Retry-After", first.transport.written)
        self.assertEqual(0, first.held_bytes)
        second.dataReceived(b"x")
        self.assertEqual(1, len(self.server.exchanges))

    def test_answered_request_holds_nothing(self):
        connection = self.send(CHUNKED)
        self.assertGreater(self.server.capacity.held_bytes, 0)
        self.server.exchanges[0].respond(messages.text_response(200, "ok"))
        self.assertEqual(0, self.server.capacity.held_bytes)
        self.assertEqual(0, connection.held_bytes)

    def test_trailers_that_do_not_end_are_rejected(self):
        self.server.limits = callers.Limits(header_bytes=5_000)
        head = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection = self.send(head + b"1\r\nx\r\n0\r\nA: ")
        for _ in range(10):
            connection.dataReceived(b"a" * 1_000)
        self.assertIn(b" 431 ", connection.transport.written)

    def test_many_small_headers_count_with_their_objects(self):
        head = b"GET /x HTTP/1.1\r\n" + b"a:b\r\n" * 3_000
        connection = self.send(head)
        self.assertIn(b" 503 ", connection.transport.written)

    def test_requests_wait_while_the_caller_reads_no_answers(self):
        connection = self.send(GET * 3)
        connection.pauseProducing()
        self.server.exchanges[0].respond(messages.text_response(200, "ok"))
        self.assertEqual(1, len(self.server.exchanges))
        connection.resumeProducing()
        self.assertEqual(2, len(self.server.exchanges))

    def test_answer_on_its_way_is_evicted_last_until_it_is_left_unread(self):
        order = caller_capacity.EvictionOrder
        connection = self.send(GET)
        connection.pauseProducing()
        self.assertIs(order.ANSWERING, connection.eviction_rank().order)
        self.server.time_ms += callers.UNREAD_ANSWER_MS + 1.0
        connection.pauseProducing()
        self.assertIs(order.UNREAD, connection.eviction_rank().order)
        connection.resumeProducing()
        connection.pauseProducing()
        self.assertIs(order.ANSWERING, connection.eviction_rank().order)

    def test_caller_that_reads_no_answers_gives_way(self):
        unread = self.send(GET * 2)
        self.server.exchanges[0].respond(
            messages.text_response(200, "x" * 9_000)
        )
        unread.pauseProducing()
        unread.dataReceived(GET)
        self.assertGreater(unread.held_bytes, 9_000)
        self.send(
            b"POST /x HTTP/1.1\r\nContent-Length: 15000\r\n\r\n"
            + b"x" * 14_000
        )
        self.assertTrue(unread.transport.aborted)

    def test_many_small_requests_make_room_for_a_large_one(self):
        self.server.capacity.limits = caller_capacity.CapacityLimits(
            request_bytes=1_600_000
        )
        head = b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
        waiting = [self.send(head % 6_000 + b"x" * 5_000) for _ in range(255)]
        large = self.send(head % 1_500_000 + b"x" * 1_500_000)
        self.assertEqual(1, len(self.server.exchanges))
        self.assertFalse(large.transport.written)
        for connection in waiting[:230]:
            self.assertIn(b" 503 ", connection.transport.written)
