"""The journal task: claims on request keys.

A claim is made at the owner of the key's partition, which is this node
or a peer.
"""

import dataclasses
import itertools
import typing

from twisted.internet import defer

from godwitflow.daemon import clock
from godwitflow.daemon import logs
from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import journal
from godwitflow.policy import ownership
from godwitflow.settings import config
from godwitflow.store import versioned_store
from godwitflow.tier import metrics as metrics_module
from godwitflow.wire import messages

Send = typing.Callable[[ids.NodeId, messages.Message], None]
Route = typing.Callable[[str], list[ids.NodeId]]

# The oldest are dropped above this number. A late grant of a dropped claim
# is not released.
MAX_TIMED_OUT_CLAIMS = 10_000

_log = logs.logger("journal")


@dataclasses.dataclass
class Claim:
    """A claim of this node's front, with the journal's reply.

    The verdict is ``UNAVAILABLE`` until a reply has arrived.
    """

    partition: int
    key: str
    claimer: str
    reply: messages.ClaimReply


@dataclasses.dataclass
class _PendingClaim:
    claim: Claim
    result: "defer.Deferred[messages.ClaimReply]"


class Journals:
    """Makes claims for the front and serves the partitions owned here."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: clock.NowMs,
        node: ids.NodeId,
        incarnation: int,
        store: versioned_store.VersionedStore,
        settings: typing.Callable[[], config.Journal],
        send: Send,
        route: Route,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.node = node
        self.incarnation = incarnation
        self.store = store
        self.settings = settings
        self.send = send
        self.route = route
        self.metrics = metrics
        self.partitions: dict[int, journal.Partition] = {}
        self._claim_ids = itertools.count(1)
        self._pending_claims: dict[int, _PendingClaim] = {}
        self._timed_out_claims: dict[int, Claim] = {}
        self._store_calls = 0

    # Claims of the front ----------------------------------------------

    async def claim(self, key: str, budget_ms: float) -> Claim:
        """Claim a key at the owner of its partition.

        Without a reply in time the claim counts as not made. That is
        safe, as only this node could run the request, and it does not.
        """
        settings = self.settings()
        claim_id = next(self._claim_ids)
        key_hash = ownership.hash64(key)
        partition = journal.partition_for_key(key_hash, settings.partitions)
        claimer = journal.claimer_id(self.node, self.incarnation, claim_id)
        unavailable = messages.ClaimReply(
            claim_id, messages.ClaimVerdict.UNAVAILABLE
        )
        claim = Claim(partition, key, claimer, unavailable)
        owners = self.route(f"journal/{partition}")
        if not owners:
            return claim
        wait_ms = min(settings.claim_timeout_ms, budget_ms)
        pending = _PendingClaim(claim, defer.Deferred())
        self._pending_claims[claim_id] = pending
        message = messages.Claim(
            claim_id, partition, key, claimer, wait_ms * 0.9
        )
        self.send(owners[0], message)
        pending.result.addTimeout(wait_ms / clock.MS_PER_S, self.reactor)
        try:
            claim.reply = await pending.result
        except defer.TimeoutError:
            self._timed_out_claims[claim_id] = claim
            if len(self._timed_out_claims) > MAX_TIMED_OUT_CLAIMS:
                del self._timed_out_claims[next(iter(self._timed_out_claims))]
        finally:
            del self._pending_claims[claim_id]
        verdict = claim.reply.verdict.name.lower()
        self.metrics.count("claims", verdict=verdict)
        return claim

    def report_outcome(
        self, claim: Claim, ran: answers.RunStatus, note: str
    ) -> None:
        """Report to the journal whether a claimed request has run."""
        owners = self.route(f"journal/{claim.partition}")
        if owners:
            message = messages.Outcome(
                claim.partition, claim.key, claim.claimer, ran, note
            )
            self.send(owners[0], message)

    def on_reply(self, reply: messages.ClaimReply) -> None:
        """Handle the owner's reply to a claim.

        A claim granted after its timeout is released as not run.
        """
        pending = self._pending_claims.get(reply.claim_id)
        if pending is not None:
            if not pending.result.called:
                pending.result.callback(reply)
            return
        claim = self._timed_out_claims.pop(reply.claim_id, None)
        claimed = reply.verdict is messages.ClaimVerdict.CLAIMED
        if claim is not None and claimed:
            self.report_outcome(claim, answers.RunStatus.NOT_RUN, "")

    # Owned partitions -------------------------------------------------

    def on_claim(self, sender: ids.NodeId, claim: messages.Claim) -> None:
        """Handle a claim sent to this node as the partition's owner."""
        settings = self.settings()
        if not 0 <= claim.partition < settings.partitions:
            return
        partition = self._partition(claim.partition)
        actions = partition.on_claim(
            self.now_ms(), clock.unix_ms(), sender, claim
        )
        self._perform(partition, actions)

    def on_outcome(self, outcome: messages.Outcome) -> None:
        """Handle the outcome of a claimed request."""
        settings = self.settings()
        if not 0 <= outcome.partition < settings.partitions:
            return
        partition = self._partition(outcome.partition)
        actions = partition.on_outcome(self.now_ms(), clock.unix_ms(), outcome)
        self._perform(partition, actions)

    def _partition(self, number: int) -> journal.Partition:
        partition = self.partitions.get(number)
        if partition is None:
            settings = self.settings()
            partition = journal.Partition(
                number, settings.retention_ms, settings.commit_interval_ms
            )
            self.partitions[number] = partition
        return partition

    def step(self) -> None:
        """Run the due work of each partition that has any."""
        for partition in self.partitions.values():
            if partition.has_pending_work:
                actions = partition.step(self.now_ms(), clock.unix_ms())
                self._perform(partition, actions)

    def _perform(
        self, partition: journal.Partition, actions: list[journal.Action]
    ) -> None:
        for action in actions:
            match action:
                case journal.Read():
                    defer.ensureDeferred(self._read(partition))
                case journal.Write():
                    defer.ensureDeferred(self._write(partition, action))
                case journal.ReplyClaim(front_node=node, reply=reply):
                    self.send(ids.NodeId(node), reply)

    async def _read(self, partition: journal.Partition) -> None:
        self._store_calls += 1
        value, version = b"", versioned_store.ABSENT
        failed = False
        try:
            stored = await self.store.get(partition.name)
            value, version = stored.value, stored.version
        except errors.ObjectNotFoundError:
            pass
        except errors.StoreError:
            failed = True
        self._store_calls -= 1
        now_ms = self.now_ms()
        try:
            if failed:
                actions = partition.on_store_unavailable(now_ms)
            else:
                actions = partition.on_read(
                    now_ms, clock.unix_ms(), value, version
                )
        except errors.CodecError as error:
            _log.error("a damaged journal object", detail=str(error))
            actions = partition.on_store_unavailable(now_ms)
        self._perform(partition, actions)

    async def _write(
        self, partition: journal.Partition, write: journal.Write
    ) -> None:
        self._store_calls += 1
        self.metrics.count("journal_writes")
        try:
            version = await self.store.put(
                partition.name, write.value, write.version
            )
            actions = partition.on_written(
                self.now_ms(), clock.unix_ms(), version
            )
        except errors.StoreConflictError:
            actions = partition.on_write_conflict()
        except errors.StoreOutcomeUnknownError:
            actions = partition.on_write_unknown()
        except errors.StoreError:
            actions = partition.on_store_unavailable(self.now_ms())
        self._store_calls -= 1
        self._perform(partition, actions)

    @property
    def idle(self) -> bool:
        """Whether no claim is pending and no call to the store is running."""
        has_pending_work = any(
            partition.has_pending_work
            for partition in self.partitions.values()
        )
        return (
            not has_pending_work
            and not self._pending_claims
            and self._store_calls == 0
        )
