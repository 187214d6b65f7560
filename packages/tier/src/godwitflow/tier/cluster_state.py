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
        self._reactor = reactor
        self._decoder = decoder
        self._now_ms = now_ms
        self._log = log
        self._on_configuration = on_configuration
        self._on_registrations = on_registrations
        self._on_evacuations = on_evacuations
        self._evacuated: set[ids.FailureDomain] = set()

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds of objects that this node reads."""
        decoder = self._decoder
        kinds = (decoder.configuration_kind, decoder.registration_kind)
        if self._on_evacuations is None:
            return kinds
        return (*kinds, decoder.evacuation_kind)

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
            self._apply_evacuations(changes)
        else:
            self._apply_registrations(changes, after_outage)

    def _apply_configuration(self, stored: objects.Object) -> None:
        """Apply a configuration if it is valid and newer than the current."""
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
                revision=stored.revision,
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

    def _apply_evacuations(self, changes: list[objects.Change]) -> None:
        """Apply evacuations; the name of each is the failure domain."""
        for change in changes:
            domain = ids.FailureDomain(change.object.name)
            self._log.event(
                "evacuation_ended" if change.removed else "evacuation",
                failure_domain=domain,
                revision=change.object.revision,
            )
            if change.removed:
                self._evacuated.discard(domain)
            else:
                self._evacuated.add(domain)
        if self._on_evacuations is not None:
            self._on_evacuations(frozenset(self._evacuated))

    def _apply_registrations(
        self, changes: list[objects.Change], after_outage: bool
    ) -> None:
        now_ms = self._now_ms()
        for change in changes:
            name = ids.UpstreamId(change.object.name)
            if not change.removed:
                self.registry.put(self._decode_entry(change.object))
            elif after_outage:
                self.registry.remove_after_grace(
                    name, change.object.revision, now_ms
                )
            else:
                self.registry.remove(name, change.object.revision)
        self._on_registrations(self.registry.ready())
        if after_outage:
            wait_s = registrations.REMOVAL_GRACE_MS / MS_PER_S
            self._reactor.callLater(
                wait_s + EXPIRY_MARGIN_S, self._expire_removed
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
                revision=stored.revision,
                error=error,
            )
        return registrations.Entry(
            ids.UpstreamId(stored.name), stored.revision, registration
        )

    def _expire_removed(self) -> None:
        if self.registry.expire(self._now_ms()):
            self._on_registrations(self.registry.ready())
