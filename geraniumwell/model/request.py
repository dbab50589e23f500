"""Requests of callers and the responses to them."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request as reported to its caller."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalCode(StrEnum):
    """Stable codes of responses that a daemon sends instead of an endpoint's."""

    BODY_INVALID = "body_invalid"
    BODY_TOO_LARGE = "body_too_large"
    CLASS_UNKNOWN = "class_unknown"
    DEADLINE_EXPIRED = "deadline_expired"
    DUPLICATE_IN_PROGRESS = "duplicate_in_progress"
    ENDPOINT_FAILED = "endpoint_failed"
    HEADER_INVALID = "header_invalid"
    INTERNAL_ERROR = "internal_error"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    MALFORMED = "malformed"
    METHOD_UNKNOWN = "method_unknown"
    NO_CONFIGURATION = "no_configuration"
    NO_ENDPOINT = "no_endpoint"
    NO_LEASE = "no_lease"
    OVERLOADED = "overloaded"
    PATH_UNKNOWN = "path_unknown"
    SERVICE_UNKNOWN = "service_unknown"
    STOPPING = "stopping"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_REQUIRED = "ticket_required"
    TICKET_UNKNOWN = "ticket_unknown"
    TICKET_USED = "ticket_used"
    UNAUTHORISED = "unauthorised"


@dataclass(slots=True, frozen=True)
class Request:
    """A request with valid input; ``deadline`` is monotonic seconds."""

    request_id: str
    organisation: str
    service: str
    class_name: str
    idempotent: bool
    deadline: float
    body: bytes = b""
    content_type: str = "application/octet-stream"
    forwarded: bool = False


@dataclass(slots=True, frozen=True)
class Answer:
    """Response to a request; ``code`` is set if no endpoint answered it."""

    request_id: str
    outcome: Outcome
    status: int
    body: bytes = b""
    content_type: str = "application/octet-stream"
    code: RefusalCode | None = None
    retry_after_seconds: float | None = None


@dataclass(slots=True, frozen=True)
class Readiness:
    """Readiness of a daemon; ``code`` and ``reason`` are set if it can't serve."""

    code: RefusalCode | None = None
    reason: str = ""
