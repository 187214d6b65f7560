"""Tests of requests that a planned stop meets in every state."""

import unittest

import node_fixture

REQUEST = node_fixture.GET % b"/one/"
ANSWER = b"HTTP/1.1 200 "


class StopUnderLoadTest(unittest.TestCase):
    def setUp(self):
        self.fixture = node_fixture.serving_node()
        self.fixture.advance(500.0)

    def stop(self):
        self.fixture.node.stop()

    def assert_answered(self, connection, answers=1):
        self.fixture.advance(1_000.0)
        self.assertEqual([], self.fixture.stop_results)
        received = connection.transport.value()
        self.assertEqual(answers, received.count(ANSWER))
        self.assertEqual(answers, received.count(b"whole"))
        self.assertIn(b"Connection: close", received)

    def test_connection_that_was_just_accepted_is_answered(self):
        connection = self.fixture.connect(1)
        self.stop()
        connection.dataReceived(REQUEST)
        self.assert_answered(connection)

    def test_request_that_was_just_read_is_answered(self):
        connection = self.fixture.connect(1)
        connection.dataReceived(REQUEST)
        self.stop()
        self.assert_answered(connection)

    def test_request_that_was_half_read_is_answered(self):
        for cut in range(1, len(REQUEST)):
            self.setUp()
            connection = self.fixture.connect(1)
            connection.dataReceived(REQUEST[:cut])
            self.stop()
            self.fixture.advance(100.0)
            connection.dataReceived(REQUEST[cut:])
            self.assert_answered(connection)

    def test_requests_that_wait_in_a_queue_are_answered(self):
        dispatcher = self.fixture.node.dispatcher
        dispatcher.service("one").upstreams[0].pool.max_connections = 1
        connections = [self.fixture.connect(1) for _ in range(5)]
        for connection in connections:
            connection.dataReceived(REQUEST)
        self.assertEqual(4, len(dispatcher.service("one").queue))
        self.stop()
        for connection in connections:
            self.assert_answered(connection)

    def test_first_of_pipelined_requests_is_answered_and_no_other_runs(self):
        # The answer says that the connection closes: the others did not run.
        connection = self.fixture.connect(1)
        connection.dataReceived(REQUEST * 3)
        self.stop()
        self.assert_answered(connection)
        self.assertEqual(1, len(self.fixture.upstream.executions))

    def test_pipelined_requests_after_a_stop_are_the_same(self):
        connection = self.fixture.connect(1)
        self.stop()
        connection.dataReceived(REQUEST * 3)
        self.assert_answered(connection)
        self.assertEqual(1, len(self.fixture.upstream.executions))
