"""Keeps a node's copy of one kind of store objects up to date.

A node that is ranked as a watcher reads changes from the store. Other
nodes fetch them from peers that announce a newer revision. How current a
copy is follows from the store's last answer, to this node or to a peer, and
not from a watch that still waits.
"""

import math
import random
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.model import errors
from godwitflow.policy import store_copy
from godwitflow.policy import store_watch
from godwitflow.store import objects
from godwitflow.tier import log as logs
from godwitflow.wire import messages

FIRST_WATCH_WAIT_MS = 200.0  # short, to find out soon if the store is up
BATCH_DELAY_MS = 250.0  # lets the next watch return a burst of changes
# Every new revision of a copy is fetched by all peers, changed or not.
REVISION_INTERVAL_MS = 8_000.0
BACKOFF_MIN_MS = 150.0
BACKOFF_MAX_MS = 800.0
BACKOFF_PER_NODE_MS = 100.0
OUTAGE_AFTER_MS = 2_500.0
IDLE_POLL_MS = 250.0
STARTUP_POLL_MS = 20.0
MS_PER_S = 1_000.0


class FollowerContext(typing.Protocol):
    """What a follower needs from the replication that owns it."""

    reactor: typing.Any
    store: objects.ObjectStore
    log: logs.Log
    stopped: bool

    def now_ms(self) -> float:
        """Return the time of the monotonic clock, in milliseconds."""
        ...

    def own_rank(self) -> int:
        """Return this node's rank, from 0; the first few watch the store."""
        ...

    def non_dead_count(self) -> int:
        """Return the number of members that are not known to be dead."""
        ...

    def on_copy_changed(
        self, kind: str, changes: list[objects.Change], after_outage: bool
    ) -> None:
        """Process changes that were applied to a copy."""
        ...

    def on_store_restored(self, era: int) -> None:
        """Process that the store was restored from a backup."""
        ...

    def relay(self) -> None:
        """Announce to peers that the store was recently reached."""
        ...

    async def fetch(
        self, inner_address: str, kind: str, after: objects.Revision
    ) -> store_copy.Delta:
        """Fetch a peer's changes after a revision."""
        ...


class Follower:
    """Keeps the copy of one kind up to date.

    ``in_sync`` is set while this node watches the store itself and its
    last call to the store did not fail. The store is not listed before
    ``first_list_at_ms``, as the copy may come from a peer by then.
    """

    def __init__(
        self, context: FollowerContext, kind: str, first_list_at_ms: float
    ) -> None:
        self.copy = store_copy.StoreCopy(kind)
        self.in_sync = False
        self._context = context
        self._kind = kind
        self._first_list_at_ms = first_list_at_ms
        # When the store last answered this node, and another one.
        self._reached_at_ms = -math.inf
        self._others_reached_at_ms = (
            first_list_at_ms - store_watch.WATCHER_TIMEOUT_MS
        )
        # The store has no change between the copy's revision and this one.
        self._watched_revision = objects.NO_REVISION
        self._revision_advanced_at_ms = first_list_at_ms
        # When the copy was last known to be up to date.
        self._confirmed_at_ms = first_list_at_ms
        self._behind_since_ms: float | None = None
        self._backoff_ms = BACKOFF_MIN_MS
        self._next_attempt_ms = 0.0
        self._store_lost = False
        self._history_gone = False
        self._fetching = False

    # The store ----------------------------------------------------------

    async def run(self) -> None:
        """Watch the store whenever this node has to, until stopped."""
        context = self._context
        watching = False
        while not context.stopped:
            was_watching, watching = watching, self._should_watch()
            if watching and not was_watching and not self._store_lost:
                self._log_start_of_watch()
            if not watching:
                self.in_sync = False
                await self._sleep(
                    STARTUP_POLL_MS if self.copy.empty else IDLE_POLL_MS
                )
                continue
            try:
                await self._list_or_watch()
                self._history_gone = False
                self._on_store_reached()
            except errors.StoreHistoryGoneError:
                await self._list_again()
            except errors.StoreError as error:
                self._on_store_error(error)
            except Exception as error:
                self._on_defect(error)

    def _log_start_of_watch(self) -> None:
        silent_ms = self._context.now_ms() - self._others_reached_at_ms
        self._context.log.limited_event(
            "store_watch_started",
            kind=self._kind,
            rank=self._context.own_rank(),
            era=self.copy.revision.era,
            revision=self.copy.revision.number,
            others_silent_ms=round(silent_ms, 1),
        )

    def _should_watch(self) -> bool:
        now_ms = self._context.now_ms()
        if now_ms < self._next_attempt_ms:
            return False
        if self.copy.empty:
            return now_ms >= self._first_list_at_ms
        behind_ms = 0.0
        if self._behind_since_ms is not None:
            behind_ms = now_ms - self._behind_since_ms
        return store_watch.should_watch(
            now_ms,
            self._context.own_rank(),
            self._others_reached_at_ms,
            behind_ms,
        )

    async def _list_or_watch(self) -> None:
        if self.copy.empty:
            await self._list()
        else:
            await self._watch()

    async def _watch(self) -> None:
        copied_revision = self.copy.revision
        watched = await self._context.store.watch(
            self._kind,
            max(copied_revision, self._watched_revision),
            self._wait_ms(),
        )
        now_ms = self._context.now_ms()
        self._reached_at_ms = now_ms
        elapsed_ms = now_ms - self._revision_advanced_at_ms
        if watched.changes or elapsed_ms > REVISION_INTERVAL_MS:
            self._revision_advanced_at_ms = now_ms
            delta = store_copy.Delta(
                self._kind,
                copied_revision,
                watched.revision,
                False,
                watched.changes,
            )
            self._apply(delta)
        self._watched_revision = watched.revision
        if watched.changes:
            await self._sleep(BATCH_DELAY_MS)

    def _wait_ms(self) -> float:
        if not self.in_sync:
            return FIRST_WATCH_WAIT_MS
        return store_watch.watch_wait_ms(
            self._context.now_ms(),
            self._context.own_rank(),
            self._others_reached_at_ms,
        )

    async def _list_again(self) -> None:
        """List the store, as it cannot tell what has changed.

        If it cannot tell after that list either, the next call has to wait.
        """
        again, self._history_gone = self._history_gone, True
        try:
            await self._list()
            self._on_store_reached()
        except errors.StoreError as error:
            self._on_store_error(error)
            return
        if again:
            self._back_off()

    async def _list(self) -> None:
        """List the store and replace the copy.

        Raises StoreUnavailableError if the list is older than the copy was:
        the store has lost changes, but its era does not say so.
        """
        copied_revision = self.copy.revision
        listing = await self._context.store.list(self._kind)
        if listing.revision < copied_revision:
            raise errors.StoreUnavailableError(
                f"{self._kind}: the list at {listing.revision} is older than"
                f" the copy at {copied_revision}"
            )
        changes = tuple(
            objects.Change(listed, False) for listed in listing.objects
        )
        delta = store_copy.Delta(
            self._kind, objects.NO_REVISION, listing.revision, True, changes
        )
        self._reached_at_ms = self._context.now_ms()
        self._apply(delta)

    def _apply(self, delta: store_copy.Delta, peer: str | None = None) -> None:
        """Apply a delta of the store, or of a peer's copy."""
        unconfirmed_ms = self._context.now_ms() - self._confirmed_at_ms
        previous = self.copy.revision
        first = self.copy.empty
        after_outage = not first and unconfirmed_ms > OUTAGE_AFTER_MS
        if peer is None and not after_outage:
            after_outage = self._store_lost
        changes = self.copy.apply(delta)
        restored = not first and self.copy.revision.era > previous.era
        if restored:
            self._on_store_restored(previous, peer)
        if peer is None:
            self.in_sync = True
        if changes or first or restored:
            self._context.on_copy_changed(
                self._kind, changes, after_outage or restored
            )

    def _on_store_restored(
        self, previous: objects.Revision, peer: str | None
    ) -> None:
        current = self.copy.revision
        self._context.log.event(
            "store_restored",
            kind=self._kind,
            era=current.era,
            revision=current.number,
            previous_era=previous.era,
            previous_revision=previous.number,
            source=peer or "store",
        )
        self._context.on_store_restored(current.era)

    def _on_store_reached(self) -> None:
        self.in_sync = True
        self._confirmed_at_ms = self._context.now_ms()
        self._backoff_ms = BACKOFF_MIN_MS
        self._behind_since_ms = None
        if self._store_lost:
            self._store_lost = False
            self._context.log.event("store_regained", kind=self._kind)

    def _on_store_error(self, error: errors.StoreError) -> None:
        context = self._context
        self.in_sync = False
        if not self._store_lost:
            self._store_lost = True
            context.log.event("store_lost", kind=self._kind, error=str(error))
        self._back_off()

    def _on_defect(self, error: Exception) -> None:
        """Log an unexpected error, and go on after a pause."""
        self.in_sync = False
        self._context.log.limited_event(
            "follow_failed", kind=self._kind, error=repr(error)
        )
        self._back_off()

    def _back_off(self) -> None:
        context = self._context
        if context.own_rank() < store_watch.WATCHER_COUNT:
            max_backoff_ms = BACKOFF_MAX_MS
        else:
            nodes = context.non_dead_count()
            max_backoff_ms = max(BACKOFF_MAX_MS, BACKOFF_PER_NODE_MS * nodes)
            self._backoff_ms = max_backoff_ms
        wait_ms = self._backoff_ms * (0.5 + random.random())
        self._backoff_ms = min(max_backoff_ms, 1.6 * self._backoff_ms)
        self._next_attempt_ms = context.now_ms() + wait_ms

    async def _sleep(self, wait_ms: float) -> None:
        await task.deferLater(self._context.reactor, wait_ms / MS_PER_S)

    # Peers --------------------------------------------------------------

    def kind_revision(self) -> messages.KindRevision:
        """Return the copy's revision and the age of the store's answer."""
        reached_at_ms = max(self._reached_at_ms, self._others_reached_at_ms)
        age_ms = self._context.now_ms() - reached_at_ms
        fresh = not self.copy.empty and age_ms < store_watch.WATCHER_TIMEOUT_MS
        revision = self.copy.revision
        return messages.KindRevision(
            self._kind,
            revision.number,
            fresh,
            round(age_ms, 1),
            revision.era,
        )

    def on_peer_revision(
        self, inner_address: str, announced: messages.KindRevision
    ) -> None:
        """Process a peer's announced revision; fetch from it if newer.

        A peer in an earlier era has not seen that the store was restored,
        so it cannot tell whether this node's copy is up to date.
        """
        if announced.era < self.copy.revision.era:
            return
        now_ms = self._context.now_ms()
        reached_at_ms = now_ms - max(0.0, announced.age_ms)
        if announced.fresh and reached_at_ms > self._others_reached_at_ms:
            self._others_reached_at_ms = reached_at_ms
        revision = objects.Revision(announced.era, announced.revision)
        if revision <= self.copy.revision:
            if announced.fresh:
                self._confirmed_at_ms = max(
                    self._confirmed_at_ms, reached_at_ms
                )
                self._behind_since_ms = None
                self._context.relay()
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if not self._fetching:
            self._fetching = True
            defer.ensureDeferred(
                self._fetch(inner_address, announced, reached_at_ms)
            )

    async def _fetch(
        self,
        inner_address: str,
        announced: messages.KindRevision,
        reached_at_ms: float,
    ) -> None:
        try:
            delta = await self._context.fetch(
                inner_address, self._kind, self.copy.revision
            )
            self._apply(delta, peer=inner_address)
            self._behind_since_ms = None
            if announced.fresh:
                self._confirmed_at_ms = max(
                    self._confirmed_at_ms, reached_at_ms
                )
        except (errors.StoreError, errors.CodecError) as error:
            self._context.log.limited_event(
                "fetch_failed",
                peer=inner_address,
                kind=self._kind,
                error=str(error),
            )
        except Exception as error:
            self._on_defect(error)
        finally:
            self._fetching = False
