"""The exception tree."""


class GodwitflowError(Exception):
    """Base of every error that this project raises on purpose."""


class SettingsError(GodwitflowError):
    """Settings were refused; ``problems`` holds every fault found.

    The problems are :class:`godwitflow.settings.problems.Problem` values.
    """

    def __init__(self, problems: tuple) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class IndexInvalidError(GodwitflowError):
    """An index object is malformed or contradicts itself."""


class CodecError(GodwitflowError):
    """Bytes of the inner protocol could not be decoded."""


class StoreError(GodwitflowError):
    """Base of the failures of the platform's object API."""


class StoreConflictError(StoreError):
    """A conditional update was not applied: the version had moved."""


class StoreUnavailableError(StoreError):
    """The store did not take the call; nothing was applied."""


class StoreOutcomeUnknownError(StoreError):
    """A write's answer was lost: it was applied or it was not."""


class ObjectNotFoundError(StoreError):
    """No object has the name."""


class StoreHistoryGoneError(StoreError):
    """The store no longer keeps the changes after a revision."""


class ValueTooLargeError(StoreError):
    """A value exceeds what the store holds in one object."""


class UpstreamError(GodwitflowError):
    """Base of the failures of an upstream call."""


class UpstreamConnectError(UpstreamError):
    """No connection was made: no byte of the request was sent."""


class UpstreamCrashedError(UpstreamError):
    """The connection broke after the request had been sent."""


class UpstreamTimeoutError(UpstreamError):
    """No complete reply came in time; the request may have run."""


class UpstreamReplyError(UpstreamError):
    """The reply was malformed, cut short or of another protocol."""


class CallerError(GodwitflowError):
    """Base of the failures that the caller library reports."""


class NoAddressError(CallerError):
    """No known address of the system answered."""


class OutcomeUnknownError(CallerError):
    """A non-idempotent request was sent and its answer was lost."""


class RequestInvalidError(GodwitflowError):
    """A caller's request was refused before anything ran.

    ``status`` is the HTTP status and ``code`` the stable refusal code.
    """

    def __init__(self, code: str, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.status = status
