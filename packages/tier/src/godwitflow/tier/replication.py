"""Copies of the store's objects, shared between nodes.

A few nodes follow the store. They tell some members how far their
copies go, a few times a second and at each change, and these tell
others; a member that is behind fetches what it lacks from the one that
told it. A node that hears of no sound watcher follows the store itself.
"""

import random
import typing
import urllib.parse

from twisted.internet import defer
from twisted.internet import task

from godwitflow.http1 import callers
from godwitflow.http1 import messages as http_messages
from godwitflow.http1 import upstreams
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import copies
from godwitflow.policy import store_watch
from godwitflow.store import objects
from godwitflow.tier import log as logs
from godwitflow.tier import pool
from godwitflow.wire import codec
from godwitflow.wire import messages

WATCH_WAIT_MS = 8_000.0
FIRST_WATCH_WAIT_MS = 200.0  # soon shows that the store is reached
SETTLE_MS = 250.0  # lets a burst of changes come as one watch
BACKOFF_MIN_MS = 150.0
BACKOFF_MAX_MS = 800.0
BACKOFF_A_NODE_MS = 100.0
LAPSE_AFTER_MS = 2_500.0
ANNOUNCE_EVERY_MS = 300.0
PASS_ON_EVERY_MS = 200.0
IDLE_STEP_MS = 250.0
START_STEP_MS = 20.0
RANK_KEPT_MS = 500.0
FETCH_TIMEOUT_MS = 500.0
FETCH_CONNECTIONS = 4
MS_PER_S = 1_000.0
STATE_PATH = b"/state/"


class Mates(typing.Protocol):
    """What replication needs of the member table."""

    def living(self) -> list[messages.MemberUpdate]:
        """Return the members that are not known to be dead."""
        ...

    def tell_nodes(
        self, nodes: typing.Iterable[ids.NodeId], message: messages.Message
    ) -> None:
        """Send a message to some members."""
        ...


class Taker(typing.Protocol):
    """Who is told of news, a kind at a time."""

    def take(
        self, kind: str, news: list[objects.Change], lapsed: bool
    ) -> None:
        """Take news; ``lapsed`` says that the store was away before."""
        ...


class Replication:
    """Keeps the copies and shares them."""

    def __init__(
        self,
        reactor: typing.Any,
        store: objects.ObjectStore,
        kinds: typing.Sequence[str],
        me: ids.NodeId,
        mates: Mates,
        taker: Taker,
        now_ms: typing.Callable[[], float],
        log: logs.Log,
        first_wait_ms: float,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.me = me
        self.mates = mates
        self.now_ms = now_ms
        self.log = log
        self.stopped = False
        self._taker = taker
        self._pools: dict[str, pool.Pool] = {}
        self._announced_at_ms = 0.0
        self._rank = 0
        self._ranked: list[ids.NodeId] = []
        self._rank_until_ms = 0.0
        first_ms = now_ms() + first_wait_ms
        self.followers = {
            kind: Follower(self, kind, first_ms) for kind in kinds
        }

    def start(self) -> None:
        """Start following."""
        for follower in self.followers.values():
            defer.ensureDeferred(follower.run())

    def stop(self) -> None:
        """Stop; calls under way end by themselves."""
        self.stopped = True

    def own_rank(self) -> int:
        """Return this node's place among those that watch the store."""
        now_ms = self.now_ms()
        if now_ms >= self._rank_until_ms:
            living = [row.node for row in self.mates.living()]
            ranked = store_watch.ranking(self.me, living, "store")
            self._rank = ranked.index(self.me)
            self._ranked = ranked
            self._rank_until_ms = now_ms + RANK_KEPT_MS
        return self._rank

    # Telling ------------------------------------------------------------

    def revisions(self) -> messages.Revisions:
        """Return how far this node's copies go."""
        return messages.Revisions(
            tuple(follower.revision() for follower in self.followers.values())
        )

    def tick(self) -> None:
        """Tell the audience, if this node knows what the store holds."""
        now_ms = self.now_ms()
        if now_ms - self._announced_at_ms < ANNOUNCE_EVERY_MS:
            return
        if any(follower.sound for follower in self.followers.values()):
            self._announce()

    def _announce(self) -> None:
        rank = self.own_rank()
        self._announced_at_ms = self.now_ms()
        sound = any(follower.sound for follower in self.followers.values())
        told = store_watch.audience(rank, self._ranked, sound)
        if told:
            self.mates.tell_nodes(told, self.revisions())

    def pass_on(self) -> None:
        """Pass on that the store was reached, soon after it was heard."""
        if self.now_ms() - self._announced_at_ms >= PASS_ON_EVERY_MS:
            self._announce()

    def took(
        self,
        kind: str,
        news: list[objects.Change],
        lapsed: bool,
    ) -> None:
        """Hand on news, and tell others of them at once."""
        self._taker.take(kind, news, lapsed)
        self._announce()

    # Hearing ------------------------------------------------------------

    def on_revisions(self, inner: str, message: messages.Revisions) -> None:
        """Take a peer's word, and fetch from it what is missing."""
        for heard in message.kinds:
            follower = self.followers.get(heard.kind)
            if follower is not None:
                follower.on_heard(inner, heard)

    def answer(self, exchange: callers.Exchange) -> None:
        """Answer a peer's fetch."""
        request = exchange.request
        query = request.target.partition(b"?")[2].decode("latin-1")
        after = dict(urllib.parse.parse_qsl(query)).get("after", "")
        kind = request.path.removeprefix(STATE_PATH).decode("latin-1")
        follower = self.followers.get(kind)
        if follower is None or not after.isdigit():
            exchange.answer(http_messages.own_response(404, "no such state"))
            return
        header = codec.Header(codec.VERSION, self.me, 0, "")
        delta = _to_wire(follower.copy.since(int(after)))
        exchange.answer(
            http_messages.Response(
                200, b"OK", [], codec.encode(header, [delta])
            )
        )

    async def fetch(self, inner: str, kind: str, after: int) -> copies.Delta:
        """Fetch what a peer holds beyond a revision.

        Raises :class:`errors.StoreUnavailableError` where that fails.
        """
        places = self._pools.get(inner)
        if places is None:
            places = pool.Pool(
                self.reactor,
                inner,
                FETCH_CONNECTIONS,
                b"request-id",
                self.now_ms,
                lambda: None,
            )
            self._pools[inner] = places
        data = http_messages.serialize_request(
            b"GET",
            STATE_PATH + kind.encode() + b"?after=%d" % after,
            [(b"Host", inner.encode())],
            None,
        )
        outcome = await pool.exchange(
            self.reactor, places, data, FETCH_TIMEOUT_MS
        )
        match outcome:
            case upstreams.Replied(response) if response.status == 200:
                return _from_reply(response.body)
            case _:
                raise errors.StoreUnavailableError(
                    f"no state of {kind} from {inner}"
                )


class Follower:
    """Keeps the copy of one kind up to date."""

    def __init__(
        self, replication: Replication, kind: str, first_ms: float
    ) -> None:
        self.copy = copies.Copy(kind)
        self.sound = False
        self._replication = replication
        self._kind = kind
        self._first_ms = first_ms
        self._covered_at_ms = first_ms - store_watch.COVERED_MS
        self._heard_at_ms = first_ms
        self._behind_since_ms: float | None = None
        self._backoff_ms = BACKOFF_MIN_MS
        self._next_try_ms = 0.0
        self._lost = False
        self._fetching = False

    # The store ----------------------------------------------------------

    async def run(self) -> None:
        """Follow the store while that is this node's part."""
        replication = self._replication
        while not replication.stopped:
            if not self._follows():
                self.sound = False
                known = self.copy.revision > 0
                await self._sleep(IDLE_STEP_MS if known else START_STEP_MS)
                continue
            try:
                await self._step()
                self._note_heard()
            except errors.StoreHistoryGoneError:
                await self._try_list()
            except errors.StoreError as error:
                self._note_lost(error)

    def _follows(self) -> bool:
        now_ms = self._replication.now_ms()
        if now_ms < self._next_try_ms:
            return False
        if self.copy.revision == 0:
            return now_ms >= self._first_ms
        behind_ms = 0.0
        if self._behind_since_ms is not None:
            behind_ms = now_ms - self._behind_since_ms
        return store_watch.follows(
            now_ms,
            self._replication.own_rank(),
            self._covered_at_ms,
            behind_ms,
        )

    async def _step(self) -> None:
        if self.copy.revision == 0:
            await self._list()
            return
        after = self.copy.revision
        wait_ms = WATCH_WAIT_MS if self.sound else FIRST_WATCH_WAIT_MS
        found = await self._replication.store.watch(self._kind, after, wait_ms)
        delta = copies.Delta(
            self._kind, after, found.revision, False, found.changes
        )
        self._take(delta, from_store=True)
        if found.changes:
            await self._sleep(SETTLE_MS)

    async def _try_list(self) -> None:
        try:
            await self._list()
            self._note_heard()
        except errors.StoreError as error:
            self._note_lost(error)

    async def _list(self) -> None:
        listing = await self._replication.store.list(self._kind)
        changes = tuple(
            objects.Change(found, False) for found in listing.objects
        )
        delta = copies.Delta(self._kind, 0, listing.revision, True, changes)
        self._take(delta, from_store=True)

    def _take(self, delta: copies.Delta, from_store: bool) -> None:
        silent_ms = self._replication.now_ms() - self._heard_at_ms
        lapsed = self.copy.revision > 0 and silent_ms > LAPSE_AFTER_MS
        if from_store and not lapsed:
            lapsed = self._lost
        first = self.copy.revision == 0
        news = self.copy.take(delta)
        if from_store:
            self.sound = True
        if news or first:
            self._replication.took(self._kind, news, lapsed)

    def _note_heard(self) -> None:
        self.sound = True
        self._heard_at_ms = self._replication.now_ms()
        self._backoff_ms = BACKOFF_MIN_MS
        self._behind_since_ms = None
        if self._lost:
            self._lost = False
            self._replication.log.event("store_regained", kind=self._kind)

    def _note_lost(self, error: errors.StoreError) -> None:
        replication = self._replication
        self.sound = False
        if not self._lost:
            self._lost = True
            replication.log.event(
                "store_lost", kind=self._kind, error=str(error)
            )
        if replication.own_rank() < store_watch.WATCHERS:
            longest_ms = BACKOFF_MAX_MS
        else:
            nodes = len(replication.mates.living())
            longest_ms = max(BACKOFF_MAX_MS, BACKOFF_A_NODE_MS * nodes)
            self._backoff_ms = longest_ms
        wait_ms = self._backoff_ms * (0.5 + random.random())
        self._backoff_ms = min(longest_ms, 1.6 * self._backoff_ms)
        self._next_try_ms = replication.now_ms() + wait_ms

    async def _sleep(self, wait_ms: float) -> None:
        await task.deferLater(self._replication.reactor, wait_ms / MS_PER_S)

    # Peers --------------------------------------------------------------

    def revision(self) -> messages.KindRevision:
        """Return how far the copy goes, and how old that is."""
        age_ms = 0.0
        if not self.sound:
            age_ms = self._replication.now_ms() - self._covered_at_ms
        covered = age_ms < store_watch.COVERED_MS
        return messages.KindRevision(
            self._kind, self.copy.revision, covered, round(age_ms, 1)
        )

    def on_heard(self, inner: str, heard: messages.KindRevision) -> None:
        """Take a peer's word of how far its copy goes."""
        now_ms = self._replication.now_ms()
        reached_at_ms = now_ms - max(0.0, heard.age_ms)
        if heard.sound and reached_at_ms > self._covered_at_ms:
            self._covered_at_ms = reached_at_ms
        if heard.revision <= self.copy.revision:
            if heard.sound:
                self._heard_at_ms = max(self._heard_at_ms, reached_at_ms)
                self._behind_since_ms = None
                self._replication.pass_on()
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if not self._fetching:
            self._fetching = True
            defer.ensureDeferred(self._fetch(inner, heard.sound))

    async def _fetch(self, inner: str, sound: bool) -> None:
        try:
            delta = await self._replication.fetch(
                inner, self._kind, self.copy.revision
            )
            self._take(delta, from_store=False)
            self._behind_since_ms = None
            if sound:
                self._heard_at_ms = self._replication.now_ms()
        except (errors.StoreError, errors.CodecError) as error:
            self._replication.log.decision(
                "fetch_failed", peer=inner, kind=self._kind, error=str(error)
            )
        finally:
            self._fetching = False


def _to_wire(delta: copies.Delta) -> messages.Delta:
    return messages.Delta(
        delta.kind,
        delta.after,
        delta.revision,
        delta.whole,
        tuple(
            messages.ObjectChange(
                change.object.name,
                change.object.revision,
                change.removed,
                change.object.spec,
            )
            for change in delta.changes
        ),
    )


def _from_reply(body: bytes) -> copies.Delta:
    for message in codec.decode(body).messages:
        if isinstance(message, messages.Delta):
            return copies.Delta(
                message.kind,
                message.after,
                message.revision,
                message.whole,
                tuple(
                    objects.Change(
                        objects.Object(
                            change.name, change.revision, change.spec
                        ),
                        change.removed,
                    )
                    for change in message.changes
                ),
            )
    raise errors.CodecError("the reply holds no state")
