"""The journal task: claims on request keys, here or at a peer."""

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
from godwitflow.store import versioned_store as store_module
from godwitflow.tier import metrics as metrics_module
from godwitflow.wire import messages

Send = typing.Callable[[ids.NodeId, messages.Message], None]
Route = typing.Callable[[str], list[ids.NodeId]]

MAX_ABANDONED = 10_000

_log = logs.logger("journal")


@dataclasses.dataclass
class Claim:
    """A claim that this node's front made, with the journal's reply."""

    partition: int
    key: str
    claimer: str
    reply: messages.ClaimReply


@dataclasses.dataclass
class _Waiting:
    claim: Claim
    result: "defer.Deferred[messages.ClaimReply]"


class Journals:
    """Makes claims for the front and serves partitions owned here."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: clock.NowMs,
        node: ids.NodeId,
        incarnation: int,
        store: store_module.VersionedStore,
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
        self._serial = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}
        self._abandoned: dict[int, Claim] = {}
        self._running = 0

    # For the front ----------------------------------------------------

    async def claim(self, key: str, budget_ms: float) -> Claim:
        """Claim a key at the owner of its partition.

        Without a reply in time the claim counts as not made: this node
        is the only one that could act on it, and it does not.
        """
        settings = self.settings()
        serial = next(self._serial)
        key_hash = ownership.hash64(key)
        partition = journal.partition_for_key(key_hash, settings.partitions)
        claimer = journal.claimer_id(self.node, self.incarnation, serial)
        unavailable = messages.ClaimReply(
            serial, messages.ClaimVerdict.UNAVAILABLE
        )
        claim = Claim(partition, key, claimer, unavailable)
        owners = self.route(f"journal/{partition}")
        if not owners:
            return claim
        wait_ms = min(settings.claim_timeout_ms, budget_ms)
        waiting = _Waiting(claim, defer.Deferred())
        self._waiting[serial] = waiting
        message = messages.Claim(
            serial, partition, key, claimer, wait_ms * 0.9
        )
        self.send(owners[0], message)
        waiting.result.addTimeout(wait_ms / clock.MS_PER_S, self.reactor)
        try:
            claim.reply = await waiting.result
        except defer.TimeoutError:
            self._abandoned[serial] = claim
            if len(self._abandoned) > MAX_ABANDONED:
                del self._abandoned[next(iter(self._abandoned))]
        finally:
            del self._waiting[serial]
        verdict = claim.reply.verdict.name.lower()
        self.metrics.count("claims", verdict=verdict)
        return claim

    def outcome(self, claim: Claim, ran: answers.RunStatus, note: str) -> None:
        """Report what became of a claimed request."""
        owners = self.route(f"journal/{claim.partition}")
        if owners:
            message = messages.Outcome(
                claim.partition, claim.key, claim.claimer, ran, note
            )
            self.send(owners[0], message)

    def on_reply(self, reply: messages.ClaimReply) -> None:
        """Take the owner's reply; a late one is released."""
        waiting = self._waiting.get(reply.claim_id)
        if waiting is not None:
            if not waiting.result.called:
                waiting.result.callback(reply)
            return
        claim = self._abandoned.pop(reply.claim_id, None)
        claimed = reply.verdict is messages.ClaimVerdict.CLAIMED
        if claim is not None and claimed:
            self.outcome(claim, answers.RunStatus.NOT_RUN, "")

    # As owner ---------------------------------------------------------

    def on_claim(self, sender: ids.NodeId, claim: messages.Claim) -> None:
        """Take a claim on a partition."""
        settings = self.settings()
        if not 0 <= claim.partition < settings.partitions:
            return
        partition = self._partition(claim.partition)
        actions = partition.on_claim(
            self.now_ms(), clock.unix_ms(), sender, claim
        )
        self._perform(partition, actions)

    def on_outcome(self, outcome: messages.Outcome) -> None:
        """Take an outcome for a partition."""
        settings = self.settings()
        if not 0 <= outcome.partition < settings.partitions:
            return
        partition = self._partition(outcome.partition)
        actions = partition.on_outcome(self.now_ms(), clock.unix_ms(), outcome)
        self._perform(partition, actions)

    def _partition(self, number: int) -> journal.Partition:
        found = self.partitions.get(number)
        if found is None:
            settings = self.settings()
            found = journal.Partition(
                number, settings.retention_ms, settings.commit_interval_ms
            )
            self.partitions[number] = found
        return found

    def step(self) -> None:
        """Run what is due in each partition with work waiting."""
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
                case journal.ReplyClaim(client=client, reply=reply):
                    self.send(ids.NodeId(client), reply)

    async def _read(self, partition: journal.Partition) -> None:
        self._running += 1
        value, version = b"", store_module.ABSENT
        failed = False
        try:
            stored = await self.store.get(partition.name)
            value, version = stored.value, stored.version
        except errors.ObjectNotFoundError:
            pass
        except errors.StoreError:
            failed = True
        self._running -= 1
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
        self._running += 1
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
        self._running -= 1
        self._perform(partition, actions)

    @property
    def idle(self) -> bool:
        """Whether no claim waits and no call to the store is running."""
        busy = any(item.has_pending_work for item in self.partitions.values())
        return not busy and not self._waiting and self._running == 0
