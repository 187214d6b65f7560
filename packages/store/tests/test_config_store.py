"""Tests of applying configuration to the store."""

from twisted.internet import defer
from twisted.internet import task
from twisted.trial import unittest

from godwitflow.model import errors
from godwitflow.settings import folder
from godwitflow.settings import stored_config
from godwitflow.store import config_store
from godwitflow.store import memory

BASE = b"""\
services:
  seats:
    index: index/seats
    priorities: {steward: {rank: 0, target_ms: 1, deadline_ms: 600}}
"""


def files(slots, name="10.yaml"):
    extra = b"services: {seats: {slots: %d}}\n" % slots
    return (folder.File("00.yaml", BASE), folder.File(name, extra))


class FaultyStore(memory.MemoryStore):
    """A store in which one write of the head can fail.

    ``before_head`` is a coroutine function that runs before the next write
    of the head. ``fault`` loses the response to that write: with "lost
    before" the write is not applied, with "lost after" it is. A coroutine
    function as ``fault`` runs after the write is applied, before its
    response is lost.
    """

    def __init__(self):
        super().__init__(task.Clock())
        self.before_head = None
        self.fault = None

    async def put(self, name, value, version):
        if name != stored_config.HEAD_NAME:
            return await super().put(name, value, version)
        before, self.before_head = self.before_head, None
        if before is not None:
            await before()
        fault, self.fault = self.fault, None
        if fault == "lost before":
            raise errors.StoreOutcomeUnknownError(name)
        new_version = await super().put(name, value, version)
        if fault == "lost after":
            raise errors.StoreOutcomeUnknownError(name)
        if fault is not None:
            await fault()
            raise errors.StoreOutcomeUnknownError(name)
        return new_version


class ApplyTest(unittest.SynchronousTestCase):
    def setUp(self):
        self.store = FaultyStore()
        first = self.apply(files(1))
        self.assertEqual(1, first.generation)

    def start(self, *args, **kwargs):
        applying = config_store.apply(self.store, *args, **kwargs)
        return defer.ensureDeferred(applying)

    def apply(self, new_files, author="ana", **kwargs):
        return self.successResultOf(self.start(new_files, author, **kwargs))

    def head(self):
        reading = config_store.read_head(self.store)
        return self.successResultOf(defer.ensureDeferred(reading))[0]

    def test_accepted_files_are_read_back_byte_for_byte(self):
        reading = config_store.read(self.store)
        accepted = self.successResultOf(defer.ensureDeferred(reading))
        self.assertEqual(files(1), accepted.files)

    def test_only_one_of_two_concurrent_applies_succeeds(self):
        async def other_apply():
            await config_store.apply(self.store, files(3), "ben")

        self.store.before_head = other_apply
        failure = self.failureResultOf(self.start(files(2), "ana"))
        self.assertEqual(("10.yaml",), failure.value.conflicting_files)
        head = self.head()
        self.assertEqual((2, "ben"), (head.generation, head.author))

    def test_lost_response_of_an_applied_change(self):
        self.store.fault = "lost after"
        done = self.apply(files(2))
        self.assertEqual((2, True), (done.generation, done.settled))
        self.assertEqual(2, self.head().generation)

    def test_lost_response_of_a_change_not_applied(self):
        self.store.fault = "lost before"
        done = self.apply(files(2))
        self.assertEqual(2, done.generation)
        self.assertEqual(2, self.head().generation)

    def test_lost_response_followed_by_another_change(self):
        async def other_apply():
            await config_store.apply(self.store, files(9), "ben")

        self.store.fault = other_apply
        done = self.apply(files(2))
        self.assertEqual((2, True), (done.generation, done.settled))
        self.assertEqual(3, self.head().generation)

    def test_unexpected_generation_is_a_conflict(self):
        failure = self.failureResultOf(
            self.start(files(2), "ana", expected_generation=7),
            config_store.ApplyConflictError,
        )
        self.assertEqual(1, failure.value.generation)

    def test_invalid_folder_writes_nothing(self):
        before = dict(self.store.objects)
        self.failureResultOf(self.start(files(0), "ana"), errors.SettingsError)
        self.assertEqual(before, self.store.objects)

    def test_unchanged_folder_makes_no_new_generation(self):
        self.assertTrue(self.apply(files(1)).unchanged)
        self.assertEqual(1, self.head().generation)


class StoreTest(unittest.SynchronousTestCase):
    def test_conditional_write_and_watch(self):
        clock = task.Clock()
        store = memory.MemoryStore(clock)

        def run(coroutine):
            return defer.ensureDeferred(coroutine)

        first = self.successResultOf(run(store.put("a", b"1", 0)))
        self.failureResultOf(
            run(store.put("a", b"2", 0)), errors.StoreConflictError
        )
        watch = run(store.watch("a", first, 1_000.0))
        self.assertNoResult(watch)
        second = self.successResultOf(run(store.put("a", b"2", first)))
        self.assertEqual(second, self.successResultOf(watch).version)
        unchanged_watch = run(store.watch("a", second, 1_000.0))
        clock.advance(1.0)
        self.assertEqual(b"2", self.successResultOf(unchanged_watch).value)
