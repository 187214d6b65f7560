"""The configuration, registrations and evacuations that this node uses.

Decodes changed objects of the store and reports the new values. An
object that is older than the current one is ignored.
"""

import typing

from godwitflow.model import ids
from godwitflow.policy import registrations
from godwitflow.policy import routing
from godwitflow.store import objects
from godwitflow.tier import log as logs
from godwitflow.tier import metrics

MS_PER_S = 1_000.0
EXPIRY_MARGIN_S = 0.05

OnEvacuations = typing.Callable[[frozenset[ids.FailureDomain]], None]


class ObjectDecoder(typing.Protocol):
    """Decodes the store's objects; states the kinds and names to read."""

    configuration_kind: str
    configuration_name: str
    registration_kind: str
    evacuation_kind: str

    def decode_configuration(
        self, stored: objects.Object
    ) -> routing.Configuration:
        """Decode the configuration.

        Raises :class:`errors.SettingsError` if it is invalid.
        """
        ...

    def decode_registration(
        self, stored: objects.Object
    ) -> registrations.Registration | None:
        """Decode a registration; None if it is invalid."""
        ...


class ClusterState:
    """Holds the configuration and the registry of upstreams.

    The callbacks receive each new configuration, the upstreams that are
    ready whenever registrations change, and the failure domains whose
    upstreams are to get no calls whenever evacuations change. Without
    ``on_evacuations``, evacuations are not read.
    """

    def __init__(
        self,
        reactor: typing.Any,
        decoder: ObjectDecoder,
        now_ms: typing.Callable[[], float],
        log: logs.Log,
        on_configuration: typing.Callable[[routing.Configuration], None],
        on_registrations: typing.Callable[
            [list[registrations.Registration]], None
        ],
        on_evacuations: OnEvacuations | None = None,
    ) -> None:
        self.configuration: routing.Configuration | None = None
        self.registry = registrations.Registry()
        self._expiry_call: typing.Any = None
        self._reactor = reactor
        self._decoder = decoder
        self._now_ms = now_ms
        self._log = log
        self._on_configuration = on_configuration
        self._on_registrations = on_registrations
        self._on_evacuations = on_evacuations
        # The revision at which each evacuation was written.
        self._evacuated: dict[ids.FailureDomain, objects.Revision] = {}

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds of objects that this node reads."""
        decoder = self._decoder
        kinds = (decoder.configuration_kind, decoder.registration_kind)
        if self._on_evacuations is None:
            return kinds
        return (*kinds, decoder.evacuation_kind)

    def lines(self) -> list[str]:
        """Return the metrics of the configuration as lines of text."""
        if self.configuration is None:
            return []
        return [
            metrics.gauge_line(
                "configuration_version", self.configuration.version
            )
        ]

    def on_changes(
        self, kind: str, changes: list[objects.Change], after_outage: bool
    ) -> None:
        """Apply changes of a kind.

        ``after_outage`` says that the store was unavailable before them.
        Upstreams removed then are kept for a grace period, in which they
        can register again.
        """
        if kind == self._decoder.configuration_kind:
            for change in changes:
                if not change.removed:
                    self._apply_configuration(change.object)
        elif kind == self._decoder.evacuation_kind:
            self._apply_evacuations(changes, after_outage)
        else:
            self._apply_registrations(changes, after_outage)

    def _apply_configuration(self, stored: objects.Object) -> None:
        """Apply a configuration if it is valid and newer than the current.

        A store that was restored from a backup may hold a version that the
        operator has replaced since.
        """
        if stored.name != self._decoder.configuration_name:
            return
        current = self.configuration
        if current is not None and current.revision >= stored.revision:
            return
        try:
            configuration = self._decoder.decode_configuration(stored)
        except Exception as error:  # whatever the operator's writer stored
            self._log.event(
                "configuration_refused",
                era=stored.revision.era,
                revision=stored.revision.number,
                problems=str(error),
            )
            return
        if current is not None and _is_replaced(configuration, current):
            self._log.event(
                "configuration_outdated",
                era=configuration.revision.era,
                revision=configuration.revision.number,
                version=configuration.version,
                version_in_force=current.version,
            )
            return
        self.configuration = configuration
        self._log.event(
            "configuration_in_force",
            era=configuration.revision.era,
            revision=configuration.revision.number,
            version=configuration.version,
            routes=len(configuration.routes),
        )
        self._on_configuration(configuration)

    def _apply_evacuations(
        self, changes: list[objects.Change], after_outage: bool
    ) -> None:
        """Apply evacuations; the name of each is the failure domain.

        One that was removed during an outage may be lost with a restored
        store; the operator can write it again within the grace period.
        """
        for change in changes:
            domain = ids.FailureDomain(change.object.name)
            revision = change.object.revision
            if not change.removed:
                self._log.event(
                    "evacuation",
                    failure_domain=domain,
                    era=revision.era,
                    revision=revision.number,
                )
                self._evacuated[domain] = revision
            elif after_outage:
                self._reactor.callLater(
                    registrations.REMOVAL_GRACE_MS / MS_PER_S,
                    self._end_evacuation_late,
                    domain,
                    revision,
                )
            else:
                self._end_evacuation(domain, revision)
        self._report_evacuations()

    def _end_evacuation(
        self, domain: ids.FailureDomain, revision: objects.Revision
    ) -> None:
        """End an evacuation that was removed, unless it was written again."""
        written = self._evacuated.get(domain)
        if written is None or written > revision:
            return
        del self._evacuated[domain]
        self._log.event(
            "evacuation_ended",
            failure_domain=domain,
            era=revision.era,
            revision=revision.number,
        )

    def _end_evacuation_late(
        self, domain: ids.FailureDomain, revision: objects.Revision
    ) -> None:
        self._end_evacuation(domain, revision)
        self._report_evacuations()

    def _report_evacuations(self) -> None:
        if self._on_evacuations is not None:
            self._on_evacuations(frozenset(self._evacuated))

    def _apply_registrations(
        self, changes: list[objects.Change], after_outage: bool
    ) -> None:
        now_ms = self._now_ms()
        for change in changes:
            name = ids.UpstreamId(change.object.name)
            if not change.removed:
                self.registry.put(self._decode_entry(change.object), now_ms)
            elif after_outage:
                self.registry.remove_after_grace(
                    name, change.object.revision, now_ms
                )
            else:
                self.registry.remove(name, change.object.revision, now_ms)
        self._on_registrations(self.registry.ready())
        self._schedule_expiry(now_ms)

    def _schedule_expiry(self, now_ms: float) -> None:
        """Expire entries of the registry when the next one is due."""
        if self._expiry_call is not None and self._expiry_call.active():
            self._expiry_call.cancel()
        wait_ms = self.registry.next_expiry_in_ms(now_ms)
        if wait_ms is not None:
            self._expiry_call = self._reactor.callLater(
                wait_ms / MS_PER_S + EXPIRY_MARGIN_S, self._expire
            )

    def _decode_entry(self, stored: objects.Object) -> registrations.Entry:
        registration = None
        error = ""
        try:
            registration = self._decoder.decode_registration(stored)
        except Exception as defect:  # one entry must not hide the others
            error = repr(defect)
        if registration is None:
            self._log.limited_event(
                "registration_unusable",
                upstream=stored.name,
                era=stored.revision.era,
                revision=stored.revision.number,
                error=error,
            )
        return registrations.Entry(
            ids.UpstreamId(stored.name), stored.revision, registration
        )

    def _expire(self) -> None:
        now_ms = self._now_ms()
        if self.registry.expire(now_ms):
            self._on_registrations(self.registry.ready())
        self._schedule_expiry(now_ms)


def _is_replaced(
    configuration: routing.Configuration, current: routing.Configuration
) -> bool:
    """Return whether a restored store holds an older version.

    Within an era the store itself orders what the operator writes.
    """
    restored = configuration.revision.era > current.revision.era
    return restored and configuration.version < current.version
