"""Replicates the store's objects to all nodes.

A few nodes watch the store. Several times a second and after each change
they announce the revisions of their copies to some members, which relay
them to others. A member that is behind fetches the missing changes from
the node that sent the announcement. A node that receives no recent
announcement from a watcher that reaches the store watches it itself.
"""

import re
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
from godwitflow.tier import follower as followers
from godwitflow.tier import log as logs
from godwitflow.tier import metrics
from godwitflow.tier import pool
from godwitflow.tier import traffic as traffic_module
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
_NUMBER = re.compile("[0-9]{1,19}")


class Members(typing.Protocol):
    """What replication needs from the membership protocol."""

    def non_dead_members(self) -> list[messages.MemberUpdate]:
        """Return the members that are not known to be dead."""
        ...

    def send_to(
        self, nodes: typing.Iterable[ids.NodeId], message: messages.Message
    ) -> None:
        """Send a message to some members."""
        ...

    def domain_of(self, inner_address: str) -> ids.FailureDomain | None:
        """Return the failure domain of a member; None if it is unknown."""
        ...


class ChangeListener(typing.Protocol):
    """Receives the changes of one kind at a time."""

    def on_changes(
        self, kind: str, changes: list[objects.Change], after_outage: bool
    ) -> None:
        """Process changes of a kind.

        ``after_outage`` says that the store was unavailable before them.
        """
        ...


class Replication:
    """Keeps a copy of each kind up to date and serves copies to peers."""

    def __init__(
        self,
        reactor: typing.Any,
        store: objects.ObjectStore,
        kinds: typing.Sequence[str],
        node: ids.NodeId,
        members: Members,
        listener: ChangeListener,
        now_ms: typing.Callable[[], float],
        log: logs.Log,
        first_list_delay_ms: float,
        traffic: traffic_module.Traffic,
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.node = node
        self.members = members
        self.now_ms = now_ms
        self.log = log
        self.stopped = False
        self._listener = listener
        self._traffic = traffic
        self._pools: dict[str, pool.ConnectionPool] = {}
        self._deflated_deltas: dict[
            str, tuple[tuple[objects.Revision, objects.Revision], bytes]
        ] = {}
        self._announced_at_ms = 0.0
        self._rank = 0
        self._ranking: list[ids.NodeId] = []
        self._rank_expires_at_ms = 0.0
        # Called once for each era that the store begins.
        self.on_restored: typing.Callable[[], None] = lambda: None
        self._restored_era = 0
        first_list_at_ms = now_ms() + first_list_delay_ms
        self.followers = {
            kind: followers.Follower(self, kind, first_list_at_ms)
            for kind in kinds
        }

    def start(self) -> None:
        """Start the followers."""
        for follower in self.followers.values():
            defer.ensureDeferred(follower.run())

    def stop(self) -> None:
        """Stop the followers after their current calls."""
        self.stopped = True

    def own_rank(self) -> int:
        """Return this node's rank, from 0; the first few watch the store."""
        now_ms = self.now_ms()
        if now_ms >= self._rank_expires_at_ms:
            nodes = [member.node for member in self.members.non_dead_members()]
            ranking = store_watch.rank_nodes(self.node, nodes, "store")
            self._rank = ranking.index(self.node)
            self._ranking = ranking
            self._rank_expires_at_ms = now_ms + RANK_CACHE_MS
        return self._rank

    def non_dead_count(self) -> int:
        """Return the number of members that are not known to be dead."""
        return len(self.members.non_dead_members())

    # Announcements ------------------------------------------------------

    def revisions(self) -> messages.Revisions:
        """Return the revisions of this node's copies."""
        return messages.Revisions(
            tuple(
                follower.kind_revision()
                for follower in self.followers.values()
            )
        )

    def tick(self) -> None:
        """Announce the revisions if due, and if a copy is in sync."""
        now_ms = self.now_ms()
        if now_ms - self._announced_at_ms < ANNOUNCE_INTERVAL_MS:
            return
        if any(follower.in_sync for follower in self.followers.values()):
            self._announce()

    def _announce(self) -> None:
        rank = self.own_rank()
        self._announced_at_ms = self.now_ms()
        in_sync = any(follower.in_sync for follower in self.followers.values())
        targets = store_watch.announcement_targets(
            rank, self._ranking, in_sync
        )
        if targets:
            self.members.send_to(targets, self.revisions())

    def relay(self) -> None:
        """Relay a watcher's announcement unless one was sent just before."""
        if self.now_ms() - self._announced_at_ms >= RELAY_INTERVAL_MS:
            self._announce()

    def on_copy_changed(
        self,
        kind: str,
        changes: list[objects.Change],
        after_outage: bool,
    ) -> None:
        """Pass changes to the listener and announce the new revision.

        The copy has them already, so an error of the listener must not end
        what the follower does with them.
        """
        try:
            self._listener.on_changes(kind, changes, after_outage)
        except Exception as error:
            self.log.limited_event(
                "changes_failed", kind=kind, error=repr(error)
            )
        self._announce()

    def on_store_restored(self, era: int) -> None:
        """Process that the store was restored, once for all kinds."""
        if era > self._restored_era:
            self._restored_era = era
            self.on_restored()

    def lines(self) -> list[str]:
        """Return the metrics of the copies as lines of text."""
        lines = []
        for kind, follower in self.followers.items():
            revision = follower.copy.revision
            lines += [
                metrics.gauge_line("store_era", revision.era, kind=kind),
                metrics.gauge_line(
                    "store_revision", revision.number, kind=kind
                ),
            ]
        return lines

    # Fetches ------------------------------------------------------------

    def on_revisions(
        self, inner_address: str, message: messages.Revisions
    ) -> None:
        """Process a peer's announcement; fetch from it what is missing."""
        for announced in message.kinds:
            follower = self.followers.get(announced.kind)
            if follower is not None:
                follower.on_peer_revision(inner_address, announced)

    def serve_fetch(self, exchange: callers.Exchange) -> None:
        """Respond to a peer that fetches changes."""
        request = exchange.request
        after = _fetched_revision(request)
        kind = request.path.removeprefix(STATE_PATH).decode("latin-1")
        follower = self.followers.get(kind)
        if follower is None or after is None:
            exchange.respond(http_messages.text_response(404, "no such state"))
            return
        exchange.respond(
            self._fetch_response(
                kind, follower.copy, after, _accepts_deflate(request)
            )
        )

    def _fetch_response(
        self,
        kind: str,
        copy: store_copy.StoreCopy,
        after: objects.Revision,
        deflated: bool,
    ) -> http_messages.Response:
        """Return the changes after a revision, deflated if accepted.

        After a change many peers fetch the same delta, so the last
        deflated body of each kind is cached.
        """
        if not deflated:
            data = self._encode_delta(copy, after)
            return http_messages.Response(200, b"OK", [], data)
        key = (after, copy.revision)
        cached = self._deflated_deltas.get(kind)
        if cached is None or cached[0] != key:
            data = zlib.compress(
                self._encode_delta(copy, after), DEFLATE_LEVEL
            )
            cached = (key, data)
            self._deflated_deltas[kind] = cached
        return http_messages.Response(200, b"OK", DEFLATE_HEADERS, cached[1])

    def _encode_delta(
        self, copy: store_copy.StoreCopy, after: objects.Revision
    ) -> bytes:
        header = codec.Header(codec.VERSION, self.node, 0, "")
        return codec.encode(header, [_to_wire(copy.delta_after(after))])

    async def fetch(
        self, inner_address: str, kind: str, after: objects.Revision
    ) -> store_copy.Delta:
        """Fetch a peer's changes after a revision.

        Raises :class:`errors.StoreUnavailableError` if there is no reply
        with status 200, and :class:`errors.CodecError` if the reply cannot
        be decoded.
        """
        connection_pool = self._pools.get(inner_address)
        if connection_pool is None:
            connection_pool = pool.ConnectionPool(
                self.reactor,
                inner_address,
                FETCH_CONNECTIONS,
                b"request-id",
                self.now_ms,
                lambda: None,
                bytes_carried=self._traffic.count_for(
                    traffic_module.Purpose.FETCHED_COPIES,
                    self.members.domain_of(inner_address),
                ),
            )
            self._pools[inner_address] = connection_pool
        data = http_messages.serialize_request(
            b"GET",
            _fetch_target(kind, after),
            [
                (b"Host", inner_address.encode()),
                (b"Accept-Encoding", b"deflate"),
            ],
            None,
        )
        outcome = await pool.send_request(
            self.reactor, connection_pool, data, FETCH_TIMEOUT_MS
        )
        match outcome:
            case upstreams.Replied(response) if response.status == 200:
                return _decode_delta(_decoded_body(response))
            case _:
                raise errors.StoreUnavailableError(
                    f"cannot fetch changes of {kind} from {inner_address}"
                )


def _to_wire(delta: store_copy.Delta) -> messages.Delta:
    return messages.Delta(
        delta.kind,
        delta.after.number,
        delta.revision.number,
        delta.full,
        tuple(
            messages.ObjectChange(
                change.object.name,
                change.object.revision.number,
                change.removed,
                change.object.spec,
            )
            for change in delta.changes
        ),
        delta.revision.era,
    )


def _from_wire(message: messages.Delta) -> store_copy.Delta:
    era = message.era
    return store_copy.Delta(
        message.kind,
        objects.Revision(era, message.after),
        objects.Revision(era, message.revision),
        message.full,
        tuple(
            objects.Change(
                objects.Object(
                    change.name,
                    objects.Revision(era, change.revision),
                    change.spec,
                ),
                change.removed,
            )
            for change in message.changes
        ),
    )


def _fetch_target(kind: str, after: objects.Revision) -> bytes:
    query = b"?after=%d&era=%d" % (after.number, after.era)
    return STATE_PATH + kind.encode() + query


def _fetched_revision(
    request: http_messages.Request,
) -> objects.Revision | None:
    """Return the revision after which a peer fetches; None if unreadable.

    Peers of an earlier version state no era.
    """
    text = request.target.partition(b"?")[2].decode("latin-1")
    query = dict(urllib.parse.parse_qsl(text))
    number = query.get("after", "")
    era = query.get("era", "0")
    if not _NUMBER.fullmatch(number) or not _NUMBER.fullmatch(era):
        return None
    return objects.Revision(int(era), int(number))


def _accepts_deflate(request: http_messages.Request) -> bool:
    accepted = http_messages.find_header(request.headers, b"accept-encoding")
    return accepted is not None and b"deflate" in accepted


def _decoded_body(response: http_messages.Response) -> bytes:
    """Return a reply's body, inflated if it has a content coding.

    Peers of an earlier version send it without one.
    """
    coding = http_messages.find_header(response.headers, b"content-encoding")
    return response.body if coding is None else _inflate(response.body)


def _inflate(data: bytes) -> bytes:
    """Inflate a reply's body.

    Raises :class:`errors.CodecError` if it is invalid, truncated or larger
    than ``codec.MAX_ENVELOPE_BYTES``.
    """
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(data, codec.MAX_ENVELOPE_BYTES)
    except zlib.error as error:
        raise errors.CodecError(
            f"cannot inflate the reply: {error}"
        ) from error
    if not inflater.eof:
        raise errors.CodecError("the reply is truncated or too large")
    return body


def _decode_delta(body: bytes) -> store_copy.Delta:
    for message in codec.decode(body).messages:
        if isinstance(message, messages.Delta):
            return _from_wire(message)
    raise errors.CodecError("the reply contains no delta")
