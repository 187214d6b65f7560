"""Explores every interleaving of two nodes on one journal partition."""

import copy
import dataclasses
import unittest

from godwitflow.model import answers
from godwitflow.policy import journal
from godwitflow.wire import messages

VERDICTS = messages.ClaimVerdict
KEY = "seats/booking-1"
LATE_MS = 10_000.0


@dataclasses.dataclass
class StoreCall:
    """A store call of a node.

    ``result`` is set once the call has reached the store.
    """

    node: int
    incarnation: int
    action: object
    at_store: bool = False
    result: tuple | None = None


@dataclasses.dataclass
class State:
    """The state of two nodes, a store and the claims on one key.

    ``sent`` lists the claim and its retry once they are made. ``faults`` is
    the number of faults that may still happen.
    """

    conditional: bool
    value: bytes = b""
    version: int = 0
    nodes: list = dataclasses.field(default_factory=list)
    incarnations: list = dataclasses.field(default_factory=lambda: [0, 0])
    calls: list = dataclasses.field(default_factory=list)
    verdicts: dict = dataclasses.field(default_factory=dict)
    sent: list = dataclasses.field(default_factory=list)
    runs: int = 0
    faults: int = 2

    def perform(self, node, actions):
        for action in actions:
            match action:
                case journal.ReplyClaim(reply=reply):
                    self.verdicts[reply.claim_id] = reply.verdict.name
                    if reply.verdict is VERDICTS.CLAIMED:
                        self.runs += 1
                case _:
                    self.calls.append(
                        StoreCall(node, self.incarnations[node], action)
                    )

    def clone(self):
        """Copy the state that a step changes; actions are immutable."""
        after = copy.copy(self)
        after.nodes = [clone_partition(node) for node in self.nodes]
        after.incarnations = list(self.incarnations)
        after.calls = [copy.copy(call) for call in self.calls]
        after.verdicts = dict(self.verdicts)
        after.sent = list(self.sent)
        return after

    def claim(self, number, node):
        self.sent.append(number)
        claim = messages.Claim(number, 0, KEY, f"f/{number}", 1_000.0)
        self.perform(node, self.nodes[node].on_claim(0.0, 0.0, "f", claim))

    def reach_store(self, call):
        """Apply a call at the store."""
        call.at_store = True
        match call.action:
            case journal.Read():
                call.result = ("read", self.value, self.version)
            case journal.Write(value=value, version=version):
                if self.conditional and version != self.version:
                    call.result = ("conflict",)
                else:
                    self.value, self.version = value, self.version + 1
                    call.result = ("written", self.version)

    def deliver(self, call, result):
        """Deliver a result unless the node has restarted since."""
        if self.incarnations[call.node] != call.incarnation:
            return
        partition = self.nodes[call.node]
        match result:
            case ("read", value, version):
                actions = partition.on_read(0.0, 0.0, value, version)
            case ("written", version):
                actions = partition.on_written(0.0, 0.0, version)
            case ("conflict",):
                actions = partition.on_write_conflict()
            case ("unknown",):
                actions = partition.on_write_unknown()
            case ("unavailable",):
                actions = partition.on_store_unavailable(0.0)
        self.perform(call.node, actions)

    def key(self):
        nodes = tuple(
            (
                node.state,
                node.version,
                tuple(sorted(node.entries)),
                tuple(entry.claimer for entry in node.entries.values()),
                tuple(sorted(node._entries_in_write)),
                tuple((p.claim_id, p.written) for p in node._claims),
                len(node._outcomes),
                len(node._outcomes_in_write),
            )
            for node in self.nodes
        )
        calls = tuple(
            (
                call.node,
                call.incarnation,
                repr(call.action),
                call.at_store,
                call.result,
            )
            for call in self.calls
        )
        return (
            self.value,
            self.version,
            nodes,
            calls,
            tuple(sorted(self.verdicts.items())),
            tuple(self.sent),
            tuple(self.incarnations),
            self.runs,
            self.faults,
        )


def partition():
    return journal.Partition(0, 60_000.0, 0.0)


def clone_partition(node):
    after = copy.copy(node)
    after.entries = dict(node.entries)
    after._claims = [copy.copy(pending) for pending in node._claims]
    after._outcomes = list(node._outcomes)
    after._entries_in_write = dict(node._entries_in_write)
    after._outcomes_in_write = list(node._outcomes_in_write)
    return after


def next_steps(state):
    """Yield a function for each event that may happen next."""
    for number in (1, 2):
        if number not in state.sent:
            for node in (0, 1):
                yield lambda s, n=number, m=node: s.claim(n, m)
    for index, call in enumerate(state.calls):
        if not call.at_store:
            yield lambda s, p=index: s.reach_store(s.calls[p])
        if call.result is not None:
            yield lambda s, p=index: deliver(s, p)
        if state.faults:
            yield lambda s, p=index: lose_result(s, p)
            if not call.at_store:
                yield lambda s, p=index: refuse(s, p)
    if state.faults:
        for node in (0, 1):
            yield lambda s, n=node: crash(s, n)
            yield lambda s, n=node: expire(s, n)


def deliver(state, index):
    call = state.calls.pop(index)
    state.deliver(call, call.result)


def lose_result(state, index):
    """Lose the result; a write may still reach the store later."""
    state.faults -= 1
    call = state.calls[index]
    if isinstance(call.action, journal.Read):
        state.calls.pop(index)
        state.deliver(call, ("unavailable",))
        return
    detached = dataclasses.replace(call, incarnation=-1)
    state.calls[index] = detached
    if call.at_store:
        state.calls.pop(index)
    state.deliver(call, ("unknown",))


def refuse(state, index):
    state.faults -= 1
    call = state.calls.pop(index)
    state.deliver(call, ("unavailable",))


def crash(state, node):
    state.faults -= 1
    state.incarnations[node] += 1
    state.nodes[node] = partition()


def expire(state, node):
    """Let the deadlines of a node's claims pass."""
    state.faults -= 1
    state.perform(node, state.nodes[node].step(LATE_MS, 0.0))


def explore(conditional):
    """Visit every order; return the state count and the highest run count."""
    start = State(conditional)
    start.nodes = [partition(), partition()]
    seen = {start.key()}
    waiting = [start]
    max_runs = 0
    while waiting:
        state = waiting.pop()
        max_runs = max(max_runs, state.runs)
        if max_runs > 1:
            break
        for step in next_steps(state):
            after = state.clone()
            step(after)
            key = after.key()
            if key not in seen:
                seen.add(key)
                waiting.append(after)
    return len(seen), max_runs


class ExploreTest(unittest.TestCase):
    def test_at_most_one_run_in_every_order(self):
        states, max_runs = explore(conditional=True)
        print(f"journal: {states} states seen")
        self.assertGreater(states, 1_000)
        self.assertEqual(1, max_runs)

    def test_dropping_the_conditional_update_is_caught(self):
        _, max_runs = explore(conditional=False)
        self.assertGreater(max_runs, 1)


class PartitionTest(unittest.TestCase):
    def setUp(self):
        self.partition = partition()

    def claim(self, number, key=KEY):
        claim = messages.Claim(number, 0, key, f"f/{number}", 1_000.0)
        return self.partition.on_claim(0.0, 0.0, "f", claim)

    def verdicts(self, actions):
        return [
            (action.reply.claim_id, action.reply.verdict)
            for action in actions
            if isinstance(action, journal.ReplyClaim)
        ]

    def test_waiting_claims_are_committed_together(self):
        self.claim(1, "a")
        self.claim(2, "b")
        (write,) = self.partition.on_read(0.0, 0.0, b"", 0)
        self.assertEqual({"a", "b"}, set(journal.decode(write.value)))
        done = self.partition.on_written(0.0, 0.0, 1)
        self.assertEqual(
            [(1, VERDICTS.CLAIMED), (2, VERDICTS.CLAIMED)],
            self.verdicts(done),
        )
        self.assertEqual(1, self.partition.writes)

    def test_retry_gets_the_recorded_outcome(self):
        self.claim(1)
        self.partition.on_read(0.0, 0.0, b"", 0)
        self.partition.on_written(0.0, 0.0, 1)
        again = self.verdicts(self.claim(2))
        self.assertEqual([(2, VERDICTS.UNKNOWN_BEFORE)], again)
        ran = messages.Outcome(
            0, KEY, "f/1", answers.RunStatus.RAN, "shard s3"
        )
        self.partition.on_outcome(0.0, 0.0, ran)
        self.partition.on_written(0.0, 0.0, 2)
        (reply,) = self.claim(3)
        self.assertEqual(VERDICTS.RAN_BEFORE, reply.reply.verdict)
        self.assertEqual("shard s3", reply.reply.note)

    def test_outcome_counts_before_it_is_stored(self):
        self.partition.interval_ms = 50.0
        self.claim(1)
        self.partition.on_read(0.0, 0.0, b"", 0)
        self.partition.on_written(0.0, 0.0, 1)
        ran = messages.Outcome(
            0, KEY, "f/1", answers.RunStatus.RAN, "shard s3"
        )
        self.assertEqual([], self.partition.on_outcome(1.0, 0.0, ran))
        (early,) = self.claim(2)
        self.assertEqual(VERDICTS.RAN_BEFORE, early.reply.verdict)

    def test_not_run_releases_the_key(self):
        self.claim(1)
        self.partition.on_read(0.0, 0.0, b"", 0)
        self.partition.on_written(0.0, 0.0, 1)
        free = messages.Outcome(0, KEY, "f/1", answers.RunStatus.NOT_RUN)
        self.partition.on_outcome(0.0, 0.0, free)
        self.partition.on_written(0.0, 0.0, 2)
        self.claim(2)
        done = self.partition.on_written(0.0, 0.0, 3)
        self.assertEqual([(2, VERDICTS.CLAIMED)], self.verdicts(done))

    def test_claim_is_refused_when_the_store_is_unavailable(self):
        self.claim(1)
        failed = self.partition.on_store_unavailable(0.0)
        self.assertEqual([(1, VERDICTS.UNAVAILABLE)], self.verdicts(failed))

    def test_outcome_is_written_again_after_a_conflict(self):
        self.claim(1)
        (write,) = self.partition.on_read(0.0, 0.0, b"", 0)
        self.partition.on_written(0.0, 0.0, 1)
        ran = messages.Outcome(0, KEY, "f/1", answers.RunStatus.RAN, "x")
        self.partition.on_outcome(0.0, 0.0, ran)
        self.partition.on_write_conflict()
        (again,) = self.partition.on_read(0.0, 0.0, write.value, 5)
        entry = journal.decode(again.value)[KEY]
        self.assertIs(answers.RunStatus.RAN, entry.ran)

    def test_entries_are_removed_after_the_retention(self):
        old = journal.encode([journal.Entry("old", "f/0", 1.0)])
        self.claim(1)
        (write,) = self.partition.on_read(0.0, 100_000.0, old, 4)
        self.assertEqual({KEY}, set(journal.decode(write.value)))

    def test_stale_read_is_rejected(self):
        self.claim(1)
        self.partition.on_read(0.0, 0.0, b"", 3)
        self.partition.on_write_unknown()
        failed = self.partition.on_read(0.0, 0.0, b"", 2)
        self.assertEqual([(1, VERDICTS.UNAVAILABLE)], self.verdicts(failed))
