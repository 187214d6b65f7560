"""The control task: members, configuration, indexes and owners.

Configuration and indexes are read from the store by a few watching nodes
and spread between the nodes by digests.
"""

import random
import typing

from twisted.internet import defer

from godwitflow.daemon import clock
from godwitflow.daemon import logs
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import address_choice
from godwitflow.policy import budget
from godwitflow.policy import catalog as catalog_module
from godwitflow.policy import membership
from godwitflow.policy import ownership
from godwitflow.policy import watch_assignment
from godwitflow.settings import config
from godwitflow.settings import stored_config
from godwitflow.store import versioned_store
from godwitflow.store import vms
from godwitflow.tier import metrics as metrics_module
from godwitflow.wire import messages

WATCH_WAIT_MS = 20_000.0
WATCH_RETRY_MS = 500.0
VM_LIST_PERIOD_MS = 5_000.0
POLL_PERIOD_MS = 30_000.0
STORE_CALLS_PER_S = 5.0
MIN_STORE_CALLS_PER_S = 0.05
STORE_BURST = 40.0
# Above this number of nodes each node calls the store less often, so that
# the total rate of calls does not grow, down to MIN_STORE_CALLS_PER_S.
FULL_RATE_NODES = 9.0
CONFIRM_TIMEOUT_MS = 5_000.0
MAX_PUSH_OBJECTS = 50

Send = typing.Callable[[ids.NodeId, messages.Message], None]

_log = logs.logger("control")


class Control:
    """Keeps the member table, the catalog and the owners up to date."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: clock.NowMs,
        store: versioned_store.VersionedStore,
        table: membership.Membership,
        catalog: catalog_module.Catalog,
        send_to_address: typing.Callable[[str, messages.Message], None],
        metrics: metrics_module.Metrics,
        seeds: tuple[str, ...],
        seed: int,
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.store = store
        self.table = table
        self.catalog = catalog
        self.send_to_address = send_to_address
        self.metrics = metrics
        self.seeds = seeds
        self.random = random.Random(seed)
        self.owners = ownership.HashRing()
        self.store_limiter = budget.RateLimiter(STORE_CALLS_PER_S, STORE_BURST)
        self.on_catalog_change: typing.Callable[[str], None]
        self.on_member_lost: typing.Callable[[ids.NodeId], None]
        self.stopping = False
        self.store_failures = 0
        self._unconfirmed_since_ms: float | None = None
        self._active_watches: set[str] = set()
        self._assigned_watches: tuple[str, ...] = ()
        self._fetching: set[str] = set()
        self._lost_members: set[ids.NodeId] = set()
        self._next_vm_list_ms = 0.0
        self._next_poll_ms = 0.0

    @property
    def node(self) -> ids.NodeId:
        """This node's id."""
        return self.table.me.node

    def route(self, key: str) -> list[ids.NodeId]:
        """Return the owner of a key, followed by its successors."""
        if not self.owners.members:
            return [self.node]
        return self.owners.candidates(key)

    def settings(self) -> config.Config | None:
        """Return the current configuration, if one is known."""
        return self.catalog.config

    # Periodic work ----------------------------------------------------

    def tick(self) -> None:
        """Run the work that is due; called every few tens of milliseconds."""
        now_ms = self.now_ms()
        self.table.digests = (self.catalog.summary(),)
        for action in self.table.tick(now_ms):
            self.send_to_address(action.inner_address, action.message)
        if self.table.changed:
            self._on_members_changed()
        if now_ms >= self._next_vm_list_ms:
            self._next_vm_list_ms = (
                now_ms + VM_LIST_PERIOD_MS * self._period_factor()
            )
            defer.ensureDeferred(self._read_vm_list())
            self._request_members()
        if now_ms >= self._next_poll_ms:
            self._schedule_poll(now_ms)
        self._start_watches()
        self._fetch_files()

    def _on_members_changed(self) -> None:
        self.table.changed = False
        members = tuple(
            ownership.Candidate(update.node, update.failure_domain)
            for update in self.table.live_members()
            if update.joined or update.node == self.node
        )
        if self.owners.set_members(members):
            self.metrics.count("owner_changes")
        self.update_watches()
        share = min(1.0, FULL_RATE_NODES / (len(self.table.members) + 1))
        self.store_limiter.rate_per_s = max(
            MIN_STORE_CALLS_PER_S, STORE_CALLS_PER_S * share
        )
        for node, member in self.table.members.items():
            dead = member.update.state is messages.MemberState.DEAD
            if dead and node not in self._lost_members:
                self._lost_members.add(node)
                self.on_member_lost(node)
            elif not dead:
                self._lost_members.discard(node)

    def update_watches(self) -> None:
        """Recompute which objects this node watches."""
        members = [
            ownership.Candidate(update.node, update.failure_domain)
            for update in self.table.live_members()
        ]
        self._assigned_watches = watch_assignment.names_to_watch(
            self.node, members, self.catalog.watched_names()
        )

    def mark_unconfirmed(self) -> None:
        """Treat the catalog as possibly outdated, as after a pause.

        It is confirmed by a peer with the same summary digest or by a
        read of the store's head.
        """
        self._unconfirmed_since_ms = self.now_ms()
        self._next_poll_ms = 0.0

    @property
    def state_usable(self) -> bool:
        """Whether requests may be served from the catalog.

        If neither a peer nor the store confirms the catalog within
        ``CONFIRM_TIMEOUT_MS``, it is served as the last good state, as
        in any outage.
        """
        if self._unconfirmed_since_ms is None:
            return True
        return self.now_ms() - self._unconfirmed_since_ms >= CONFIRM_TIMEOUT_MS

    def update_owner_keys(self) -> None:
        """Give the hash ring the known replica sets as keys.

        The ring bounds each owner's share of these keys.
        """
        keys = [
            f"{index.service}/{set_id}"
            for index in self.catalog.indexes.values()
            for set_id in index.replica_sets
        ]
        self.owners.set_keys(tuple(sorted(keys)))

    def _schedule_poll(self, now_ms: float) -> None:
        """Schedule the next poll of the head, and poll it if the rate allows.

        Polls find a change of the head if all watches fail. The period
        grows with the number of nodes, so the total rate does not.
        """
        wait_ms = POLL_PERIOD_MS * self._period_factor()
        self._next_poll_ms = now_ms + wait_ms
        if self.store_limiter.try_acquire(now_ms):
            defer.ensureDeferred(self._fetch(stored_config.HEAD_NAME))

    def _period_factor(self) -> float:
        """Return the factor to multiply a period by, with jitter.

        It grows with the number of nodes, so that the total rate of
        calls to the store does not.
        """
        members = len(self.table.members) + 1
        factor = max(1.0, members / FULL_RATE_NODES)
        return factor * self.random.uniform(0.5, 1.5)

    # Members ----------------------------------------------------------

    async def _read_vm_list(self) -> None:
        if not self.store_limiter.try_acquire(self.now_ms()):
            return
        try:
            stored = await self.store.get(vms.LIST_NAME)
            vm_list = vms.decode(stored.value)
        except errors.GodwitflowError:
            self.store_failures += 1
            return
        members = [_member_from_vm(vm) for vm in vm_list]
        self.table.add_listed_members(self.now_ms(), members)

    def _request_members(self) -> None:
        """Request the member tables of up to three nodes.

        A node that has joined and knows a live member requests none.
        """
        live = [
            member.update.inner_address
            for member in self.table.members.values()
            if member.update.state is messages.MemberState.ALIVE
        ]
        if live and self.table.me.joined:
            return
        targets = list(self.seeds) + live
        self.random.shuffle(targets)
        for address in targets[:3]:
            self.send_to_address(address, messages.MembersPull())

    def on_members_pull(self, inner_address: str) -> None:
        """Send the member table to a node that requested it."""
        self.send_to_address(
            inner_address, messages.MembersPush(self.table.all_members())
        )

    def on_members_push(self, push: messages.MembersPush) -> None:
        """Merge a peer's member table into this node's."""
        self.table.merge(self.now_ms(), push.updates)

    # Digests ----------------------------------------------------------

    def on_digests(
        self, inner_address: str, digests: tuple[messages.Digest, ...]
    ) -> None:
        """Compare a peer's digests with the catalog.

        Requests objects that are outdated here. If only the summaries
        differ, sends the version of each object except the files.
        """
        outdated = self.catalog.outdated_names(digests)
        if outdated:
            self.send_to_address(inner_address, messages.Pull(outdated))
            return
        if self.catalog.summary_differs(digests):
            object_digests = self.catalog.digests()
            self.send_to_address(
                inner_address, messages.ProbeAck(0, (), object_digests)
            )
        elif self.catalog.summary() in digests:
            self._unconfirmed_since_ms = None

    def on_pull(self, inner_address: str, pull: messages.Pull) -> None:
        """Send a peer the first ``MAX_PUSH_OBJECTS`` objects it requested.

        Objects that are not in the catalog are left out.
        """
        names = list(pull.names)[:MAX_PUSH_OBJECTS]
        for name in names:
            stored = self.catalog.objects.get(name)
            if stored is not None:
                push = messages.Push(name, stored.version, stored.value)
                self.send_to_address(inner_address, push)

    def on_push(self, inner_address: str, push: messages.Push) -> None:
        """Apply an object sent by a peer.

        After a new head, requests the missing files from that peer.
        """
        self._apply_object(push.name, push.version, push.value)
        missing = self.catalog.missing_files()
        if push.name == stored_config.HEAD_NAME and missing:
            self.send_to_address(inner_address, messages.Pull(missing))

    def _apply_object(self, name: str, version: int, value: bytes) -> None:
        refused_before = self.catalog.refused_count
        old_generation = self.catalog.head and self.catalog.head.generation
        if self.catalog.apply_object(name, version, value):
            self.on_catalog_change(name)
        if self.catalog.refused_count > refused_before:
            _log.warn("an object was refused", name=name, version=version)
        head = self.catalog.head
        if head is not None and head.generation != old_generation:
            _log.info("configuration in force", generation=head.generation)

    # Store ------------------------------------------------------------

    def _start_watches(self) -> None:
        """Start the watches that are assigned to this node."""
        if self.stopping:
            return
        for name in self._assigned_watches:
            if name not in self._active_watches:
                self._active_watches.add(name)
                defer.ensureDeferred(self._watch(name))

    async def _watch(self, name: str) -> None:
        """Watch an object until it changes or the wait times out.

        ``tick`` starts the watch again while it is assigned to this node.
        """
        failed = False
        if not self.store_limiter.try_acquire(self.now_ms()):
            await self._sleep(WATCH_RETRY_MS)
            self._active_watches.discard(name)
            return
        current = self.catalog.objects.get(name)
        after = current.version if current else 0
        try:
            stored = await self.store.watch(name, after, WATCH_WAIT_MS)
            self._apply_object(name, stored.version, stored.value)
        except errors.ObjectNotFoundError:
            failed = True
        except errors.StoreError:
            failed = True
            self.store_failures += 1
        if failed and not self.stopping:
            jitter = self.random.uniform(0.5, 1.5)
            await self._sleep(WATCH_RETRY_MS * jitter)
        self._active_watches.discard(name)

    async def _sleep(self, wait_ms: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        self.reactor.callLater(
            wait_ms / clock.MS_PER_S, waiting.callback, None
        )
        await waiting

    def _fetch_files(self) -> None:
        for name in self.catalog.missing_files():
            if name in self._fetching:
                continue
            if not self.store_limiter.try_acquire(self.now_ms()):
                return
            self._fetching.add(name)
            defer.ensureDeferred(self._fetch(name))

    async def _fetch(self, name: str) -> None:
        try:
            stored = await self.store.get(name)
            self._apply_object(name, stored.version, stored.value)
            if name == stored_config.HEAD_NAME:
                self._unconfirmed_since_ms = None
        except errors.ObjectNotFoundError:
            pass
        except errors.StoreError:
            self.store_failures += 1
        finally:
            self._fetching.discard(name)

    # Addresses --------------------------------------------------------

    @property
    def address_settings(self) -> config.Addresses:
        """The number of addresses in an address reply and its maximum age."""
        current = self.catalog.config
        return current.addresses if current else config.Addresses()

    def addresses(
        self, caller_failure_domain: ids.FailureDomain | None
    ) -> list[str]:
        """Choose the addresses for a caller.

        Without the caller's failure domain, this node's is used.
        """
        domain = caller_failure_domain or self.table.me.failure_domain
        caller_token = f"{self.random.random()}"
        return address_choice.choose(
            self.table.live_members(),
            domain,
            caller_token,
            same_domain_count=self.address_settings.count,
            other_domain_count=0,
        )


def _member_from_vm(vm: vms.Vm) -> messages.MemberUpdate:
    return messages.MemberUpdate(
        vm.vm,
        vm.failure_domain,
        vm.inner,
        "",
        "",
        0,
        messages.MemberState.LEAVING
        if vm.leaving
        else messages.MemberState.ALIVE,
    )
