"""Conversion between HTTP requests of callers and requests and responses."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from math import ceil
from typing import Any

from geraniumwell.codec.json import CodecError, decode_json, encode_json
from geraniumwell.const import (
    ATTR_CLASS,
    ATTR_CODE,
    ATTR_OUTCOME,
    ATTR_REQUEST_ID,
    ATTR_TIMEOUT_MS,
    DEFAULT_REQUEST_TIMEOUT_MS,
    REQUEST_ID_LIMIT_CHARS,
    REQUEST_TIMEOUT_LIMIT_MS,
    TICKET_BATCH_LIMIT,
)
from geraniumwell.exceptions import (
    BadBodyError,
    BadHeaderError,
    BadTokenError,
    CallerError,
    UnknownMethodError,
    UnknownPathError,
)
from geraniumwell.model.request import (
    Answer,
    Outcome,
    Readiness,
    RefusalCode,
    Request,
)
from geraniumwell.util.ids import make_request_id

CONTENT_JSON = "application/json"
CONTENT_BYTES = "application/octet-stream"
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]+")
STATUS_LINES = {s.value: f"{s.value} {s.phrase}" for s in HTTPStatus}


@dataclass(slots=True, frozen=True)
class Route:
    """Route of a path, with the part of the path after its prefix."""

    name: str
    rest: str = ""


@dataclass(slots=True, frozen=True)
class TicketsWanted:
    """Body of ``POST /v1/tickets``."""

    count: int


@dataclass(slots=True, frozen=True)
class TicketsGiven:
    """Body of the response to ``POST /v1/tickets``."""

    tickets: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class RefusalBody:
    """Body of a response that does not come from an endpoint."""

    code: str
    message: str


EXACT_ROUTES = {
    "/healthz": ("GET", "healthz"),
    "/readyz": ("GET", "readyz"),
    "/v1/tickets": ("POST", "tickets"),
}
PREFIX_ROUTES = {
    "/v1/requests/": ("POST", "requests"),
    "/v1/outcomes/": ("GET", "outcomes"),
}


def get_header(environ: Mapping[str, Any], name: str) -> str:
    """Return a request header of a WSGI environment, or an empty string."""
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "")


def find_route(method: str, path: str) -> Route:
    """Return the route of a path.

    Raises
    ------
    UnknownPathError, UnknownMethodError
        If there is no such path, or the path requires another method.
    """
    expected, route = EXACT_ROUTES.get(path, ("", "")), Route("")
    if expected[0]:
        route = Route(expected[1])
    for prefix, entry in PREFIX_ROUTES.items():
        if path.startswith(prefix) and len(path) > len(prefix):
            expected, route = entry, Route(entry[1], path.removeprefix(prefix))
    if not route.name:
        raise UnknownPathError(path)
    if method != expected[0]:
        raise UnknownMethodError(method, expected[0])
    return route


def read_organisation(environ: Mapping[str, Any], tokens: Mapping[str, str]) -> str:
    """Return the organisation that the caller's token belongs to.

    Raises
    ------
    BadTokenError
        If the header holds no known token.
    """
    scheme, _, token = get_header(environ, "Authorization").partition(" ")
    organisation = tokens.get(token.strip())
    if scheme.lower() != "bearer" or organisation is None:
        raise BadTokenError
    return organisation


def check_request_id(text: str) -> str:
    """Return a request id if it is safe to use in a header.

    Raises
    ------
    BadHeaderError
        If it is too long or holds invalid characters.
    """
    if len(text) > REQUEST_ID_LIMIT_CHARS or not REQUEST_ID_PATTERN.fullmatch(text):
        expected = f"1 to {REQUEST_ID_LIMIT_CHARS} of letters, digits and . _ : -"
        raise BadHeaderError(ATTR_REQUEST_ID, expected)
    return text


def read_request_id(environ: Mapping[str, Any]) -> str:
    """Return the caller's request id, or a new one if there is none.

    Raises
    ------
    BadHeaderError
        If the caller's id is invalid.
    """
    text = get_header(environ, ATTR_REQUEST_ID)
    return check_request_id(text) if text else make_request_id()


def read_request(
    environ: Mapping[str, Any],
    request_id: str,
    organisation: str,
    service: str,
    now: float,
) -> Request:
    """Return a caller's request; the dispatcher resolves its class later.

    Raises
    ------
    BadHeaderError
        If a header is missing or invalid.
    """
    class_name = get_header(environ, ATTR_CLASS)
    if not class_name:
        raise BadHeaderError(ATTR_CLASS, "the name of a request class")
    return Request(
        request_id=request_id,
        organisation=organisation,
        service=service,
        class_name=class_name,
        # Conservative default until the dispatcher looks up the class.
        idempotent=False,
        deadline=now + _read_timeout_ms(environ) / 1000,
        body=environ["wsgi.input"].read(),
        content_type=environ.get("CONTENT_TYPE") or CONTENT_BYTES,
    )


def read_ticket_count(body: bytes) -> int:
    """Return the number of tickets that a body asks for.

    Raises
    ------
    BadBodyError
        If the body is invalid.
    """
    expected = f'JSON {{"count": n}} with n from 1 to {TICKET_BATCH_LIMIT}'
    try:
        count = decode_json(body, TicketsWanted).count
    except CodecError as exc:
        raise BadBodyError(expected) from exc
    if not 1 <= count <= TICKET_BATCH_LIMIT:
        raise BadBodyError(expected)
    return count


def make_refusal(
    request_id: str,
    code: RefusalCode,
    status: int,
    message: str,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_seconds: float | None = None,
) -> Answer:
    """Return a response with a refusal code and a message."""
    body = encode_json(RefusalBody(code.value, message))
    return Answer(
        request_id, outcome, status, body, CONTENT_JSON, code, retry_after_seconds
    )


def refuse_error(request_id: str, exc: CallerError) -> Answer:
    """Return the response for an error found before the request was dispatched."""
    return make_refusal(request_id, RefusalCode(exc.code), exc.status, str(exc))


def answer_tickets(request_id: str, tickets: tuple[str, ...]) -> Answer:
    """Return the response to a request for tickets; refuse it if there are none."""
    if not tickets:
        message = "the organisation holds too many tickets of the last 15 minutes"
        code = RefusalCode.OVERLOADED
        return make_refusal(request_id, code, 429, message, retry_after_seconds=10.0)
    body = encode_json(TicketsGiven(tickets))
    return Answer(request_id, Outcome.RAN, 200, body, CONTENT_JSON)


def answer_readiness(request_id: str, readiness: Readiness) -> Answer:
    """Return the response to a readiness check."""
    if readiness.code is None:
        return Answer(request_id, Outcome.RAN, 200, b"ready\n", "text/plain")
    return make_refusal(request_id, readiness.code, 503, readiness.reason)


def list_answer_headers(answer: Answer) -> list[tuple[str, str]]:
    """Return the headers of a response without those of its body."""
    headers = [
        (ATTR_REQUEST_ID, answer.request_id),
        (ATTR_OUTCOME, answer.outcome.value),
    ]
    if answer.code is not None:
        headers.append((ATTR_CODE, answer.code.value))
    if answer.retry_after_seconds is not None:
        headers.append(("Retry-After", str(max(1, ceil(answer.retry_after_seconds)))))
    return headers


def render_head(answer: Answer) -> tuple[str, list[tuple[str, str]]]:
    """Return the status line and the headers of a response."""
    headers = [
        ("Content-Type", answer.content_type),
        ("Content-Length", str(len(answer.body))),
        *list_answer_headers(answer),
    ]
    line = STATUS_LINES.get(answer.status, f"{answer.status} Unknown")
    return line, headers


def _read_timeout_ms(environ: Mapping[str, Any]) -> int:
    text = get_header(environ, ATTR_TIMEOUT_MS)
    if not text:
        return DEFAULT_REQUEST_TIMEOUT_MS
    valid = text.isascii() and text.isdigit() and len(text) < 10
    if not valid or not 1 <= int(text) <= REQUEST_TIMEOUT_LIMIT_MS:
        expected = f"whole milliseconds from 1 to {REQUEST_TIMEOUT_LIMIT_MS}"
        raise BadHeaderError(ATTR_TIMEOUT_MS, expected)
    return int(text)
