"""Tests that a follower goes on after errors that nobody expects."""

import unittest

import node_fixture

from godwitflow.model import errors


def events_of(fixture):
    return [event for event, _ in fixture.log.lines]


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.fixture = node_fixture.serving_node()
        self.node = self.fixture.node

    def write_upstream(self, name, port):
        spec = {"address": f"10.0.1.1:{port}"}
        self.fixture.store.write("upstreams", name, spec)

    def assert_follows(self):
        self.write_upstream("u2", 81)
        self.fixture.advance(3_000.0)
        ready = self.node.cluster_state.registry.ready()
        self.assertIn("u2", [entry.upstream for entry in ready])

    def test_unexpected_error_of_a_call_does_not_end_the_follower(self):
        # It ended for good, and its copy was announced as fresh.
        client = self.node.replication.store
        watch = client.watch
        kinds = {"configurations", "upstreams"}

        async def failing_watch(kind, *arguments):
            if kind in kinds:
                kinds.discard(kind)
                raise RecursionError
            return await watch(kind, *arguments)

        client.watch = failing_watch
        self.fixture.advance(9_000.0)
        self.assertEqual(2, events_of(self.fixture).count("follow_failed"))
        self.assert_follows()

    def test_entry_that_fails_its_decoder_hides_no_other(self):
        decoder = self.node.cluster_state._decoder
        decode = decoder.decode_registration

        def failing_decode(stored):
            if stored.name == "odd":
                raise errors.GodwitflowError("odd")
            return decode(stored)

        decoder.decode_registration = failing_decode
        self.write_upstream("odd", 82)
        self.assert_follows()
        self.assertIn("registration_unusable", events_of(self.fixture))

    def test_unexpected_error_while_changes_are_applied_ends_nothing(self):
        apply = self.node.cluster_state._on_registrations
        failures = [ZeroDivisionError()]

        def failing_apply(ready):
            if failures:
                raise failures.pop()
            apply(ready)

        self.node.cluster_state._on_registrations = failing_apply
        self.write_upstream("u3", 83)
        self.fixture.advance(3_000.0)
        self.assertIn("changes_failed", events_of(self.fixture))
        self.assert_follows()
        self.assertIn("u3", self.node.dispatcher._upstreams)
