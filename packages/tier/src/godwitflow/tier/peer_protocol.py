"""The datagram protocol between nodes.

It carries the membership protocol, whose probes also spread member
updates, and the messages of other components.
"""

import random
import typing

from twisted.internet import protocol

from godwitflow.http1 import byte_count
from godwitflow.model import addresses
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import address_choice
from godwitflow.policy import input_delay
from godwitflow.policy import membership
from godwitflow.tier import introductions
from godwitflow.tier import log as logs
from godwitflow.tier import traffic as traffic_module
from godwitflow.wire import ages
from godwitflow.wire import codec
from godwitflow.wire import messages

TICK_S = 0.1
MEMBERS_PER_DATAGRAM = 12
STARTED_TOGETHER_MS = 6_000


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

    def suspicions(self) -> messages.Suspicions:
        """Return the requests that this node refuses."""
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

    def on_quota_request(
        self, sender: ids.NodeId, message: messages.QuotaRequest
    ) -> None:
        """Process a peer's request for tokens of customers' quotas."""
        ...

    def on_quota_reply(
        self, sender: ids.NodeId, message: messages.QuotaReply
    ) -> None:
        """Process the answers to a request for tokens."""
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
        self._now_ms = now_ms
        self._log = log
        self._handler = handler
        self._traffic = traffic
        self._domains: dict[str, ids.FailureDomain] = {}
        self._input_delay = input_delay.InputDelay(now_ms())
        self._random = random.Random(seed)
        self.introductions = introductions.Introductions(
            self.membership, seeds, self._send, self._random, now_ms()
        )
        self._logged_states: dict[ids.NodeId, messages.MemberState] = {}

    # Sending ------------------------------------------------------------

    def tick(self) -> None:
        """Run due protocol actions; to be called every ``TICK_S``."""
        now_ms = self._now_ms()
        self._input_delay.on_tick(now_ms)
        self._send_all(self.membership.tick(now_ms))
        self.introductions.tick(now_ms)
        self._report_changes()

    def contact_unknown(self, inner_addresses: typing.Iterable[str]) -> None:
        """Contact the addresses that belong to no known member."""
        self.introductions.contact_unknown(inner_addresses)

    def leave(self) -> None:
        """Announce to every member that this node is leaving."""
        self.membership.leave()
        self.announce()

    def announce(self) -> None:
        """Send this node's current member update to every member."""
        self.broadcast(introductions.announcement(self.membership.me))

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
        data = codec.encode(header, batch)
        self._byte_count(inner_address, batch).sent += len(data)
        try:
            self.transport.write(data, addresses.split(inner_address))
        except (OSError, errors.AddressError) as error:
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
            case messages.QuotaRequest() | messages.QuotaReply():
                purpose = traffic_module.Purpose.QUOTAS
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
        inner_address = received.header.inner_address
        if not addresses.is_valid(inner_address):
            self.rejected_count += 1
            return
        self.rejected_count += received.rejected
        count = self._byte_count(inner_address, received.messages)
        count.received += len(data)
        waited_ms = self._input_delay.max_ms(self._now_ms())
        for message in received.messages:
            if waited_ms:
                message = ages.add(message, waited_ms)
            self._process(received.header, message)
        if self.membership.changed:
            self.introductions.greet_new_members(self._now_ms())
        self._report_changes()

    def _process(
        self, header: codec.Header, message: messages.Message
    ) -> None:
        """Dispatch a message; one that is odd or fails hides no other."""
        if not _is_sound(message):
            self.rejected_count += 1
            return
        try:
            self._dispatch(header, message)
        except Exception as error:
            self._log.limited_event(
                "message_failed",
                peer=header.inner_address,
                message=type(message).__name__,
                error=repr(error),
            )

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
                self._send_suspicions(header.inner_address)
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
            case messages.QuotaRequest():
                self._handler.on_quota_request(header.sender, message)
            case messages.QuotaReply():
                self._handler.on_quota_reply(header.sender, message)
            case messages.MembersPush():
                self.membership.merge(now_ms, message.updates, spread=False)
            case _:
                self.rejected_count += 1

    def _send_suspicions(self, inner_address: str) -> None:
        """Tell a node that may have just started what it must not run."""
        suspicions = self._handler.suspicions()
        if suspicions.entries:
            self._send(inner_address, [suspicions])

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
        return self.membership.non_dead_members()

    def listed_count(self) -> int:
        """Return how many nodes the store listed; 0 if it is not known."""
        return self.introductions.listed_count

    def started_together(self) -> bool:
        """Return whether all live nodes have started at about one time.

        An incarnation is the Unix time of a node's start; the clocks of VMs
        may differ by some seconds.
        """
        own = self.membership.me.incarnation
        return all(
            member.incarnation > own - STARTED_TOGETHER_MS
            for member in self.membership.live_members()
        )

    def node_count(self) -> int:
        """Return the number of nodes that share caps and budgets.

        Members that died a short time ago are included: they are likely
        to restart, or are only partitioned and still send calls.
        """
        return len(self.membership.all_members())


def _is_sound(message: messages.Message) -> bool:
    """Return whether every member in a message can be contacted."""
    match message:
        case messages.Probe() | messages.ProbeAck() | messages.MembersPush():
            return all(_has_addresses(row) for row in message.updates)
        case _:
            return True


def _has_addresses(row: messages.MemberUpdate) -> bool:
    caller_address = row.caller_address
    return addresses.is_valid(row.inner_address) and (
        not caller_address or addresses.is_valid(caller_address)
    )
