"""The node's own protocol with its peers: members over datagrams.

Probes carry news of members. First contact is by the seeds of the
settings and by the members that the store lists.
"""

import random
import typing

from twisted.internet import protocol

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import address_choice
from godwitflow.policy import membership
from godwitflow.tier import log as logs
from godwitflow.wire import codec
from godwitflow.wire import messages

TICK_S = 0.1
SEED_INTERVAL_MS = 1_000.0
ROWS_PER_DATAGRAM = 12


class MessageHandler(typing.Protocol):
    """Who acts on what peers tell."""

    def on_members_changed(self) -> None:
        """Take that the member table has changed."""
        ...

    def on_revisions(self, inner: str, message: messages.Revisions) -> None:
        """Take how far a peer's copies of the store go."""
        ...

    def on_suspicions(self, message: messages.Suspicions) -> None:
        """Take a peer's strikes against requests."""
        ...

    def on_reports(self, message: messages.UpstreamReports) -> None:
        """Take what a peer saw of upstreams."""
        ...

    def revisions(self) -> messages.Revisions:
        """Return how far this node's own copies go."""
        ...


class PeerProtocol(protocol.DatagramProtocol):
    """Owns the datagram socket and the member table."""

    transport: typing.Any

    noisy = False

    def __init__(
        self,
        me: messages.MemberUpdate,
        seeds: typing.Sequence[str],
        now_ms: typing.Callable[[], float],
        log: logs.Log,
        receiver: MessageHandler,
        seed: int,
    ) -> None:
        self.membership = membership.Membership(me, seed)
        self.rejected_count = 0
        self._seeds = [inner for inner in seeds if inner != me.inner_address]
        self._now_ms = now_ms
        self._log = log
        self._handler = receiver
        self._random = random.Random(seed)
        self._next_seed_contact_ms = 0.0
        self._logged_states: dict[ids.NodeId, messages.MemberState] = {}

    # Sending ------------------------------------------------------------

    def tick(self) -> None:
        """Run what is due; called every ``TICK_S``."""
        now_ms = self._now_ms()
        self._send_all(self.membership.tick(now_ms))
        lonely = len(self.membership.live_members()) <= 1
        if lonely and now_ms >= self._next_seed_contact_ms:
            self._next_seed_contact_ms = now_ms + SEED_INTERVAL_MS
            self.contact(self._seeds)
        self._report_changes()

    def contact(self, inner_addresses: typing.Iterable[str]) -> None:
        """Ask addresses for the member table, and name this node."""
        hello = messages.Probe(0, (self.membership.me,))
        for inner in inner_addresses:
            self._send(inner, [hello, messages.MembersPull()])

    def leave(self) -> None:
        """Tell every member at once that this node is leaving."""
        self.membership.leave()
        self.announce()

    def announce(self) -> None:
        """Tell every member what this node says of itself now."""
        self.broadcast(messages.Probe(0, (self.membership.me,)))

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every living member but this one."""
        for row in self.non_dead_members():
            if row.node != self.membership.me.node:
                self._send(row.inner_address, [message])

    def send_to(
        self, nodes: typing.Iterable[ids.NodeId], message: messages.Message
    ) -> None:
        """Send a message to some members."""
        for node in nodes:
            row = self.membership.find(node)
            if row is not None:
                self._send(row.inner_address, [message])

    def send_to_random(self, message: messages.Message, count: int) -> None:
        """Send a message to a few living members, drawn anew each time."""
        others = [
            row
            for row in self.non_dead_members()
            if row.node != self.membership.me.node
        ]
        for row in self._random.sample(others, min(count, len(others))):
            self._send(row.inner_address, [message])

    def _send_all(self, actions: list[membership.SendTo]) -> None:
        for action in actions:
            self._send(action.inner, [action.message])

    def _send(self, inner: str, batch: list[messages.Message]) -> None:
        if self.transport is None:
            return
        me = self.membership.me
        header = codec.Header(
            codec.VERSION, me.node, me.incarnation, me.inner_address
        )
        host, _, port = inner.rpartition(":")
        data = codec.encode(header, batch)
        try:
            self.transport.write(data, (host, int(port)))
        except OSError as error:
            self._log.limited_event(
                "datagram_lost", peer=inner, error=str(error)
            )

    # Receiving ----------------------------------------------------------

    def datagramReceived(  # noqa: N802
        self, data: bytes, addr: tuple[str, int]
    ) -> None:
        """Take a datagram; one that makes no sense is only counted."""
        try:
            received = codec.decode(data)
        except errors.CodecError:
            self.rejected_count += 1
            return
        self.rejected_count += received.rejected
        for message in received.messages:
            self._dispatch(received.header, message)
        self._report_changes()

    def _dispatch(
        self, header: codec.Header, message: messages.Message
    ) -> None:
        now_ms = self._now_ms()
        match message:
            case messages.Probe():
                self._send_all(
                    self.membership.on_probe(
                        now_ms, header.sender, header.inner_address, message
                    )
                )
            case messages.ProbeAck():
                self._send_all(self.membership.on_ack(now_ms, message))
            case messages.ProbeVia():
                self._send_all(
                    self.membership.on_probe_via(
                        now_ms, header.sender, header.inner_address, message
                    )
                )
            case messages.MembersPull():
                self._send_table(header.inner_address)
                self._send(header.inner_address, [self._handler.revisions()])
            case messages.Revisions():
                self._handler.on_revisions(header.inner_address, message)
            case messages.Suspicions():
                self._handler.on_suspicions(message)
            case messages.UpstreamReports():
                self._handler.on_reports(message)
            case messages.MembersPush():
                self.membership.merge(now_ms, message.updates)
            case _:
                self.rejected_count += 1

    def _send_table(self, inner: str) -> None:
        rows = self.membership.all_members()
        for start in range(0, len(rows), ROWS_PER_DATAGRAM):
            part = rows[start : start + ROWS_PER_DATAGRAM]
            self._send(inner, [messages.MembersPush(part)])

    def _report_changes(self) -> None:
        """Log which members changed, and say that some did."""
        if not self.membership.changed:
            return
        self.membership.changed = False
        states = {row.node: row.state for row in self.membership.all_members()}
        changed = {
            str(node): state.name.lower()
            for node, state in states.items()
            if self._logged_states.get(node) is not state
        }
        gone = [
            str(node) for node in self._logged_states if node not in states
        ]
        self._logged_states = states
        if changed or gone:
            self._log.limited_event(
                "members", changed=changed, forgotten=gone, known=len(states)
            )
        self._handler.on_members_changed()

    # Reading ------------------------------------------------------------

    def ready(self) -> list[messages.MemberUpdate]:
        """Return the members that callers may be named, self included."""
        return address_choice.ready_members(self.membership.live_members())

    def non_dead_members(self) -> list[messages.MemberUpdate]:
        """Return the members that are not known to be dead."""
        return [
            row
            for row in self.membership.all_members()
            if row.state is not messages.MemberState.DEAD
        ]

    def node_count(self) -> int:
        """Return how many nodes share caps and budgets.

        Members that were lost a short while ago count: they are likely
        to be back, or cut off and still at work.
        """
        return len(self.membership.all_members())
