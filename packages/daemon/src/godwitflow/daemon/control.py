"""The control task: members, configuration, indexes, owners."""

import random
import typing

from twisted.internet import defer

from godwitflow.daemon import clock
from godwitflow.daemon import logs
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import address_choice
from godwitflow.policy import budget
from godwitflow.policy import catalog
from godwitflow.policy import membership
from godwitflow.policy import ownership
from godwitflow.policy import watch_assignment
from godwitflow.settings import config
from godwitflow.settings import stored_config
from godwitflow.store import versioned_store as store_module
from godwitflow.store import vms
from godwitflow.tier import metrics as metrics_module
from godwitflow.wire import messages

WATCH_WAIT_MS = 20_000.0
WATCH_RETRY_MS = 500.0
ROSTER_PERIOD_MS = 5_000.0
POLL_PERIOD_MS = 30_000.0
STORE_CALLS_PER_S = 5.0
MIN_STORE_CALLS_PER_S = 0.05
STORE_BURST = 40.0
SMALL_FLEET = 9.0
DOUBT_LIMIT_MS = 5_000.0
MAX_PUSH_OBJECTS = 50

Send = typing.Callable[[ids.NodeId, messages.Message], None]

_log = logs.logger("control")


class Control:
    """Keeps the member table and the catalog up to date."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: clock.NowMs,
        store: store_module.VersionedStore,
        table: membership.Membership,
        held: catalog.Catalog,
        post: typing.Callable[[str, messages.Message], None],
        metrics: metrics_module.Metrics,
        seeds: tuple[str, ...],
        seed: int,
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.store = store
        self.table = table
        self.catalog = held
        self.post = post
        self.metrics = metrics
        self.seeds = seeds
        self.random = random.Random(seed)
        self.owners = ownership.HashRing()
        self.calls = budget.RateLimiter(STORE_CALLS_PER_S, STORE_BURST)
        self.on_catalog: typing.Callable[[str], None]
        self.on_member_lost: typing.Callable[[ids.NodeId], None]
        self.stopping = False
        self.store_failures = 0
        self._doubt_since_ms: float | None = None
        self._watching: set[str] = set()
        self._assigned: tuple[str, ...] = ()
        self._fetching: set[str] = set()
        self._gone: set[ids.NodeId] = set()
        self._next_roster_ms = 0.0
        self._next_poll_ms = 0.0

    @property
    def node(self) -> ids.NodeId:
        """This node's id."""
        return self.table.me.node

    def route(self, key: str) -> list[ids.NodeId]:
        """Return the owner of a key, then who takes over from it."""
        if not self.owners.members:
            return [self.node]
        return self.owners.candidates(key)

    def settings(self) -> config.Config | None:
        """Return the configuration in force."""
        return self.catalog.config

    # Time -------------------------------------------------------------

    def tick(self) -> None:
        """Run what is due; called every few tens of milliseconds."""
        now_ms = self.now_ms()
        self.table.digests = (self.catalog.summary(),)
        for action in self.table.tick(now_ms):
            self.post(action.inner, action.message)
        if self.table.changed:
            self._follow_members()
        if now_ms >= self._next_roster_ms:
            self._next_roster_ms = now_ms + ROSTER_PERIOD_MS * self._spread()
            defer.ensureDeferred(self._read_roster())
            self._greet_seeds()
        if now_ms >= self._next_poll_ms:
            self._schedule_poll(now_ms)
        self._watch_own()
        self._fetch_files()

    def _follow_members(self) -> None:
        self.table.changed = False
        members = tuple(
            ownership.Candidate(update.node, update.failure_domain)
            for update in self.table.live_members()
            if update.joined or update.node == self.node
        )
        if self.owners.set_members(members):
            self.metrics.count("owner_changes")
        self.follow_watches()
        share = min(1.0, SMALL_FLEET / (len(self.table.members) + 1))
        self.calls.rate_per_s = max(
            MIN_STORE_CALLS_PER_S, STORE_CALLS_PER_S * share
        )
        for node, member in self.table.members.items():
            dead = member.update.state is messages.MemberState.DEAD
            if dead and node not in self._gone:
                self._gone.add(node)
                self.on_member_lost(node)
            elif not dead:
                self._gone.discard(node)

    def follow_watches(self) -> None:
        """Work out anew which objects this node watches."""
        members = [
            ownership.Candidate(update.node, update.failure_domain)
            for update in self.table.live_members()
        ]
        self._assigned = watch_assignment.names_to_watch(
            self.node, members, self.catalog.watched_names()
        )

    def doubt(self) -> None:
        """Trust what is held no more, as after a pause, until confirmed.

        A peer that holds the same, or the store's head, confirms it.
        """
        self._doubt_since_ms = self.now_ms()
        self._next_poll_ms = 0.0

    @property
    def trusted(self) -> bool:
        """Whether what is held may be served.

        With neither peers nor store for ``DOUBT_LIMIT_MS`` the last good
        state is served, as in any outage.
        """
        if self._doubt_since_ms is None:
            return True
        return self.now_ms() - self._doubt_since_ms >= DOUBT_LIMIT_MS

    def follow_keys(self) -> None:
        """Bound the owners' load over the replica sets now known."""
        keys = [
            f"{index.service}/{set_id}"
            for index in self.catalog.indexes.values()
            for set_id in index.replica_sets
        ]
        self.owners.set_keys(tuple(sorted(keys)))

    def _schedule_poll(self, now_ms: float) -> None:
        """Poll the head now and then, in case each watcher fails.

        The wait grows with the fleet, so the fleet's rate does not.
        """
        wait_ms = POLL_PERIOD_MS * self._spread()
        self._next_poll_ms = now_ms + wait_ms
        if self.calls.try_acquire(now_ms):
            defer.ensureDeferred(self._fetch(stored_config.HEAD_NAME))

    def _spread(self) -> float:
        """Return by how much to stretch a period, with some jitter.

        It grows with the fleet, so that the fleet's calls to the store
        do not.
        """
        members = len(self.table.members) + 1
        stretch = max(1.0, members / SMALL_FLEET)
        return stretch * self.random.uniform(0.5, 1.5)

    # Members ----------------------------------------------------------

    async def _read_roster(self) -> None:
        if not self.calls.try_acquire(self.now_ms()):
            return
        try:
            stored = await self.store.get(vms.LIST_NAME)
            listed = vms.decode(stored.value)
        except errors.GodwitflowError:
            self.store_failures += 1
            return
        rows = [_from_roster(vm) for vm in listed]
        self.table.add_listed_members(self.now_ms(), rows)

    def _greet_seeds(self) -> None:
        """Ask for the member table where too few members are known."""
        live = [
            member.update.inner_address
            for member in self.table.members.values()
            if member.update.state is messages.MemberState.ALIVE
        ]
        if live and self.table.me.joined:
            return
        targets = list(self.seeds) + live
        self.random.shuffle(targets)
        for inner in targets[:3]:
            self.post(inner, messages.MembersPull())

    def on_members_pull(self, inner: str) -> None:
        """Send the member table to a new member."""
        self.post(inner, messages.MembersPush(self.table.all_members()))

    def on_members_push(self, push: messages.MembersPush) -> None:
        """Take a peer's member table."""
        self.table.merge(self.now_ms(), push.updates)

    # Digests ----------------------------------------------------------

    def on_digests(
        self, inner: str, digests: tuple[messages.Digest, ...]
    ) -> None:
        """Compare a peer's digests with what is held here."""
        behind = self.catalog.outdated_names(digests)
        if behind:
            self.post(inner, messages.Pull(behind))
            return
        if self.catalog.summary_differs(digests):
            names = self.catalog.digests()
            self.post(inner, messages.ProbeAck(0, (), names))
        elif self.catalog.summary() in digests:
            self._doubt_since_ms = None

    def on_pull(self, inner: str, pull: messages.Pull) -> None:
        """Send objects that a peer asked for, with the head's files."""
        names = list(pull.names)[:MAX_PUSH_OBJECTS]
        for name in names:
            held = self.catalog.objects.get(name)
            if held is not None:
                push = messages.Push(name, held.version, held.value)
                self.post(inner, push)

    def on_push(self, inner: str, push: messages.Push) -> None:
        """Take an object from a peer; ask it for files still missing."""
        self._offer(push.name, push.version, push.value)
        missing = self.catalog.missing_files()
        if push.name == stored_config.HEAD_NAME and missing:
            self.post(inner, messages.Pull(missing))

    def _offer(self, name: str, version: int, value: bytes) -> None:
        refused = self.catalog.refused_count
        generation = self.catalog.head and self.catalog.head.generation
        if self.catalog.apply_object(name, version, value):
            self.on_catalog(name)
        if self.catalog.refused_count > refused:
            _log.warn("an object was refused", name=name, version=version)
        head = self.catalog.head
        if head is not None and head.generation != generation:
            _log.info("configuration in force", generation=head.generation)

    # Store ------------------------------------------------------------

    def _watch_own(self) -> None:
        """Start the watches that fall to this node."""
        if self.stopping:
            return
        for name in self._assigned:
            if name not in self._watching:
                self._watching.add(name)
                defer.ensureDeferred(self._watch(name))

    async def _watch(self, name: str) -> None:
        """Watch one object for as long as that falls to this node."""
        failed = False
        if not self.calls.try_acquire(self.now_ms()):
            await self._pause(WATCH_RETRY_MS)
            self._watching.discard(name)
            return
        held = self.catalog.objects.get(name)
        after = held.version if held else 0
        try:
            stored = await self.store.watch(name, after, WATCH_WAIT_MS)
            self._offer(name, stored.version, stored.value)
        except errors.ObjectNotFoundError:
            failed = True
        except errors.StoreError:
            failed = True
            self.store_failures += 1
        if failed and not self.stopping:
            spread = self.random.uniform(0.5, 1.5)
            await self._pause(WATCH_RETRY_MS * spread)
        self._watching.discard(name)

    async def _pause(self, wait_ms: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        self.reactor.callLater(
            wait_ms / clock.MS_PER_S, waiting.callback, None
        )
        await waiting

    def _fetch_files(self) -> None:
        for name in self.catalog.missing_files():
            if name in self._fetching:
                continue
            if not self.calls.try_acquire(self.now_ms()):
                return
            self._fetching.add(name)
            defer.ensureDeferred(self._fetch(name))

    async def _fetch(self, name: str) -> None:
        try:
            stored = await self.store.get(name)
            self._offer(name, stored.version, stored.value)
            if name == stored_config.HEAD_NAME:
                self._doubt_since_ms = None
        except errors.ObjectNotFoundError:
            pass
        except errors.StoreError:
            self.store_failures += 1
        finally:
            self._fetching.discard(name)

    # Addresses --------------------------------------------------------

    @property
    def address_settings(self) -> config.Addresses:
        """How many addresses a caller is told, and for how long."""
        held = self.catalog.config
        return held.addresses if held else config.Addresses()

    def addresses(self, near: ids.FailureDomain | None) -> list[str]:
        """Choose the addresses that a caller is told to use."""
        domain = near or self.table.me.failure_domain
        draw = f"{self.random.random()}"
        return address_choice.choose(
            self.table.live_members(),
            domain,
            draw,
            same_domain_count=self.address_settings.count,
            other_domain_count=0,
        )


def _from_roster(vm: vms.Vm) -> messages.MemberUpdate:
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
