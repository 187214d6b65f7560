"""The datagram protocol between nodes.

It carries the membership protocol, whose probes also spread member
updates, and the announcements of other components. A node first contacts
the seeds of its settings and the members that are listed in the store.
"""

import random
import typing

from twisted.internet import protocol

from godwitflow.http1 import byte_count
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import address_choice
from godwitflow.policy import membership
from godwitflow.tier import log as logs
from godwitflow.tier import traffic as traffic_module
from godwitflow.wire import codec
from godwitflow.wire import messages

TICK_S = 0.1
SEED_INTERVAL_MS = 300.0
START_MS = 3_000.0
START_PULL_INTERVAL_MS = 600.0
PULL_INTERVAL_MS = 10_000.0
CONTACT_INTERVAL_MS = 200.0
CONTACTS_PER_ROUND = 4
MEMBERS_PER_DATAGRAM = 12


class MessageHandler(typing.Protocol):
    """Processes the messages of peers that do not concern membership."""

    def on_members_changed(self) -> None:
        """React to a changed member table."""
        ...

    def on_revisions(
        self, inner_address: str, message: messages.Revisions
    ) -> None:
        """Process the revisions of a peer's copies of store objects."""
        ...

    def on_suspicions(self, message: messages.Suspicions) -> None:
        """Process a peer's reports of requests that crash upstreams."""
        ...

    def on_upstream_reports(self, message: messages.UpstreamReports) -> None:
        """Process a peer's reports on upstreams."""
        ...

    def on_limit_reports(
        self, sender: ids.NodeId, message: messages.LimitReports
    ) -> None:
        """Process a peer's reports on rate limits of upstreams."""
        ...

    def on_permit_request(
        self, sender: ids.NodeId, message: messages.PermitRequest
    ) -> None:
        """Process a peer's request for permits."""
        ...

    def on_permit_reply(
        self, sender: ids.NodeId, message: messages.PermitReply
    ) -> None:
        """Process the answers to a request for permits."""
        ...

    def revisions(self) -> messages.Revisions:
        """Return the revisions of this node's own copies."""
        ...


class PeerProtocol(protocol.DatagramProtocol):
    """Owns the datagram socket and the member table.

    ``rejected_count`` counts datagrams and messages that were discarded.
    """

    transport: typing.Any

    noisy = False

    def __init__(
        self,
        me: messages.MemberUpdate,
        seeds: typing.Sequence[str],
        now_ms: typing.Callable[[], float],
        log: logs.Log,
        handler: MessageHandler,
        seed: int,
        traffic: traffic_module.Traffic,
    ) -> None:
        self.membership = membership.Membership(me, seed)
        self.rejected_count = 0
        self._seeds = [
            inner_address
            for inner_address in seeds
            if inner_address != me.inner_address
        ]
        self._now_ms = now_ms
        self._log = log
        self._handler = handler
        self._traffic = traffic
        self._domains: dict[str, ids.FailureDomain] = {}
        self._random = random.Random(seed)
        self._next_seed_contact_ms = 0.0
        self._started_at_ms = now_ms()
        self._next_pull_ms = now_ms() + START_PULL_INTERVAL_MS
        self._greeted = {me.node}
        self._contacts: list[str] = []
        self._next_contact_ms = 0.0
        self._logged_states: dict[ids.NodeId, messages.MemberState] = {}

    # Sending ------------------------------------------------------------

    def tick(self) -> None:
        """Run due protocol actions; to be called every ``TICK_S``."""
        now_ms = self._now_ms()
        self._send_all(self.membership.tick(now_ms))
        isolated = len(self.membership.live_members()) <= 1
        if isolated and now_ms >= self._next_seed_contact_ms:
            self._next_seed_contact_ms = now_ms + SEED_INTERVAL_MS
            self.contact(self._seeds)
        self._contact_next(now_ms)
        self._pull_table(now_ms)
        self._report_changes()

    def contact(self, inner_addresses: typing.Sequence[str]) -> None:
        """Introduce this node to addresses; pull the table of one of them."""
        if not inner_addresses:
            return
        introduction = self._announcement()
        source = self._random.choice(inner_addresses)
        for inner_address in inner_addresses:
            batch: list[messages.Message] = [introduction]
            if inner_address == source:
                batch.append(messages.MembersPull())
            self._send(inner_address, batch)

    def _pull_table(self, now_ms: float) -> None:
        """Compare tables with a member if it is time to.

        Updates spread with a few rows a message, which takes long if many
        nodes start together. The member sends its table only if it
        differs. A starting node asks the seeds, which every node contacts
        first, and later members of its own failure domain.
        """
        if now_ms < self._next_pull_ms:
            return
        starting = self._is_starting(now_ms)
        self._next_pull_ms = now_ms + (
            START_PULL_INTERVAL_MS if starting else PULL_INTERVAL_MS
        )
        me = self.membership.me
        others = [
            member for member in self.non_dead_members() if member is not me
        ]
        preferred = [
            member
            for member in others
            if (
                member.inner_address in self._seeds
                if starting
                else member.failure_domain == me.failure_domain
            )
        ]
        if others:
            member = self._random.choice(preferred or others)
            pull = messages.MembersPull(self.membership.table_digest())
            self._send(member.inner_address, [pull])

    def _is_starting(self, now_ms: float) -> bool:
        return now_ms - self._started_at_ms < START_MS

    def _greet_new_members(self) -> None:
        """Announce this node to the members that it did not know before.

        Only a starting node does so. It introduced itself to the members
        that it knew when it started or became ready, and others that start
        at the same time may not have been among them.
        """
        if not self._is_starting(self._now_ms()):
            return
        announcement = self._announcement()
        for member in self.non_dead_members():
            if member.node not in self._greeted:
                self._greeted.add(member.node)
                self._send(member.inner_address, [announcement])

    def contact_unknown(self, inner_addresses: typing.Iterable[str]) -> None:
        """Contact the addresses that belong to no known member.

        A few are contacted at a time: after the first reply, which holds
        the replying member's table, most of the others are known.
        """
        self._contacts = list(inner_addresses)
        self._random.shuffle(self._contacts)

    def _contact_next(self, now_ms: float) -> None:
        """Contact the next unknown addresses if it is time to."""
        if not self._contacts or now_ms < self._next_contact_ms:
            return
        self._next_contact_ms = now_ms + CONTACT_INTERVAL_MS
        known = {
            member.inner_address for member in self.membership.all_members()
        }
        unknown = [name for name in self._contacts if name not in known]
        self._contacts = unknown[CONTACTS_PER_ROUND:]
        self.contact(unknown[:CONTACTS_PER_ROUND])

    def leave(self) -> None:
        """Announce to every member that this node is leaving."""
        self.membership.leave()
        self.announce()

    def announce(self) -> None:
        """Send this node's current member update to every member."""
        self.broadcast(self._announcement())

    def _announcement(self) -> messages.Probe:
        return messages.Probe(
            membership.ANNOUNCEMENT_SEQUENCE, (self.membership.me,)
        )

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every other member not known to be dead."""
        for member in self.non_dead_members():
            if member.node != self.membership.me.node:
                self._send(member.inner_address, [message])

    def send_to(
        self, nodes: typing.Iterable[ids.NodeId], message: messages.Message
    ) -> None:
        """Send a message to the given nodes; unknown ones are skipped."""
        for node in nodes:
            member = self.membership.find(node)
            if member is not None:
                self._send(member.inner_address, [message])

    def send_to_random(self, message: messages.Message, count: int) -> None:
        """Send a message to up to ``count`` members chosen at random."""
        others = [
            member
            for member in self.non_dead_members()
            if member.node != self.membership.me.node
        ]
        for member in self._random.sample(others, min(count, len(others))):
            self._send(member.inner_address, [message])

    def _send_all(self, actions: list[membership.SendTo]) -> None:
        for action in actions:
            self._send(action.inner_address, [action.message])

    def _send(self, inner_address: str, batch: list[messages.Message]) -> None:
        if self.transport is None:
            return
        me = self.membership.me
        header = codec.Header(
            codec.VERSION, me.node, me.incarnation, me.inner_address
        )
        host, _, port = inner_address.rpartition(":")
        data = codec.encode(header, batch)
        self._byte_count(inner_address, batch).sent += len(data)
        try:
            self.transport.write(data, (host, int(port)))
        except OSError as error:
            self._log.limited_event(
                "datagram_lost", peer=inner_address, error=str(error)
            )

    def _byte_count(
        self, inner_address: str, batch: typing.Sequence[messages.Message]
    ) -> byte_count.ByteCount:
        purpose = traffic_module.Purpose.MEMBERSHIP
        match batch[0] if batch else None:
            case messages.Revisions():
                purpose = traffic_module.Purpose.ANNOUNCEMENTS
            case messages.UpstreamReports() | messages.LimitReports():
                purpose = traffic_module.Purpose.UPSTREAM_REPORTS
            case messages.PermitRequest() | messages.PermitReply():
                purpose = traffic_module.Purpose.PERMITS
        return self._traffic.count_for(purpose, self.domain_of(inner_address))

    # Receiving ----------------------------------------------------------

    def datagramReceived(  # noqa: N802
        self, data: bytes, addr: tuple[str, int]
    ) -> None:
        """Process a datagram; an invalid one is counted and discarded."""
        try:
            received = codec.decode(data)
        except errors.CodecError:
            self.rejected_count += 1
            return
        self.rejected_count += received.rejected
        inner_address = received.header.inner_address
        count = self._byte_count(inner_address, received.messages)
        count.received += len(data)
        for message in received.messages:
            self._dispatch(received.header, message)
        if self.membership.changed:
            self._greet_new_members()
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
            case messages.MembersPull(digest):
                if digest != self.membership.table_digest():
                    self._send_table(header.inner_address)
                self._send(header.inner_address, [self._handler.revisions()])
            case messages.Revisions():
                self._handler.on_revisions(header.inner_address, message)
            case messages.Suspicions():
                self._handler.on_suspicions(message)
            case messages.UpstreamReports():
                self._handler.on_upstream_reports(message)
            case messages.LimitReports():
                self._handler.on_limit_reports(header.sender, message)
            case messages.PermitRequest():
                self._handler.on_permit_request(header.sender, message)
            case messages.PermitReply():
                self._handler.on_permit_reply(header.sender, message)
            case messages.MembersPush():
                self.membership.merge(now_ms, message.updates, spread=False)
            case _:
                self.rejected_count += 1

    def _send_table(self, inner_address: str) -> None:
        members = self.membership.all_members()
        for start in range(0, len(members), MEMBERS_PER_DATAGRAM):
            chunk = members[start : start + MEMBERS_PER_DATAGRAM]
            self._send(inner_address, [messages.MembersPush(chunk)])

    def _report_changes(self) -> None:
        """Log changed members and notify the handler, if any changed."""
        if not self.membership.changed:
            return
        self.membership.changed = False
        states = {
            member.node: member.state
            for member in self.membership.all_members()
        }
        changed = {
            str(node): state.name.lower()
            for node, state in states.items()
            if self._logged_states.get(node) is not state
        }
        forgotten = [
            str(node) for node in self._logged_states if node not in states
        ]
        self._logged_states = states
        self._domains = {
            member.inner_address: member.failure_domain
            for member in self.membership.all_members()
        }
        if changed or forgotten:
            self._log.limited_event(
                "members",
                changed=changed,
                forgotten=forgotten,
                known=len(states),
            )
        self._handler.on_members_changed()

    # Members ------------------------------------------------------------

    def domain_of(self, inner_address: str) -> ids.FailureDomain | None:
        """Return the failure domain of a member; None if it is unknown."""
        return self._domains.get(inner_address)

    def ready(self) -> list[messages.MemberUpdate]:
        """Return the members that callers may use, this node included."""
        return address_choice.ready_members(self.membership.live_members())

    def live_nodes(self) -> list[ids.NodeId]:
        """Return the nodes that are alive, this one until it leaves."""
        return [member.node for member in self.membership.live_members()]

    def non_dead_members(self) -> list[messages.MemberUpdate]:
        """Return the members that are not known to be dead, self included."""
        return [
            member
            for member in self.membership.all_members()
            if member.state is not messages.MemberState.DEAD
        ]

    def node_count(self) -> int:
        """Return the number of nodes that share caps and budgets.

        Members that died a short time ago are included: they are likely
        to restart, or are only partitioned and still send calls.
        """
        return len(self.membership.all_members())
