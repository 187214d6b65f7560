"""How starting nodes and the other members come to know each other.

A node first contacts the seeds of its settings and the members that are
listed in the store. Later it compares its member table with others.
"""

import random
import typing

from godwitflow.policy import membership as policy
from godwitflow.wire import messages

SEED_INTERVAL_MS = 300.0
START_MS = 3_000.0
START_PULL_INTERVAL_MS = 600.0
PULL_INTERVAL_MS = 10_000.0
CONTACT_INTERVAL_MS = 200.0
CONTACTS_PER_ROUND = 4

Send = typing.Callable[[str, list[messages.Message]], None]


def announcement(me: messages.MemberUpdate) -> messages.Probe:
    """Return the message that tells a node's own row to a member."""
    return messages.Probe(policy.ANNOUNCEMENT_SEQUENCE, (me,))


class Introductions:
    """Contacts seeds, listed and new members, and compares tables.

    ``send`` sends messages to an inner address.
    """

    def __init__(
        self,
        membership: policy.Membership,
        seeds: typing.Iterable[str],
        send: Send,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._membership = membership
        self._seeds = [
            inner_address
            for inner_address in seeds
            if inner_address != membership.me.inner_address
        ]
        self._send = send
        self._random = rng
        self._started_at_ms = now_ms
        self._next_seed_contact_ms = 0.0
        self._next_pull_ms = now_ms + START_PULL_INTERVAL_MS
        self._greeted = {membership.me.node}
        self._contacts: list[str] = []
        self.listed_count = 0
        self._next_contact_ms = 0.0

    def tick(self, now_ms: float) -> None:
        """Send what is due."""
        isolated = len(self._membership.live_members()) <= 1
        if isolated and now_ms >= self._next_seed_contact_ms:
            self._next_seed_contact_ms = now_ms + SEED_INTERVAL_MS
            self.contact(self._seeds)
        self._contact_next(now_ms)
        self._pull_table(now_ms)

    def contact_unknown(self, inner_addresses: typing.Iterable[str]) -> None:
        """Contact the addresses that belong to no known member.

        A few are contacted at a time: after the first reply, which holds
        the replying member's table, most of the others are known.
        """
        self._contacts = list(inner_addresses)
        self.listed_count = len(self._contacts) + 1
        self._random.shuffle(self._contacts)

    def greet_new_members(self, now_ms: float) -> None:
        """Announce this node to the members that it did not know before.

        Only a starting node does so. It introduced itself to the members
        that it knew when it started or became ready, and others that start
        at the same time may not have been among them.
        """
        if not self._is_starting(now_ms):
            return
        message = announcement(self._membership.me)
        for member in self._membership.non_dead_members():
            if member.node not in self._greeted:
                self._greeted.add(member.node)
                self._send(member.inner_address, [message])

    def contact(self, inner_addresses: typing.Sequence[str]) -> None:
        """Introduce this node to addresses; pull the table of one of them."""
        if not inner_addresses:
            return
        introduction = announcement(self._membership.me)
        source = self._random.choice(inner_addresses)
        for inner_address in inner_addresses:
            batch: list[messages.Message] = [introduction]
            if inner_address == source:
                batch.append(messages.MembersPull())
            self._send(inner_address, batch)

    def _contact_next(self, now_ms: float) -> None:
        """Contact the next unknown addresses if it is time to."""
        if not self._contacts or now_ms < self._next_contact_ms:
            return
        self._next_contact_ms = now_ms + CONTACT_INTERVAL_MS
        known = {
            member.inner_address for member in self._membership.all_members()
        }
        unknown = [name for name in self._contacts if name not in known]
        self._contacts = unknown[CONTACTS_PER_ROUND:]
        self.contact(unknown[:CONTACTS_PER_ROUND])

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
        me = self._membership.me
        others = [
            member
            for member in self._membership.non_dead_members()
            if member is not me
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
            pull = messages.MembersPull(self._membership.table_digest())
            self._send(member.inner_address, [pull])

    def _is_starting(self, now_ms: float) -> bool:
        return now_ms - self._started_at_ms < START_MS
