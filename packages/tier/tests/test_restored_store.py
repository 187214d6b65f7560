"""Tests of a node whose store comes back from a backup."""

import unittest

import node_fixture

AWAY_MS = 1_000.0
SETTLED_MS = 1_500.0
GRACE_MS = 3_000.0
VERIFY_MS = 25_000.0


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.fixture = node_fixture.serving_node(evacuations=True)
        self.store = self.fixture.store

    def version(self):
        return self.fixture.node.cluster_state.configuration.version

    def status(self):
        return self.fixture.request(1, b"/one/x").split(b" ")[1]

    def configure(self, version):
        self.store.write("configurations", "main", {"version": version})

    def restore(self, backup):
        """Restore the store after a moment in which it refuses all calls."""
        self.fixture.advance(SETTLED_MS)
        self.store.should_reject = lambda caller: True
        self.fixture.advance(AWAY_MS)
        self.store.restore(backup)
        self.store.should_reject = lambda caller: False

    def test_next_version_is_in_force_although_its_revision_is_lower(self):
        backup = self.store.backup()
        for version in (5, 8, 11, 14):
            self.configure(version)
        self.restore(backup)
        self.configure(31)
        self.fixture.advance(SETTLED_MS)
        self.assertEqual(31, self.version())

    def test_version_of_the_backup_does_not_replace_a_later_one(self):
        backup = self.store.backup()
        self.configure(14)
        self.restore(backup)
        for written, in_force in ((None, 14), (5, 14), (14, 14), (17, 17)):
            if written is not None:
                self.configure(written)
            self.fixture.advance(SETTLED_MS)
            self.assertEqual(in_force, self.version(), written)
        outdated = [
            fields["version"]
            for event, fields in self.fixture.log.lines
            if event == "configuration_outdated"
        ]
        self.assertEqual([3, 5], outdated)

    def test_upstream_that_was_removed_gets_no_calls_from_a_backup(self):
        backup = self.store.backup()
        self.store.remove("upstreams", "u1")
        self.restore(backup)
        self.fixture.advance(SETTLED_MS)
        arrived = len(self.fixture.upstream.arrived_at_ms)
        self.assertEqual(b"503", self.status())
        self.assertEqual(arrived, len(self.fixture.upstream.arrived_at_ms))

    def test_upstream_missing_in_a_backup_is_used_until_it_registers(self):
        self.store.remove("upstreams", "u1")
        backup = self.store.backup()
        spec = {"address": "10.0.1.1:80"}
        self.store.write("upstreams", "u1", spec)
        self.restore(backup)
        self.fixture.advance(SETTLED_MS)
        self.assertEqual(b"200", self.status())
        self.store.write("upstreams", "u1", spec)
        self.fixture.advance(GRACE_MS)
        self.assertEqual(b"200", self.status())

    def test_upstream_that_does_not_register_again_is_gone(self):
        self.store.remove("upstreams", "u1")
        backup = self.store.backup()
        self.store.write("upstreams", "u1", {"address": "10.0.1.1:80"})
        self.restore(backup)
        self.fixture.advance(GRACE_MS + SETTLED_MS)
        self.assertEqual(b"503", self.status())

    def test_evacuation_that_the_operator_writes_again_does_not_end(self):
        domain = self.fixture.upstream.registration().failure_domain
        backup = self.store.backup()
        self.store.write("evacuations", domain, {})
        self.restore(backup)
        self.fixture.advance(SETTLED_MS)
        self.assertEqual(b"503", self.status())
        self.store.write("evacuations", domain, {})
        self.fixture.advance(GRACE_MS)
        self.assertEqual(b"503", self.status())
        self.store.remove("evacuations", domain)
        self.fixture.advance(SETTLED_MS)
        self.assertEqual(b"200", self.status())

    def test_evacuation_that_nobody_writes_again_ends(self):
        domain = self.fixture.upstream.registration().failure_domain
        backup = self.store.backup()
        self.store.write("evacuations", domain, {})
        self.restore(backup)
        self.fixture.advance(GRACE_MS + SETTLED_MS)
        self.assertEqual(b"200", self.status())

    def test_node_that_the_backup_does_not_list_registers_again(self):
        backup = self.store.backup()
        backup.kinds["members"].clear()
        self.restore(backup)
        self.fixture.advance(VERIFY_MS)
        listed = self.store.listing("members").objects
        self.assertEqual(["n1"], [entry.name for entry in listed])

    def test_node_that_registers_already_does_not_start_once_more(self):
        # Each restore added one more loop while the store was away.
        self.store.should_reject = lambda caller: True
        registration = self.fixture.node._self_registration
        for _ in range(5):
            registration.on_store_restored()
        self.fixture.advance(VERIFY_MS)
        before = self.delayed_count()
        self.fixture.advance(10_000.0)
        self.assertLessEqual(self.delayed_count() - before, 5)

    def delayed_count(self):
        events = [event for event, _ in self.fixture.log.lines]
        return events.count("join_delayed")

    def test_metrics_tell_which_configuration_and_store_a_node_follows(self):
        self.restore(self.store.backup())
        self.fixture.advance(SETTLED_MS)
        text = self.fixture.request(4, b"/metrics")
        self.assertIn(b"godwitflow_configuration_version 3", text)
        self.assertIn(b'godwitflow_store_era{kind="upstreams"} 2', text)
        self.assertIn(b'godwitflow_store_revision{kind="upstreams"}', text)
