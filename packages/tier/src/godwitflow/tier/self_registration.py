"""Registers a node in the store, so that later nodes can contact it."""

import random
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.model import addresses
from godwitflow.model import errors
from godwitflow.store import objects
from godwitflow.tier import log as logs
from godwitflow.tier import peer_protocol
from godwitflow.tier import settings as node_settings

MEMBER_KIND = "members"
RETRY_INTERVAL_S = 2.0
SEED_REPLY_WAIT_S = 0.4
VERIFY_DELAY_S = 10.0


class SelfRegistration:
    """Registers this node among the members that are listed in the store."""

    def __init__(
        self,
        reactor: typing.Any,
        settings: node_settings.NodeSettings,
        store: objects.ObjectStore,
        peers: peer_protocol.PeerProtocol,
        log: logs.Log,
        stopping: typing.Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._store = store
        self._peers = peers
        self._log = log
        self._stopping = stopping
        self._registering = False

    async def run(self) -> None:
        """Create or update this node's entry, retrying if the store fails.

        At the first start of the whole system there is no list to read.
        Otherwise the list, which may be stale, is read only after the
        seeds had time to reply. If they replied, it is read later, only
        to verify that this node is listed.
        """
        first = self._settings.first_start
        if not first:
            await task.deferLater(self._reactor, SEED_REPLY_WAIT_S)
            if len(self._peers.non_dead_members()) > 1:
                await task.deferLater(self._reactor, VERIFY_DELAY_S)
        await self._register_until_done(first)

    def on_store_restored(self) -> None:
        """Register again if a restored store has lost this node's entry."""
        wait_s = VERIFY_DELAY_S * (1.0 + random.random())
        self._reactor.callLater(wait_s, self._verify)

    def _verify(self) -> None:
        defer.ensureDeferred(self._register_until_done(known_absent=False))

    async def _register_until_done(self, known_absent: bool) -> None:
        """Register, unless that is being tried already."""
        if self._registering:
            return
        self._registering = True
        try:
            while not self._stopping():
                if await self._try_register(known_absent):
                    return
                await task.deferLater(self._reactor, RETRY_INTERVAL_S)
        finally:
            self._registering = False

    async def _try_register(self, known_absent: bool) -> bool:
        """Return whether this node is registered."""
        try:
            await self._register(known_absent)
        except errors.StoreConflictError:
            return True
        except errors.StoreError as error:
            self._log.event("join_delayed", error=str(error))
            return False
        return True

    async def _register(self, known_absent: bool) -> None:
        settings = self._settings
        spec = {
            "inner": settings.inner,
            "caller": settings.caller_address,
            "failure_domain": settings.failure_domain,
        }
        if known_absent:
            await self._store.create(MEMBER_KIND, settings.node, spec)
            return
        listing = await self._store.list(MEMBER_KIND, allow_stale=True)
        self._contact_members(listing)
        listed = {entry.name: entry for entry in listing.objects}
        own_entry = listed.get(settings.node)
        if own_entry is None:
            await self._store.create(MEMBER_KIND, settings.node, spec)
        elif own_entry.spec != spec:
            await self._store.replace(MEMBER_KIND, settings.node, spec)

    def _contact_members(self, listing: objects.Listing) -> None:
        inner_addresses = [
            inner_address
            for entry in listing.objects
            if entry.name != self._settings.node
            and (inner_address := _inner_address(entry)) is not None
        ]
        self._peers.contact_unknown(inner_addresses)


def _inner_address(entry: objects.Object) -> str | None:
    """Return the address in a member's entry; None if there is none."""
    inner_address = None if entry.spec is None else entry.spec.get("inner")
    if isinstance(inner_address, str) and addresses.is_valid(inner_address):
        return inner_address
    return None
