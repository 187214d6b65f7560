"""Copies of the store's objects, shared between nodes.

A few nodes follow the store. They tell some members how far their
copies go, a few times a second and at each change, and these tell
others; a member that is behind fetches what it lacks from the one that
told it. A node that hears of no sound watcher follows the store itself.
"""

import typing
import urllib.parse
import zlib

from twisted.internet import defer

from godwitflow.http1 import callers
from godwitflow.http1 import messages as http_messages
from godwitflow.http1 import upstreams
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import store_copy
from godwitflow.policy import store_watch
from godwitflow.store import objects
from godwitflow.tier import follower as follow
from godwitflow.tier import log as logs
from godwitflow.tier import pool
from godwitflow.wire import codec
from godwitflow.wire import messages

ANNOUNCE_INTERVAL_MS = 300.0
RELAY_INTERVAL_MS = 200.0
RANK_CACHE_MS = 500.0
FETCH_TIMEOUT_MS = 500.0
FETCH_CONNECTIONS = 4
STATE_PATH = b"/state/"
DEFLATE_LEVEL = 1
DEFLATE_HEADERS = [(b"Content-Encoding", b"deflate")]


class Members(typing.Protocol):
    """What replication needs of the member table."""

    def non_dead_members(self) -> list[messages.MemberUpdate]:
        """Return the members that are not known to be dead."""
        ...

    def send_to(
        self, nodes: typing.Iterable[ids.NodeId], message: messages.Message
    ) -> None:
        """Send a message to some members."""
        ...


class ChangeListener(typing.Protocol):
    """Who is told of changes, a kind at a time."""

    def on_changes(
        self, kind: str, changes: list[objects.Change], lapsed: bool
    ) -> None:
        """Take changes; ``lapsed`` says that the store was away before."""
        ...


class Replication:
    """Keeps the copies and shares them."""

    def __init__(
        self,
        reactor: typing.Any,
        store: objects.ObjectStore,
        kinds: typing.Sequence[str],
        me: ids.NodeId,
        members: Members,
        taker: ChangeListener,
        now_ms: typing.Callable[[], float],
        log: logs.Log,
        first_wait_ms: float,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.node = me
        self.members = members
        self.now_ms = now_ms
        self.log = log
        self.stopped = False
        self._listener = taker
        self._pools: dict[str, pool.ConnectionPool] = {}
        self._fetch_replies: dict[str, tuple[tuple[int, int], bytes]] = {}
        self._announced_at_ms = 0.0
        self._rank = 0
        self._ranking: list[ids.NodeId] = []
        self._rank_expires_at_ms = 0.0
        first_ms = now_ms() + first_wait_ms
        self.followers = {
            kind: follow.Follower(self, kind, first_ms) for kind in kinds
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
        if now_ms >= self._rank_expires_at_ms:
            living = [row.node for row in self.members.non_dead_members()]
            ranked = store_watch.rank_nodes(self.node, living, "store")
            self._rank = ranked.index(self.node)
            self._ranking = ranked
            self._rank_expires_at_ms = now_ms + RANK_CACHE_MS
        return self._rank

    def non_dead_count(self) -> int:
        """Return how many members are not known to be dead."""
        return len(self.members.non_dead_members())

    # Telling ------------------------------------------------------------

    def revisions(self) -> messages.Revisions:
        """Return how far this node's copies go."""
        return messages.Revisions(
            tuple(
                follower.kind_revision()
                for follower in self.followers.values()
            )
        )

    def tick(self) -> None:
        """Tell the audience, if this node knows what the store holds."""
        now_ms = self.now_ms()
        if now_ms - self._announced_at_ms < ANNOUNCE_INTERVAL_MS:
            return
        if any(follower.in_sync for follower in self.followers.values()):
            self._announce()

    def _announce(self) -> None:
        rank = self.own_rank()
        self._announced_at_ms = self.now_ms()
        sound = any(follower.in_sync for follower in self.followers.values())
        told = store_watch.announcement_targets(rank, self._ranking, sound)
        if told:
            self.members.send_to(told, self.revisions())

    def relay(self) -> None:
        """Pass on that the store was reached, soon after it was heard."""
        if self.now_ms() - self._announced_at_ms >= RELAY_INTERVAL_MS:
            self._announce()

    def on_copy_changed(
        self,
        kind: str,
        changes: list[objects.Change],
        lapsed: bool,
    ) -> None:
        """Hand on changes, and tell others of them at once."""
        self._listener.on_changes(kind, changes, lapsed)
        self._announce()

    # Hearing ------------------------------------------------------------

    def on_revisions(self, inner: str, message: messages.Revisions) -> None:
        """Take how far a peer's copies go; fetch from it what is missing."""
        for heard in message.kinds:
            follower = self.followers.get(heard.kind)
            if follower is not None:
                follower.on_peer_revision(inner, heard)

    def serve_fetch(self, exchange: callers.Exchange) -> None:
        """Answer a peer's fetch."""
        request = exchange.request
        query = request.target.partition(b"?")[2].decode("latin-1")
        after = dict(urllib.parse.parse_qsl(query)).get("after", "")
        kind = request.path.removeprefix(STATE_PATH).decode("latin-1")
        follower = self.followers.get(kind)
        if follower is None or not after.isdigit():
            exchange.respond(http_messages.text_response(404, "no such state"))
            return
        exchange.respond(
            self._fetch_response(
                kind, follower.copy, int(after), _accepts_deflate(request)
            )
        )

    def _fetch_response(
        self, kind: str, copy: store_copy.StoreCopy, after: int, deflated: bool
    ) -> http_messages.Response:
        """Return what a peer lacks, deflated if it takes that.

        After a change many peers lack the same, so the last deflated
        answer of a kind is kept.
        """
        if not deflated:
            data = self._encode_delta(copy, after)
            return http_messages.Response(200, b"OK", [], data)
        asked = (after, copy.revision)
        kept = self._fetch_replies.get(kind)
        if kept is None or kept[0] != asked:
            data = zlib.compress(
                self._encode_delta(copy, after), DEFLATE_LEVEL
            )
            kept = (asked, data)
            self._fetch_replies[kind] = kept
        return http_messages.Response(200, b"OK", DEFLATE_HEADERS, kept[1])

    def _encode_delta(self, copy: store_copy.StoreCopy, after: int) -> bytes:
        header = codec.Header(codec.VERSION, self.node, 0, "")
        return codec.encode(header, [_to_wire(copy.delta_after(after))])

    async def fetch(
        self, inner: str, kind: str, after: int
    ) -> store_copy.Delta:
        """Fetch what a peer holds beyond a revision.

        Raises :class:`errors.StoreUnavailableError` where that fails.
        """
        places = self._pools.get(inner)
        if places is None:
            places = pool.ConnectionPool(
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
            [(b"Host", inner.encode()), (b"Accept-Encoding", b"deflate")],
            None,
        )
        outcome = await pool.send_request(
            self.reactor, places, data, FETCH_TIMEOUT_MS
        )
        match outcome:
            case upstreams.Replied(response) if response.status == 200:
                return _decode_delta(_decoded_body(response))
            case _:
                raise errors.StoreUnavailableError(
                    f"no state of {kind} from {inner}"
                )


def _to_wire(delta: store_copy.Delta) -> messages.Delta:
    return messages.Delta(
        delta.kind,
        delta.after,
        delta.revision,
        delta.full,
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


def _accepts_deflate(request: http_messages.Request) -> bool:
    accepted = http_messages.find_header(request.headers, b"accept-encoding")
    return accepted is not None and b"deflate" in accepted


def _decoded_body(response: http_messages.Response) -> bytes:
    """Return a reply's body; a peer of an earlier version sends it plain."""
    coding = http_messages.find_header(response.headers, b"content-encoding")
    return response.body if coding is None else _inflate(response.body)


def _inflate(data: bytes) -> bytes:
    """Inflate a reply; raises :class:`errors.CodecError`."""
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(data, codec.MAX_ENVELOPE_BYTES)
    except zlib.error as error:
        raise errors.CodecError(f"bad state: {error}") from error
    if not inflater.eof:
        raise errors.CodecError("the state is cut short or too large")
    return body


def _decode_delta(body: bytes) -> store_copy.Delta:
    for message in codec.decode(body).messages:
        if isinstance(message, messages.Delta):
            return store_copy.Delta(
                message.kind,
                message.after,
                message.revision,
                message.full,
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
