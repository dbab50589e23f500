"""Exceptions of geraniumwell; each class has a stable code."""

from typing import ClassVar


class GeraniumwellError(Exception):
    """Base class of all errors of this package."""

    code: ClassVar[str] = "error"


class UnexpectedValueError(GeraniumwellError):
    """A value is not what was expected under its key.

    Parameters
    ----------
    key : str
        Path of the value, for example ``listen.callers``.
    expected : str
        What the value should be.
    """

    code = "value_unexpected"
    template: ClassVar[str] = "{key}: expected {expected}"

    def __init__(self, key: str, expected: str) -> None:
        self.key = key
        self.expected = expected
        super().__init__(self.template.format(key=key, expected=expected))


class SettingsError(UnexpectedValueError):
    """A setting is missing, unknown or of the wrong type."""

    code = "settings_invalid"


class UsageError(UnexpectedValueError):
    """The command line is incomplete or names something that can't be read."""

    code = "usage"


class InvariantError(GeraniumwellError):
    """An invariant of the program does not hold.

    Parameters
    ----------
    name : str
        Name of the invariant.
    detail : str
        The state that violates it.
    """

    code = "invariant_broken"

    def __init__(self, name: str, detail: str) -> None:
        self.name = name
        super().__init__(f"invariant {name} is violated: {detail}")


class CallerError(GeraniumwellError):
    """A caller's request is refused before it reaches the dispatcher."""

    code = "caller_error"
    status: ClassVar[int] = 400


class BadHeaderError(CallerError, UnexpectedValueError):
    """A header of a caller's request is missing or malformed."""

    code = "header_invalid"
    template = "header {key}: expected {expected}"


class BadBodyError(CallerError):
    """The body of a caller's request does not have the content that its path needs.

    Parameters
    ----------
    expected : str
        What the body should contain.
    """

    code = "body_invalid"

    def __init__(self, expected: str) -> None:
        super().__init__(f"body: expected {expected}")


class BadTokenError(CallerError):
    """The Authorization header holds no token of the settings."""

    code = "unauthorised"
    status = 401

    def __init__(self) -> None:
        super().__init__("header Authorization: expected Bearer and a known token")


class UnknownPathError(CallerError):
    """No interface serves this path.

    Parameters
    ----------
    path : str
        The requested path.
    """

    code = "path_unknown"
    status = 404

    def __init__(self, path: str) -> None:
        super().__init__(f"path {path[:100]!r} is not served")


class UnknownMethodError(CallerError):
    """The path does not support this method.

    Parameters
    ----------
    method : str
        The method that was used.
    expected : str
        The method that the path supports.
    """

    code = "method_unknown"
    status = 405

    def __init__(self, method: str, expected: str) -> None:
        super().__init__(f"method {method[:20]!r}: expected {expected}")


class ClientError(GeraniumwellError):
    """A call to an external system failed."""

    code = "client_error"


class CallFailedError(ClientError):
    """A call to a named external system failed.

    Parameters
    ----------
    name : str
        Name or address of the system.
    reason : str
        What the transport or the system reported.
    """

    code = "call_failed"
    template: ClassVar[str] = "{name} failed: {reason}"

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(self.template.format(name=name, reason=reason))


class PlatformError(ClientError):
    """A call to the platform failed."""

    code = "platform_error"


class PlatformUnavailableError(PlatformError):
    """The platform did not respond; a write may or may not have taken effect.

    Parameters
    ----------
    operation : str
        The call that failed.
    reason : str
        What the transport reported.
    """

    code = "platform_unavailable"

    def __init__(self, operation: str, reason: str) -> None:
        self.operation = operation
        super().__init__(f"no response to platform call {operation}: {reason}")


class TransactionConflictError(PlatformError):
    """A condition of a transaction was not met, so nothing was written.

    Parameters
    ----------
    key : str
        The row whose version differs from the expected one.
    """

    code = "transaction_conflict"

    def __init__(self, key: str) -> None:
        self.key = key
        super().__init__(f"row {key} was changed by another writer")


class EndpointError(CallFailedError):
    """An attempt on an endpoint failed."""

    code = "endpoint_error"
    template = "endpoint {name} failed: {reason}"


class EndpointNotSentError(EndpointError):
    """The endpoint was not reached, so the request did not run."""

    code = "endpoint_not_sent"
    template = "endpoint {name} was not reached: {reason}"


class EndpointAnswerLostError(EndpointError):
    """The request was sent, but no complete response to it was received."""

    code = "endpoint_answer_lost"
    template = "endpoint {name} sent no complete response: {reason}"


class WorkerError(CallFailedError):
    """A call to a worker failed."""

    code = "worker_error"
    template = "worker {name} refused: {reason}"


class WorkerUnavailableError(WorkerError):
    """The worker did not respond; the call may or may not have taken effect."""

    code = "worker_unavailable"
    template = "worker {name} did not respond: {reason}"


class WorkerNotReachedError(WorkerUnavailableError):
    """The call was not sent for lack of a connection, so it had no effect."""

    code = "worker_not_reached"


class StaleEpochError(WorkerError):
    """The worker has seen a higher epoch, so this decider has been replaced."""

    code = "stale_epoch"

    def __init__(self, name: str, epoch: int) -> None:
        super().__init__(name, f"epoch {epoch} is stale")


class LeaseUnknownError(WorkerError):
    """The worker does not hold the lease."""

    code = "lease_unknown"

    def __init__(self, name: str, lease_id: str) -> None:
        super().__init__(name, f"it does not hold lease {lease_id}")


class ChangeError(GeraniumwellError):
    """A change of the configuration was refused."""

    code = "change_error"


class ChangeInvalidError(ChangeError, UnexpectedValueError):
    """A change contains an invalid value or refers to an unknown name."""

    code = "change_invalid"


class GuaranteesNotHonouredError(ChangeError):
    """A change would make it impossible to honour all guarantees at once.

    Parameters
    ----------
    reason : str
        Which guarantee does not fit, and why.
    """

    code = "guarantees_not_honoured"

    def __init__(self, reason: str) -> None:
        super().__init__(f"the guarantees can't be honoured all at once: {reason}")


class StatementError(GeraniumwellError):
    """A statement of the operators' language was not executed."""

    code = "statement_error"


class StatementSyntaxError(StatementError):
    """A text is not a valid statement of the operators' language.

    Parameters
    ----------
    line, column : int
        Position of the first syntax error, counted from 1.
    found : str
        The text at that position.
    expected : tuple of str
        What would be valid at that position.
    """

    code = "syntax_invalid"

    def __init__(
        self, line: int, column: int, found: str, expected: tuple[str, ...]
    ) -> None:
        self.line = line
        self.column = column
        self.expected = expected
        wanted = " or ".join(expected)
        super().__init__(
            f"line {line}, column {column}: expected {wanted}, found {found}"
        )


class StatementRefusedError(StatementError):
    """A statement was refused; ``code`` is the code of the reason.

    Parameters
    ----------
    code : str
        Stable code of the reason.
    message : str
        The reason.
    """

    def __init__(self, code: str, message: str) -> None:
        self.code = code  # type: ignore[misc]
        super().__init__(message)


class ReplyTimeoutError(GeraniumwellError):
    """An actor of the daemon did not reply in time; it may still act.

    Parameters
    ----------
    seconds : float
        How long the caller waited for the reply.
    """

    code = "outcome_unknown"

    def __init__(self, seconds: float) -> None:
        super().__init__(
            f"no reply within {seconds:g} s; the statement may or may not take effect"
        )


class DaemonError(CallFailedError):
    """A call from the command line to a daemon failed."""

    code = "daemon_error"
    template = "daemon {name} failed: {reason}"


class DaemonUnreachableError(DaemonError):
    """The daemon was not reached, so no statement was executed."""

    code = "daemon_unreachable"
    template = "daemon {name} was not reached: {reason}"


class DaemonAnswerLostError(DaemonError):
    """The statements were sent, but no complete response was received."""

    code = "outcome_unknown"
    template = "daemon {name} sent no complete response: {reason}"
