"""Encoding of the refusals that a server sends without calling its application."""

from collections.abc import Iterable
from typing import Final

from geraniumwell.model.intake import RefusalReason

# A client that sends its request again later is likely to be served.
RETRY_AFTER_SECONDS: Final = "1"
STATUS_BY_REASON: Final = {
    RefusalReason.MEMORY: 503,
    RefusalReason.CONNECTIONS: 503,
    RefusalReason.REQUEST_TIME: 408,
    RefusalReason.HEAD_SIZE: 431,
    RefusalReason.BODY_SIZE: 413,
    RefusalReason.MALFORMED: 400,
}
PHRASES: Final = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


def make_path_info(path: str) -> str:
    """Return the path of a head in the form in which waitress passes it on."""
    return "/" + path.lstrip("/") if path.startswith("/") else path


def render_refusal(
    status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"{}"
) -> bytes:
    """Return the response of a request that has not run; it ends the connection."""
    lines = [
        f"HTTP/1.1 {status} {PHRASES[status]}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if status == 503:
        lines.append(f"Retry-After: {RETRY_AFTER_SECONDS}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body
