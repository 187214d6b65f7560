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
class Op:
    """A store call of a node.

    ``result`` is set once the call has reached the store.
    """

    node: int
    incarnation: int
    action: object
    at_store: bool = False
    result: tuple | None = None


@dataclasses.dataclass
class World:
    """Two nodes, one key, a claim, its retry and a number of faults."""

    conditional: bool
    value: bytes = b""
    version: int = 0
    nodes: list = dataclasses.field(default_factory=list)
    incarnations: list = dataclasses.field(default_factory=lambda: [0, 0])
    ops: list = dataclasses.field(default_factory=list)
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
                    self.ops.append(Op(node, self.incarnations[node], action))

    def clone(self):
        """Copy the state that a step changes; actions are immutable."""
        after = copy.copy(self)
        after.nodes = [clone_partition(node) for node in self.nodes]
        after.incarnations = list(self.incarnations)
        after.ops = [copy.copy(op) for op in self.ops]
        after.verdicts = dict(self.verdicts)
        after.sent = list(self.sent)
        return after

    def claim(self, number, node):
        self.sent.append(number)
        claim = messages.Claim(number, 0, KEY, f"f/{number}", 1_000.0)
        self.perform(node, self.nodes[node].on_claim(0.0, 0.0, "f", claim))

    def reach_store(self, op):
        """Apply a call at the store."""
        op.at_store = True
        match op.action:
            case journal.Read():
                op.result = ("read", self.value, self.version)
            case journal.Write(value=value, version=version):
                if self.conditional and version != self.version:
                    op.result = ("conflict",)
                else:
                    self.value, self.version = value, self.version + 1
                    op.result = ("written", self.version)

    def deliver(self, op, result):
        """Deliver a result unless the node has restarted since."""
        if self.incarnations[op.node] != op.incarnation:
            return
        partition = self.nodes[op.node]
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
        self.perform(op.node, actions)

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
        ops = tuple(
            (op.node, op.incarnation, repr(op.action), op.at_store, op.result)
            for op in self.ops
        )
        return (
            self.value,
            self.version,
            nodes,
            ops,
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


def next_steps(world):
    """Yield a function for each event that may happen next."""
    for number in (1, 2):
        if number not in world.sent:
            for node in (0, 1):
                yield lambda w, n=number, m=node: w.claim(n, m)
    for index, op in enumerate(world.ops):
        if not op.at_store:
            yield lambda w, p=index: w.reach_store(w.ops[p])
        if op.result is not None:
            yield lambda w, p=index: deliver(w, p)
        if world.faults:
            yield lambda w, p=index: lose_answer(w, p)
            if not op.at_store:
                yield lambda w, p=index: refuse(w, p)
    if world.faults:
        for node in (0, 1):
            yield lambda w, n=node: crash(w, n)
            yield lambda w, n=node: expire(w, n)


def deliver(world, index):
    op = world.ops.pop(index)
    world.deliver(op, op.result)


def lose_answer(world, index):
    """Lose the result; a write may still reach the store later."""
    world.faults -= 1
    op = world.ops[index]
    if isinstance(op.action, journal.Read):
        world.ops.pop(index)
        world.deliver(op, ("unavailable",))
        return
    orphan = dataclasses.replace(op, incarnation=-1)
    world.ops[index] = orphan
    if op.at_store:
        world.ops.pop(index)
    world.deliver(op, ("unknown",))


def refuse(world, index):
    world.faults -= 1
    op = world.ops.pop(index)
    world.deliver(op, ("unavailable",))


def crash(world, node):
    world.faults -= 1
    world.incarnations[node] += 1
    world.nodes[node] = partition()


def expire(world, node):
    """Let the deadlines of a node's claims pass."""
    world.faults -= 1
    world.perform(node, world.nodes[node].step(LATE_MS, 0.0))


def explore(conditional):
    """Visit every order; return the state count and the highest run count."""
    start = World(conditional)
    start.nodes = [partition(), partition()]
    seen = {start.key()}
    waiting = [start]
    max_runs = 0
    while waiting:
        world = waiting.pop()
        max_runs = max(max_runs, world.runs)
        if max_runs > 1:
            break
        for step in next_steps(world):
            after = world.clone()
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
