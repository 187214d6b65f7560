"""This node's copy of the configuration and of the registrations.

Each kind is listed once and then watched. Where the store's history is
gone the kind is listed again. Nothing older than what is held is taken.
While the store cannot be reached, what is held stays in force.
"""

import random
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import registrations
from godwitflow.policy import routing
from godwitflow.store import objects
from godwitflow.tier import log as logs

WATCH_WAIT_MS = 20_000.0
SETTLE_MS = 120.0  # lets a burst of changes come as one watch
BACKOFF_MIN_MS = 150.0
BACKOFF_MAX_MS = 800.0
LAPSE_AFTER_MS = 2_500.0
MS_PER_S = 1_000.0


class Formats(typing.Protocol):
    """How the store's objects spell what this node reads."""

    configuration_kind: str
    configuration_name: str
    registration_kind: str

    def configuration(self, found: objects.Object) -> routing.Configuration:
        """Decode the configuration; raises SettingsError."""
        ...

    def registration(
        self, found: objects.Object
    ) -> registrations.Registration | None:
        """Decode a registration; None where it names no upstream."""
        ...


class Mirror:
    """Keeps both copies, and says when they change."""

    def __init__(
        self,
        reactor: typing.Any,
        store: objects.ObjectStore,
        formats: Formats,
        now_ms: typing.Callable[[], float],
        log: logs.Log,
        on_configuration: typing.Callable[[routing.Configuration], None],
        on_registrations: typing.Callable[
            [list[registrations.Registration]], None
        ],
    ) -> None:
        self.configuration: routing.Configuration | None = None
        self.registry = registrations.Registry()
        self._reactor = reactor
        self._store = store
        self._formats = formats
        self._now_ms = now_ms
        self._log = log
        self._on_configuration = on_configuration
        self._on_registrations = on_registrations
        self._stopped = False

    def start(self) -> None:
        """Start both tasks."""
        for kind, take_list, take_change in (
            (
                self._formats.configuration_kind,
                self._take_configurations,
                self._take_configuration_change,
            ),
            (
                self._formats.registration_kind,
                self._take_registrations,
                self._take_registration_change,
            ),
        ):
            follower = _Follower(self, kind, take_list, take_change)
            defer.ensureDeferred(follower.run())

    def stop(self) -> None:
        """Stop following; calls under way end by themselves."""
        self._stopped = True

    # Configuration ------------------------------------------------------

    def _take_configurations(
        self, listing: objects.Listing, lapsed: bool
    ) -> None:
        for found in listing.objects:
            self.take_configuration(found)

    def _take_configuration_change(self, change: objects.Change) -> None:
        if not change.removed:
            self.take_configuration(change.object)

    def take_configuration(self, found: objects.Object) -> None:
        """Put a configuration in force if it is newer than the present."""
        if found.name != self._formats.configuration_name:
            return
        held = self.configuration
        if held is not None and held.revision >= found.revision:
            return
        try:
            configuration = self._formats.configuration(found)
        except errors.SettingsError as error:
            self._log.event(
                "configuration_refused",
                revision=found.revision,
                problems=str(error),
            )
            return
        self.configuration = configuration
        self._log.event(
            "configuration_in_force",
            revision=configuration.revision,
            version=configuration.version,
            routes=len(configuration.routes),
        )
        self._on_configuration(configuration)

    # Registrations ------------------------------------------------------

    def _entry(self, found: objects.Object) -> registrations.Entry:
        return registrations.Entry(
            ids.UpstreamId(found.name),
            found.revision,
            self._formats.registration(found),
        )

    def _take_registrations(
        self, listing: objects.Listing, lapsed: bool
    ) -> None:
        self.registry.replace_all(
            (self._entry(found) for found in listing.objects),
            listing.revision,
            self._now_ms(),
            lapsed,
        )
        self._announce()
        if lapsed:
            wait_s = registrations.LAPSE_GRACE_MS / MS_PER_S + 0.05
            self._reactor.callLater(wait_s, self._expire)

    def _take_registration_change(self, change: objects.Change) -> None:
        if change.removed:
            name = ids.UpstreamId(change.object.name)
            self.registry.remove(name, change.object.revision)
        else:
            self.registry.put(self._entry(change.object))
        self._announce()

    def _expire(self) -> None:
        if self.registry.expire(self._now_ms()):
            self._announce()

    def _announce(self) -> None:
        self._on_registrations(self.registry.ready())


class _Follower:
    """Lists and watches one kind for ever."""

    def __init__(
        self,
        mirror: Mirror,
        kind: str,
        take_list: typing.Callable[[objects.Listing, bool], None],
        take_change: typing.Callable[[objects.Change], None],
    ) -> None:
        self._mirror = mirror
        self._kind = kind
        self._take_list = take_list
        self._take_change = take_change
        self._revision: int | None = None
        self._heard_at_ms: float | None = None
        self._backoff_ms = BACKOFF_MIN_MS
        self._lost = False

    async def run(self) -> None:
        """List, watch, and start again where history is gone."""
        mirror = self._mirror
        while not mirror._stopped:
            try:
                if self._revision is None:
                    await self._list()
                else:
                    await self._watch(self._revision)
                self._note_heard()
            except errors.StoreHistoryGoneError:
                self._revision = None
            except errors.StoreError as error:
                self._note_lost(error)
                wait_ms = self._backoff_ms * (0.5 + random.random())
                self._backoff_ms = min(BACKOFF_MAX_MS, 1.6 * self._backoff_ms)
                await self._sleep(wait_ms)

    async def _list(self) -> None:
        listing = await self._mirror._store.list(self._kind)
        heard_at_ms = self._heard_at_ms
        silent = (
            heard_at_ms is not None
            and self._mirror._now_ms() - heard_at_ms > LAPSE_AFTER_MS
        )
        self._take_list(listing, silent)
        self._revision = listing.revision

    async def _watch(self, after: int) -> None:
        changes = await self._mirror._store.watch(
            self._kind, after, WATCH_WAIT_MS
        )
        for change in changes.changes:
            self._take_change(change)
        self._revision = max(after, changes.revision)
        if changes.changes:
            await self._sleep(SETTLE_MS)

    def _note_heard(self) -> None:
        self._heard_at_ms = self._mirror._now_ms()
        self._backoff_ms = BACKOFF_MIN_MS
        if self._lost:
            self._lost = False
            self._mirror._log.event("store_regained", kind=self._kind)

    def _note_lost(self, error: errors.StoreError) -> None:
        if not self._lost:
            self._lost = True
            self._mirror._log.event(
                "store_lost", kind=self._kind, error=str(error)
            )

    async def _sleep(self, wait_ms: float) -> None:
        await task.deferLater(self._mirror._reactor, wait_ms / MS_PER_S)
