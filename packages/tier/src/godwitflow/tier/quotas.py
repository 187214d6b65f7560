"""Admits customers' requests within their quotas.

A token in reserve admits a request at once. Without one, this node asks
the issuer of the customer's quota; requests of one turn of the event loop
that go to the same issuer share a datagram. After a denial, requests are
denied without asking until the issuer expects to have a token.
"""

import dataclasses
import random
import typing

from godwitflow.model import ids
from godwitflow.policy import customers
from godwitflow.policy import permits
from godwitflow.policy import quotas as policy
from godwitflow.tier import issuers as issuer_ranking
from godwitflow.tier import log as logs
from godwitflow.tier import quota_issuing
from godwitflow.wire import messages

REPLY_TIMEOUT_MS = 40.0
ASK_COUNT = 2  # how often a request is asked for
UNVERIFIED_RETRY_S = 0.3
WANTS_PER_DATAGRAM = 32
MS_PER_S = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within the quota."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """The request is beyond the quota."""

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unverified:
    """No issuer answers, and the standby has no token to give."""

    retry_after_s: float


Admission = Admitted | OverQuota | Unverified
OnAdmission = typing.Callable[[Admission], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A request that awaits the issuer's reply.

    Without ``on_admission`` only a token in reserve was asked for.
    """

    customer: customers.Customer
    on_admission: OnAdmission | None
    issuer: ids.NodeId
    role: permits.Role
    asked_at_ms: float
    ask_count: int


class Quotas:
    """One node's requests for tokens, and its answers to those of peers."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: typing.Callable[[], float],
        node: ids.NodeId,
        members: quota_issuing.Members,
        bounds: policy.QuotaBounds,
        log: logs.Log,
        seed: int,
    ) -> None:
        self._reactor = reactor
        self._now_ms = now_ms
        self._node = node
        self._members = members
        self._random = random.Random(seed)
        self._issuers = issuer_ranking.Issuers(node, members, log)
        self.issuing = quota_issuing.QuotaIssuing(
            now_ms, node, members, self._issuers, bounds, log
        )
        self._customers: dict[ids.CustomerName, policy.NodeQuota] = {}
        self._pending: dict[int, _Pending] = {}
        self._unsent: dict[
            tuple[ids.NodeId, permits.Role], list[messages.QuotaWant]
        ] = {}
        self._last_ticket = 0

    def apply_customers(
        self, configured: typing.Iterable[customers.Customer]
    ) -> None:
        """Apply the quotas of a new configuration."""
        limited = {
            customer.name: customer
            for customer in configured
            if customer.quota is not None
        }
        self.issuing.apply_customers(limited)
        self._customers = {
            name: self._customers.get(name, policy.NodeQuota())
            for name in limited
        }

    def on_members_changed(self) -> None:
        """Choose the issuers anew."""
        self._issuers.on_members_changed()

    def tick(self) -> None:
        """Notice pauses of this node and the groups that it issues for."""
        self.issuing.tick()

    def tokens_in_reserve(self, name: ids.CustomerName) -> int:
        """Return how many requests this node may admit without asking."""
        quota = self._customers.get(name)
        return 0 if quota is None else quota.held(self._now_ms())

    # Asking -------------------------------------------------------------

    def admit(
        self, customer: customers.Customer, on_admission: OnAdmission
    ) -> None:
        """Call ``on_admission`` once, now or later, with the decision."""
        if customer.quota is None:
            on_admission(Admitted())
            return
        quota = self._customers.setdefault(customer.name, policy.NodeQuota())
        now_ms = self._now_ms()
        if quota.take(now_ms):
            on_admission(Admitted())
            self._ask(customer, None, 1)
        elif now_ms < quota.denied_until_ms:
            wait_ms = quota.denied_until_ms - now_ms
            on_admission(self._over_quota(customer.quota, wait_ms))
        else:
            self._ask(customer, on_admission, 1)

    def _over_quota(self, quota: customers.Quota, wait_ms: float) -> OverQuota:
        return OverQuota(policy.return_after_s(wait_ms, quota, self._random))

    def _ask(
        self,
        customer: customers.Customer,
        on_admission: OnAdmission | None,
        ask_count: int,
    ) -> None:
        now_ms = self._now_ms()
        quota = self._customers.get(customer.name, policy.NodeQuota())
        issuer, role = self._choose_issuer(customer, ask_count, now_ms)
        self._last_ticket += 1
        self._pending[self._last_ticket] = _Pending(
            customer, on_admission, issuer, role, now_ms, ask_count
        )
        if not self._unsent:
            self._reactor.callLater(0, self._send_requests)
        self._unsent.setdefault((issuer, role), []).append(
            messages.QuotaWant(
                self._last_ticket,
                customer.name,
                quota.held(now_ms),
                on_admission is not None,
            )
        )

    def _choose_issuer(
        self, customer: customers.Customer, ask_count: int, now_ms: float
    ) -> tuple[ids.NodeId, permits.Role]:
        """Choose whom to ask; the second time that is the standby."""
        group = policy.group_of(customer.name)
        if ask_count < ASK_COUNT:
            return self._issuers.choose(group, now_ms)
        ranking = self._issuers.ranking(group)
        standby = ranking[1] if len(ranking) > 1 else self._node
        return standby, permits.Role.STANDBY

    def _send_requests(self) -> None:
        """Send what was asked for in this turn of the event loop.

        The timeouts are set first: a request must get an answer even if
        its issuer fails.
        """
        unsent, self._unsent = self._unsent, {}
        for (issuer, _), wants in unsent.items():
            self._reactor.callLater(
                REPLY_TIMEOUT_MS / MS_PER_S,
                self._on_timeout,
                issuer,
                [want.ticket for want in wants],
            )
        for (issuer, role), wants in unsent.items():
            if issuer == self._node:
                for want in wants:
                    answer = self.issuing.decide(self._node, want, role)
                    self._on_answer(answer, issuer)
            else:
                self._send_to_issuer(issuer, role, wants)

    def _send_to_issuer(
        self,
        issuer: ids.NodeId,
        role: permits.Role,
        wants: list[messages.QuotaWant],
    ) -> None:
        standby = role is permits.Role.STANDBY
        for start in range(0, len(wants), WANTS_PER_DATAGRAM):
            chunk = tuple(wants[start : start + WANTS_PER_DATAGRAM])
            self._members.send_to(
                [issuer], messages.QuotaRequest(standby, chunk)
            )

    def _on_timeout(self, issuer: ids.NodeId, tickets: list[int]) -> None:
        unanswered = [
            pending
            for ticket in tickets
            if (pending := self._pending.pop(ticket, None)) is not None
        ]
        if unanswered:
            self._issuers.on_timeout(issuer, self._now_ms())
        for pending in unanswered:
            self._ask_again(pending)

    def _ask_again(self, pending: _Pending) -> None:
        """Ask the standby, as a datagram may be lost or the issuer gone."""
        if pending.on_admission is None:
            return
        if pending.ask_count < ASK_COUNT:
            self._ask(
                pending.customer, pending.on_admission, pending.ask_count + 1
            )
        else:
            pending.on_admission(Unverified(UNVERIFIED_RETRY_S))

    def on_reply(
        self, sender: ids.NodeId, message: messages.QuotaReply
    ) -> None:
        """Process the answers of an issuer."""
        self._issuers.on_reply(sender)
        for answer in message.answers:
            self._on_answer(answer, sender)

    def _on_answer(
        self, answer: messages.QuotaAnswer, issuer: ids.NodeId
    ) -> None:
        """Process an answer; an unexpected one is ignored.

        After a pause of this node, an answer may be read late but before
        the timeout is noticed. Its token has expired.
        """
        pending = self._pending.get(answer.ticket)
        if pending is None or pending.issuer != issuer:
            return
        del self._pending[answer.ticket]
        now_ms = self._now_ms()
        if now_ms - pending.asked_at_ms > REPLY_TIMEOUT_MS:
            self._ask_again(pending)
            return
        quota = self._customers.get(pending.customer.name)
        if quota is not None and answer.reserve:
            expires_at_ms = pending.asked_at_ms + policy.RESERVE_LIFETIME_MS
            quota.reserve.append(expires_at_ms)
        if pending.on_admission is None:
            return
        if answer.granted:
            pending.on_admission(Admitted())
        elif not answer.wait_ms:
            self._ask_again(pending)
        elif pending.role is permits.Role.STANDBY:
            pending.on_admission(Unverified(answer.wait_ms / MS_PER_S))
        elif pending.customer.quota is not None:
            if quota is not None:
                quota.denied_until_ms = now_ms + answer.wait_ms
            pending.on_admission(
                self._over_quota(pending.customer.quota, answer.wait_ms)
            )

    # Issuing ------------------------------------------------------------

    def on_request(
        self, sender: ids.NodeId, message: messages.QuotaRequest
    ) -> None:
        """Decide on the requests that a peer asks for, and reply."""
        role = permits.Role.PRIMARY
        if message.standby:
            role = permits.Role.STANDBY
        answers = tuple(
            self.issuing.decide(sender, want, role) for want in message.wants
        )
        self._members.send_to([sender], messages.QuotaReply(answers))
