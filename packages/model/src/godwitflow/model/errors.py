"""The exceptions of all packages."""


class GodwitflowError(Exception):
    """Base class of all exceptions of this project."""


class SettingsError(GodwitflowError):
    """Settings are invalid; ``problems`` lists every problem found.

    The problems are :class:`godwitflow.settings.problems.Problem` values.
    """

    def __init__(self, problems: tuple) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class IndexInvalidError(GodwitflowError):
    """An index object is malformed or inconsistent."""


class AddressError(GodwitflowError):
    """A network address is not of the form ``IP:PORT``."""


class CodecError(GodwitflowError):
    """A message between nodes or a stored object could not be decoded."""


class StoreError(GodwitflowError):
    """Base class of failures of the platform's object API."""


class StoreConflictError(StoreError):
    """A conditional write was not applied: the object had changed."""


class StoreUnavailableError(StoreError):
    """The store did not accept the call, and nothing was applied."""


class StoreOutcomeUnknownError(StoreError):
    """The response to a write was lost; it may have been applied."""


class ObjectNotFoundError(StoreError):
    """The store has no object with the name."""


class StoreHistoryGoneError(StoreError):
    """The store has discarded the changes after the given revision."""


class ValueTooLargeError(StoreError):
    """A value exceeds the store's size limit for one object."""


class UpstreamError(GodwitflowError):
    """Base class of failures of an upstream call."""


class UpstreamConnectError(UpstreamError):
    """Connecting failed, so no byte of the request was sent."""


class UpstreamCrashedError(UpstreamError):
    """The connection broke after the request had been sent."""


class UpstreamTimeoutError(UpstreamError):
    """No complete reply arrived in time; the request may have run."""


class UpstreamReplyError(UpstreamError):
    """The reply was malformed, truncated or of another protocol."""


class CallerError(GodwitflowError):
    """Base class of failures that the caller library reports."""


class NoAddressError(CallerError):
    """None of the known addresses responded."""


class OutcomeUnknownError(CallerError):
    """A non-idempotent request was sent, but its answer was lost."""


class RequestInvalidError(GodwitflowError):
    """A caller's request was refused before anything ran.

    ``status`` is the HTTP status and ``code`` the stable refusal code.
    """

    def __init__(self, code: str, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.status = status
