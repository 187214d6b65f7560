"""Group membership by gossip and failure detection, after SWIM.

In each period a node probes one member, in an order that is shuffled for
each round over the table. A member that does not acknowledge is probed
through other members, then suspected, and declared dead after a timeout
unless it refutes this with a higher incarnation. Updates are piggybacked
on probes and acknowledgements. The messages of a node therefore do not
grow with the fleet; only the member table does.
"""

import dataclasses
import math
import random
import typing
import zlib

from godwitflow.model import ids
from godwitflow.wire import messages

PROBE_PERIOD_MS = 500.0
ACK_TIMEOUT_MS = 200.0
INDIRECT_TIMEOUT_MS = 300.0
SUSPICION_TIMEOUT_MS = 2_000.0
DEAD_RETENTION_MS = 60_000.0
PAUSE_THRESHOLD_MS = 1_500.0
PROBES_PER_PERIOD = 1
INDIRECT_PROBES = 3
MAX_UPDATES_PER_MESSAGE = 8
RETRANSMIT_FACTOR = 3
ANNOUNCEMENT_SEQUENCE = 0  # of a probe that only spreads updates

_STATES = messages.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """The action of sending a message to a member's inner address."""

    node: ids.NodeId
    inner_address: str
    message: messages.Message


@dataclasses.dataclass(slots=True)
class Member:
    """A row of the member table.

    ``state_since_ms`` is when the timeout of its state started.
    """

    update: messages.MemberUpdate
    state_since_ms: float


@dataclasses.dataclass(slots=True)
class _PendingProbe:
    node: ids.NodeId
    sent_at_ms: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class _RelayedProbe:
    requester: ids.NodeId
    inner_address: str
    sequence: int
    sent_at_ms: float


class Membership:
    """The member table of one node and the probes that keep it current."""

    def __init__(self, me: messages.MemberUpdate, seed: int) -> None:
        self.me = me
        self.random = random.Random(seed)
        self.members: dict[ids.NodeId, Member] = {}
        self.changed = True
        self.pause_count = 0
        self.digests: tuple[messages.Digest, ...] = ()
        self._suspect_or_dead: set[ids.NodeId] = set()
        self._probe_round: list[ids.NodeId] = []
        self._pending_updates: dict[ids.NodeId, int] = {}
        self._probes: dict[int, _PendingProbe] = {}
        self._relays: dict[int, _RelayedProbe] = {}
        self._sequence = 0
        self._last_tick_ms: float | None = None
        self._next_period_ms = 0.0

    # Reading ----------------------------------------------------------

    def live_members(self) -> list[messages.MemberUpdate]:
        """Return the members that may be given work: alive or suspect.

        Includes this node until it is leaving.
        """
        live = [
            member.update
            for member in self.members.values()
            if member.update.state in (_STATES.ALIVE, _STATES.SUSPECT)
        ]
        if self.me.state is _STATES.ALIVE:
            live.append(self.me)
        return live

    def find(self, node: ids.NodeId) -> messages.MemberUpdate | None:
        """Return the row of a member or of this node, None if unknown."""
        if node == self.me.node:
            return self.me
        member = self.members.get(node)
        return member.update if member else None

    def all_members(self) -> tuple[messages.MemberUpdate, ...]:
        """Return every row, including this node's."""
        rows = [member.update for member in self.members.values()]
        return (self.me, *rows)

    def non_dead_members(self) -> list[messages.MemberUpdate]:
        """Return the rows of members not known to be dead, self included."""
        return [
            update
            for update in self.all_members()
            if update.state is not _STATES.DEAD
        ]

    def table_digest(self) -> int:
        """Return a digest of the table that is equal on equal tables.

        Loads are left out, and so are dead members, which are forgotten at
        different times.
        """
        rows = sorted(
            (update.node, update.incarnation, int(update.state), update.joined)
            for update in self.all_members()
            if update.state is not _STATES.DEAD
        )
        return zlib.crc32(repr(rows).encode())

    # Self -------------------------------------------------------------

    def update_self(self, **changes: typing.Any) -> None:
        """Change fields of this node's row and queue an update.

        No update is queued if only the load changes.
        """
        before = self.me
        self.me = _replace(before, **changes)
        only_load = _replace(before, load=self.me.load) == self.me
        if not only_load:
            self._queue_update(self.me.node)
            self.changed = True

    def leave(self) -> None:
        """Mark this node as leaving, which is permanent."""
        self.update_self(state=_STATES.LEAVING, joined=False)

    # Time -------------------------------------------------------------

    def tick(self, now_ms: float) -> list[SendTo]:
        """Run what is due; to be called several times in each period."""
        self._detect_pause(now_ms)
        actions = self._check_probes(now_ms)
        self._check_suspects(now_ms)
        if now_ms >= self._next_period_ms:
            self._next_period_ms = now_ms + PROBE_PERIOD_MS
            for _ in range(PROBES_PER_PERIOD):
                actions += self._probe_next(now_ms)
        return actions

    def _detect_pause(self, now_ms: float) -> None:
        """Reset probes and suspicions after a pause of this process.

        A paused node misses acknowledgements, so pending probes are
        dropped and the timeouts of suspected members start again.
        """
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_ms is None or now_ms - last_ms < PAUSE_THRESHOLD_MS:
            return
        self.pause_count += 1
        self._probes.clear()
        self._relays.clear()
        for node in self._suspect_or_dead:
            member = self.members[node]
            if member.update.state is _STATES.SUSPECT:
                member.state_since_ms = now_ms

    def _check_probes(self, now_ms: float) -> list[SendTo]:
        actions: list[SendTo] = []
        for sequence, probe in list(self._probes.items()):
            waited_ms = now_ms - probe.sent_at_ms
            if not probe.indirect and waited_ms >= ACK_TIMEOUT_MS:
                probe.indirect = True
                actions += self._probe_indirectly(sequence, probe)
            elif waited_ms >= ACK_TIMEOUT_MS + INDIRECT_TIMEOUT_MS:
                del self._probes[sequence]
                self._suspect(now_ms, probe.node)
        for sequence, relay in list(self._relays.items()):
            if now_ms - relay.sent_at_ms > INDIRECT_TIMEOUT_MS:
                del self._relays[sequence]
        return actions

    def _probe_indirectly(
        self, sequence: int, probe: _PendingProbe
    ) -> list[SendTo]:
        others = [
            member.update
            for member in self._sample(INDIRECT_PROBES + 1)
            if member.update.node != probe.node
        ]
        message = messages.ProbeVia(sequence, probe.node)
        return [
            SendTo(other.node, other.inner_address, message)
            for other in others[:INDIRECT_PROBES]
        ]

    def _sample(self, count: int) -> list[Member]:
        nodes = list(self.members)
        chosen = self.random.sample(nodes, min(count * 2, len(nodes)))
        rows = [self.members[node] for node in chosen]
        return [row for row in rows if row.update.state < _STATES.DEAD][:count]

    def _suspect(self, now_ms: float, node: ids.NodeId) -> None:
        member = self.members.get(node)
        if member is None:
            return
        if member.update.state is _STATES.ALIVE:
            self._set_state(now_ms, member, _STATES.SUSPECT)
        elif member.update.state is _STATES.LEAVING:
            self._set_state(now_ms, member, _STATES.DEAD)

    def _set_state(
        self, now_ms: float, member: Member, state: messages.MemberState
    ) -> None:
        member.update = _replace(member.update, state=state)
        member.state_since_ms = now_ms
        self._track_suspect_or_dead(member.update)
        self._queue_update(member.update.node)
        self.changed = True

    def _check_suspects(self, now_ms: float) -> None:
        for node in list(self._suspect_or_dead):
            member = self.members[node]
            state = member.update.state
            age_ms = now_ms - member.state_since_ms
            if state is _STATES.SUSPECT and age_ms > SUSPICION_TIMEOUT_MS:
                self._set_state(now_ms, member, _STATES.DEAD)
            elif state is _STATES.DEAD and age_ms > DEAD_RETENTION_MS:
                del self.members[node]
                self._suspect_or_dead.discard(node)
                self._pending_updates.pop(node, None)

    def _probe_next(self, now_ms: float) -> list[SendTo]:
        """Probe the next member in a shuffled round over the table."""
        while True:
            if not self._probe_round:
                self._probe_round = [
                    node
                    for node, member in self.members.items()
                    if member.update.state is not _STATES.DEAD
                ]
                self.random.shuffle(self._probe_round)
            if not self._probe_round:
                return []
            member = self.members.get(self._probe_round.pop())
            if member is not None and member.update.state < _STATES.DEAD:
                return [self._probe(now_ms, member.update)]

    def _probe(self, now_ms: float, update: messages.MemberUpdate) -> SendTo:
        self._sequence += 1
        self._probes[self._sequence] = _PendingProbe(update.node, now_ms)
        message = messages.Probe(
            self._sequence, self._updates_to_send(), self.digests
        )
        return SendTo(update.node, update.inner_address, message)

    # Messages ---------------------------------------------------------

    def on_probe(
        self,
        now_ms: float,
        sender: ids.NodeId,
        inner_address: str,
        probe: messages.Probe,
    ) -> list[SendTo]:
        """Merge a probe's updates and return an acknowledgement.

        An announcement is not acknowledged, because nobody waits for the
        reply, and not passed on, because its sender tells every member.
        """
        is_announcement = probe.sequence == ANNOUNCEMENT_SEQUENCE
        self.merge(now_ms, probe.updates, spread=not is_announcement)
        if is_announcement:
            return []
        ack = messages.ProbeAck(
            probe.sequence, self._updates_to_send(), self.digests
        )
        return [SendTo(sender, inner_address, ack)]

    def on_ack(self, now_ms: float, ack: messages.ProbeAck) -> list[SendTo]:
        """Merge an acknowledgement; forward it if a peer asked for it."""
        self.merge(now_ms, ack.updates)
        self._probes.pop(ack.sequence, None)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        forwarded = messages.ProbeAck(relay.sequence)
        return [SendTo(relay.requester, relay.inner_address, forwarded)]

    def on_probe_via(
        self,
        now_ms: float,
        sender: ids.NodeId,
        inner_address: str,
        request: messages.ProbeVia,
    ) -> list[SendTo]:
        """Probe a member on behalf of a peer that got no acknowledgement."""
        target = self.find(request.target)
        if target is None or target.node == self.me.node:
            return []
        self._sequence += 1
        self._relays[self._sequence] = _RelayedProbe(
            sender, inner_address, request.sequence, now_ms
        )
        probe = messages.Probe(self._sequence, self._updates_to_send())
        return [SendTo(target.node, target.inner_address, probe)]

    def merge(
        self,
        now_ms: float,
        updates: typing.Iterable[messages.MemberUpdate],
        spread: bool = True,
    ) -> None:
        """Merge updates into the table; the higher incarnation wins.

        At equal incarnations the higher state wins. Without ``spread``
        this node passes on only members that are leaving or gone, as other
        members get the rows from the same source.
        """
        for update in updates:
            if update.node == self.me.node:
                self._refute(update)
            else:
                self._merge_one(now_ms, update, spread)

    def _refute(self, update: messages.MemberUpdate) -> None:
        """Raise this node's incarnation above a false or outdated update."""
        mine = (self.me.incarnation, self.me.state)
        if (update.incarnation, update.state) <= mine:
            return
        self.update_self(incarnation=update.incarnation + 1)

    def _merge_one(
        self,
        now_ms: float,
        update: messages.MemberUpdate,
        spread: bool = True,
    ) -> None:
        member = self.members.get(update.node)
        if member is None:
            if update.state is _STATES.DEAD:
                return
            self.members[update.node] = Member(update, now_ms)
            position = self.random.randint(0, len(self._probe_round))
            self._probe_round.insert(position, update.node)
        elif not _supersedes(update, member.update):
            if _same_version(update, member.update):
                member.update = _replace(member.update, load=update.load)
            return
        else:
            member.update = update
            member.state_since_ms = now_ms
        self._track_suspect_or_dead(update)
        if spread or update.state is not _STATES.ALIVE:
            self._queue_update(update.node)
        self.changed = True

    def _track_suspect_or_dead(self, update: messages.MemberUpdate) -> None:
        """Keep track of the rows whose state changes by timeout."""
        if update.state in (_STATES.SUSPECT, _STATES.DEAD):
            self._suspect_or_dead.add(update.node)
        else:
            self._suspect_or_dead.discard(update.node)

    def add_listed_members(
        self, now_ms: float, updates: typing.Iterable[messages.MemberUpdate]
    ) -> None:
        """Add the VMs of the platform's list that are not known yet.

        The list may be outdated, so it never overrides peers' updates.
        """
        for update in updates:
            known = update.node in self.members
            if not known and update.node != self.me.node:
                self._merge_one(now_ms, update)

    # Updates ----------------------------------------------------------

    def _queue_update(self, node: ids.NodeId) -> None:
        size = len(self.members) + 2
        self._pending_updates[node] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(size)
        )

    def _updates_to_send(self) -> tuple[messages.MemberUpdate, ...]:
        """Return this node's row and the least often sent updates."""
        rows = [self.me]
        if self._pending_updates:
            ordered = sorted(
                self._pending_updates,
                key=self._pending_updates.__getitem__,
                reverse=True,
            )
            for node in ordered[:MAX_UPDATES_PER_MESSAGE]:
                self._count_transmission(node)
                update = self.find(node)
                if update is not None and node != self.me.node:
                    rows.append(update)
        return tuple(rows)

    def _count_transmission(self, node: ids.NodeId) -> None:
        self._pending_updates[node] -= 1
        if self._pending_updates[node] <= 0:
            del self._pending_updates[node]


def _replace(
    update: messages.MemberUpdate, **changes: typing.Any
) -> messages.MemberUpdate:
    fields = {name: getattr(update, name) for name in update.__struct_fields__}
    return messages.MemberUpdate(**{**fields, **changes})


def _supersedes(
    update: messages.MemberUpdate, known: messages.MemberUpdate
) -> bool:
    incoming = (update.incarnation, update.state, update.joined)
    stored = (known.incarnation, known.state, known.joined)
    return incoming > stored


def _same_version(
    update: messages.MemberUpdate, known: messages.MemberUpdate
) -> bool:
    incoming = (update.incarnation, update.state)
    return incoming == (known.incarnation, known.state)
