"""Checks two concurrent applies in every order of store calls and faults."""

import unittest

from twisted.internet import defer
from twisted.internet import task

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
MAX_FAULTS = 2
CALL_RESULTS = ("ok", "lost before", "lost after", "refused")


def files(slots):
    extra = b"services: {seats: {slots: %d}}\n" % slots
    return (folder.File("00.yaml", BASE), folder.File("10.yaml", extra))


class PendingCall:
    """A store call that has not been given its result yet."""

    def __init__(self, name, perform):
        self.name = name
        self.perform = perform
        self.result = defer.Deferred()


class ControlledStore(memory.MemoryStore):
    """A store whose calls wait until :meth:`settle` gives them a result.

    If ``conditional`` is false, writes ignore the version.
    """

    def __init__(self, conditional):
        super().__init__(task.Clock())
        self.conditional = conditional
        self.immediate = True
        self.waiting = []
        self.heads = []

    async def _wait(self, name, perform):
        if self.immediate:
            return await perform()
        call = PendingCall(name, perform)
        self.waiting.append(call)
        return await call.result

    async def get(self, name):
        return await self._wait(
            "get", lambda: super(ControlledStore, self).get(name)
        )

    async def put(self, name, value, version):
        async def write():
            required_version = version
            if not self.conditional and name in self.objects:
                required_version = self.objects[name].version
            new_version = await super(ControlledStore, self).put(
                name, value, required_version
            )
            if name == stored_config.HEAD_NAME:
                self.heads.append(stored_config.decode_head(value))
            return new_version

        kind = "head" if name == stored_config.HEAD_NAME else "put"
        return await self._wait(kind, write)

    def settle(self, call, result):
        """Complete a call with one of CALL_RESULTS."""
        self.waiting.remove(call)
        if result == "refused":
            call.result.errback(errors.StoreUnavailableError("refused"))
            return
        if result == "lost before":
            call.result.errback(errors.StoreOutcomeUnknownError("lost"))
            return
        performing = defer.ensureDeferred(call.perform())
        if result == "lost after" and not isinstance(
            getattr(performing, "result", None), BaseException
        ):
            performing.addErrback(lambda failure: None)
            call.result.errback(errors.StoreOutcomeUnknownError("lost"))
            return
        performing.chainDeferred(call.result)


class Run:
    """One run in which two operators apply changes concurrently.

    ``choices`` holds the index of the option taken at each choice; beyond
    its end the first option is taken and appended. ``options`` holds the
    number of options at each choice.
    """

    def __init__(self, conditional, choices):
        self.choices = choices
        self.options = []
        self.store = ControlledStore(conditional)
        first = defer.ensureDeferred(
            config_store.apply(self.store, files(1), "first")
        )
        assert first.called
        self.store.immediate = False
        self.outcomes = {}
        for number, author in ((2, "ana"), (3, "ben")):
            applying = config_store.apply(self.store, files(number), author)
            running = defer.ensureDeferred(applying)
            running.addBoth(self._record_outcome, author)
        self._settle_calls()

    def _record_outcome(self, result, author):
        self.outcomes[author] = getattr(result, "value", result)

    def _choose(self, count):
        index = len(self.options)
        self.options.append(count)
        if index < len(self.choices):
            return self.choices[index]
        self.choices.append(0)
        return 0

    def _settle_calls(self):
        faults = 0
        while self.store.waiting:
            waiting = self.store.waiting
            call = waiting[self._choose(len(waiting))]
            result = "ok"
            if call.name == "head" and faults < MAX_FAULTS:
                result = CALL_RESULTS[self._choose(len(CALL_RESULTS))]
                faults += result != "ok"
            self.store.settle(call, result)

    def violation(self):
        """Describe the guarantee that was violated, or return None."""
        heads = self.store.heads
        generations = [head.generation for head in heads]
        if generations != sorted(set(generations)):
            return f"generations are not increasing: {generations}"
        authors = [head.author for head in heads]
        for author, outcome in self.outcomes.items():
            applied = author in authors
            match outcome:
                case config_store.Applied() if not applied:
                    return (
                        f"{author} got Applied, but the change is not applied"
                    )
                case config_store.ApplyConflictError() if applied:
                    return (
                        f"{author} got a conflict, but the change is applied"
                    )
                case errors.StoreUnavailableError() if applied:
                    return f"{author} got an error, but the change is applied"
        if len(self.outcomes) < 2:
            return "an operator got no outcome"
        return None


def explore(conditional):
    """Try all runs; return their number and the first violation, if any."""
    choices = []
    runs = 0
    while True:
        run = Run(conditional, choices)
        runs += 1
        violation = run.violation()
        if violation:
            return runs, violation
        choices, options = run.choices, run.options
        while choices and choices[-1] + 1 >= options[len(choices) - 1]:
            choices.pop()
        if not choices:
            return runs, None
        choices[-1] += 1


class ExploreTest(unittest.TestCase):
    def test_every_order_of_calls_keeps_the_guarantees(self):
        runs, violation = explore(conditional=True)
        print(f"configuration: {runs} runs explored")
        self.assertIsNone(violation)
        self.assertGreater(runs, 1_000)

    def test_unconditional_writes_violate_a_guarantee(self):
        _, violation = explore(conditional=False)
        self.assertIsNotNone(violation)
