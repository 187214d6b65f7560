"""Registers a node's address in the store, for those that start later."""

import typing

from twisted.internet import task

from godwitflow.model import errors
from godwitflow.store import objects
from godwitflow.tier import log as logs
from godwitflow.tier import peer_protocol as peering
from godwitflow.tier import settings as node_settings

MEMBER_KIND = "members"
RETRY_INTERVAL_S = 2.0
SEED_REPLY_WAIT_S = 0.4
VERIFY_DELAY_S = 10.0


class SelfRegistration:
    """Registers one node among the members that the store lists."""

    def __init__(
        self,
        reactor: typing.Any,
        settings: node_settings.NodeSettings,
        store: objects.ObjectStore,
        peers: peering.PeerProtocol,
        log: logs.Log,
        stopping: typing.Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._store = store
        self._peers = peers
        self._log = log
        self._stopping = stopping

    async def run(self) -> None:
        """Register this node's address in the store for later starts.

        At the first start of all there is nothing to read. Otherwise the
        list, which may be stale, is read only once the seeds had time to
        answer, or later to see that this node is in it.
        """
        first = self._settings.first_start
        if not first:
            await task.deferLater(self._reactor, SEED_REPLY_WAIT_S)
            if len(self._peers.non_dead_members()) > 1:
                await task.deferLater(self._reactor, VERIFY_DELAY_S)
        while not self._stopping():
            try:
                await self._register(known_absent=first)
                return
            except errors.StoreConflictError:
                return
            except errors.StoreError as error:
                self._log.event("join_delayed", error=str(error))
                await task.deferLater(self._reactor, RETRY_INTERVAL_S)

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
        known = {found.name: found for found in listing.objects}
        mine = known.get(settings.node)
        if mine is None:
            await self._store.create(MEMBER_KIND, settings.node, spec)
        elif mine.spec != spec:
            await self._store.replace(MEMBER_KIND, settings.node, spec)

    def _contact_members(self, listing: objects.Listing) -> None:
        inner = [
            found.spec["inner"]
            for found in listing.objects
            if found.spec is not None
            and found.name != self._settings.node
            and isinstance(found.spec.get("inner"), str)
        ]
        self._peers.contact(inner)
