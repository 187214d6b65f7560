"""Two racing operators, every order of their store calls and faults."""

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
FATES = ("ok", "lost before", "lost after", "refused")


def files(slots):
    extra = b"services: {seats: {slots: %d}}\n" % slots
    return (folder.File("00.yaml", BASE), folder.File("10.yaml", extra))


class Waiting:
    """A store call that waits for its fate."""

    def __init__(self, name, work):
        self.name = name
        self.work = work
        self.result = defer.Deferred()


class ChosenStore(memory.MemoryStore):
    """Each call waits until it is chosen and its fate is known."""

    def __init__(self, conditional):
        super().__init__(task.Clock())
        self.conditional = conditional
        self.free = True
        self.waiting = []
        self.heads = []

    async def _wait(self, name, work):
        if self.free:
            return await work()
        call = Waiting(name, work)
        self.waiting.append(call)
        return await call.result

    async def get(self, name):
        return await self._wait(
            "get", lambda: super(ChosenStore, self).get(name)
        )

    async def put(self, name, value, version):
        async def work():
            wanted = version
            if not self.conditional and name in self.objects:
                wanted = self.objects[name].version
            done = await super(ChosenStore, self).put(name, value, wanted)
            if name == stored_config.HEAD_NAME:
                self.heads.append(stored_config.decode_head(value))
            return done

        kind = "head" if name == stored_config.HEAD_NAME else "put"
        return await self._wait(kind, work)

    def settle(self, call, fate):
        """Let a call have its fate."""
        self.waiting.remove(call)
        if fate == "refused":
            call.result.errback(errors.StoreUnavailableError("refused"))
            return
        if fate == "lost before":
            call.result.errback(errors.StoreOutcomeUnknownError("lost"))
            return
        done = defer.ensureDeferred(call.work())
        if fate == "lost after" and not isinstance(
            getattr(done, "result", None), BaseException
        ):
            done.addErrback(lambda failure: None)
            call.result.errback(errors.StoreOutcomeUnknownError("lost"))
            return
        done.chainDeferred(call.result)


class Run:
    """One run of two operators along a list of choices."""

    def __init__(self, conditional, choices):
        self.choices = choices
        self.options = []
        self.store = ChosenStore(conditional)
        first = defer.ensureDeferred(
            config_store.apply(self.store, files(1), "first")
        )
        assert first.called
        self.store.free = False
        self.outcomes = {}
        for number, author in ((2, "ana"), (3, "ben")):
            work = config_store.apply(self.store, files(number), author)
            running = defer.ensureDeferred(work)
            running.addBoth(self._note, author)
        self._play()

    def _note(self, result, author):
        self.outcomes[author] = getattr(result, "value", result)

    def _choose(self, count):
        place = len(self.options)
        self.options.append(count)
        if place < len(self.choices):
            return self.choices[place]
        self.choices.append(0)
        return 0

    def _play(self):
        faults = 0
        while self.store.waiting:
            waiting = self.store.waiting
            call = waiting[self._choose(len(waiting))]
            fate = "ok"
            if call.name == "head" and faults < MAX_FAULTS:
                fate = FATES[self._choose(len(FATES))]
                faults += fate != "ok"
            self.store.settle(call, fate)

    def broken(self):
        """Say which promise broke, or None."""
        heads = self.store.heads
        generations = [head.generation for head in heads]
        if generations != sorted(set(generations)):
            return f"generations {generations}"
        authors = [head.author for head in heads]
        for author, outcome in self.outcomes.items():
            applied = author in authors
            match outcome:
                case config_store.Applied() if not applied:
                    return f"{author} was told applied and is not"
                case config_store.ApplyConflictError() if applied:
                    return f"{author} was told not applied and is"
                case errors.StoreUnavailableError() if applied:
                    return f"{author} was told unavailable and is applied"
        if len(self.outcomes) < 2:
            return "an operator got no outcome"
        return None


def explore(conditional):
    """Visit every run; return how many, and the first that broke."""
    choices = []
    runs = 0
    while True:
        run = Run(conditional, choices)
        runs += 1
        broken = run.broken()
        if broken:
            return runs, broken
        choices, options = run.choices, run.options
        while choices and choices[-1] + 1 >= options[len(choices) - 1]:
            choices.pop()
        if not choices:
            return runs, None
        choices[-1] += 1


class ExploreTest(unittest.TestCase):
    def test_every_order_of_two_operators(self):
        runs, broken = explore(conditional=True)
        print(f"configuration: {runs} runs seen")
        self.assertIsNone(broken)
        self.assertGreater(runs, 1_000)

    def test_dropping_the_conditional_update_is_caught(self):
        _, broken = explore(conditional=False)
        self.assertIsNotNone(broken)
