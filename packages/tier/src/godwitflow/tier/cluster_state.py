"""What this node knows of the configuration and the upstreams.

Turns the objects of the store into values, and says when they change.
Nothing older than what is held is taken.
"""

import typing

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import registrations
from godwitflow.policy import routing
from godwitflow.store import objects
from godwitflow.tier import log as logs

MS_PER_S = 1_000.0
EXPIRY_MARGIN_S = 0.05


class ObjectDecoder(typing.Protocol):
    """How the store's objects spell what this node reads."""

    configuration_kind: str
    configuration_name: str
    registration_kind: str

    def decode_configuration(
        self, found: objects.Object
    ) -> routing.Configuration:
        """Decode the configuration; raises SettingsError."""
        ...

    def decode_registration(
        self, found: objects.Object
    ) -> registrations.Registration | None:
        """Decode a registration; None where it names no upstream."""
        ...


class ClusterState:
    """Keeps both, and says when they change."""

    def __init__(
        self,
        reactor: typing.Any,
        formats: ObjectDecoder,
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
        self._decoder = formats
        self._now_ms = now_ms
        self._log = log
        self._on_configuration = on_configuration
        self._on_registrations = on_registrations

    @property
    def kinds(self) -> tuple[str, str]:
        """The kinds of objects that this node reads."""
        formats = self._decoder
        return formats.configuration_kind, formats.registration_kind

    def on_changes(
        self, kind: str, changes: list[objects.Change], lapsed: bool
    ) -> None:
        """Take changes of a kind."""
        if kind == self._decoder.configuration_kind:
            for change in changes:
                if not change.removed:
                    self._apply_configuration(change.object)
        else:
            self._apply_registrations(changes, lapsed)

    def _apply_configuration(self, found: objects.Object) -> None:
        """Put a configuration in force if it is newer than the present."""
        if found.name != self._decoder.configuration_name:
            return
        held = self.configuration
        if held is not None and held.revision >= found.revision:
            return
        try:
            configuration = self._decoder.decode_configuration(found)
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

    def _apply_registrations(
        self, changes: list[objects.Change], lapsed: bool
    ) -> None:
        now_ms = self._now_ms()
        for change in changes:
            name = ids.UpstreamId(change.object.name)
            if not change.removed:
                self.registry.put(self._decode_entry(change.object))
            elif lapsed:
                self.registry.remove_after_grace(
                    name, change.object.revision, now_ms
                )
            else:
                self.registry.remove(name, change.object.revision)
        self._on_registrations(self.registry.ready())
        if lapsed:
            wait_s = registrations.REMOVAL_GRACE_MS / MS_PER_S
            self._reactor.callLater(
                wait_s + EXPIRY_MARGIN_S, self._expire_removed
            )

    def _decode_entry(self, found: objects.Object) -> registrations.Entry:
        registration = self._decoder.decode_registration(found)
        if registration is None:
            self._log.limited_event(
                "registration_unusable",
                upstream=found.name,
                revision=found.revision,
            )
        return registrations.Entry(
            ids.UpstreamId(found.name), found.revision, registration
        )

    def _expire_removed(self) -> None:
        if self.registry.expire(self._now_ms()):
            self._on_registrations(self.registry.ready())
