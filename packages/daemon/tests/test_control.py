"""Tests of the control task, on a simulated clock."""

from twisted.internet import task
from twisted.trial import unittest

from godwitflow.daemon import control
from godwitflow.model import errors
from godwitflow.policy import catalog
from godwitflow.policy import membership
from godwitflow.settings import stored_config
from godwitflow.store import memory
from godwitflow.tier import metrics
from godwitflow.wire import messages


class CountingStore(memory.MemoryStore):
    """A store that counts reads of the head and can be unavailable.

    Its watches always fail.
    """

    head_reads = 0
    down = True

    async def get(self, name):
        self.head_reads += name == stored_config.HEAD_NAME
        if self.down:
            raise errors.StoreUnavailableError(name)
        return await super().get(name)

    async def watch(self, name, after, wait_ms):
        raise errors.StoreUnavailableError(name)


class ControlTest(unittest.SynchronousTestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.store = CountingStore(self.clock)
        me = messages.MemberUpdate(
            "vm1", "d", "tcp://1", "", "", 1, messages.MemberState.ALIVE
        )
        self.control = control.Control(
            self.clock,
            lambda: self.clock.seconds() * 1e3,
            self.store,
            membership.Membership(me, 1),
            catalog.Catalog(),
            lambda inner, message: None,
            metrics.Metrics(),
            (),
            1,
        )
        self.control.on_catalog_change = lambda name: None
        self.control.on_member_lost = lambda node: None

    def run_for(self, seconds):
        for _ in range(int(seconds / 0.05)):
            self.clock.advance(0.05)
            self.control.tick()

    def test_head_is_polled_repeatedly_while_watches_fail(self):
        """Guards against polling the head only once after the start."""
        self.run_for(200.0)
        self.assertGreaterEqual(self.store.head_reads, 4)

    def test_catalog_is_unusable_after_a_pause_until_a_peer_confirms(self):
        """Guards against using the catalog again within the same tick."""
        self.control.mark_unconfirmed()
        self.run_for(0.5)
        self.assertFalse(self.control.state_usable)
        other = messages.Digest(catalog.SUMMARY_NAME, 5)
        self.control.on_digests("tcp://2", (other,))
        self.assertFalse(self.control.state_usable)
        same = self.control.catalog.summary()
        self.control.on_digests("tcp://2", (same,))
        self.assertTrue(self.control.state_usable)

    def test_catalog_is_usable_after_timeout_without_peer_or_store(self):
        self.control.mark_unconfirmed()
        self.run_for(5.1)
        self.assertTrue(self.control.state_usable)
