"""Client of one endpoint over one HTTP connection."""

from dataclasses import dataclass
from http.client import HTTPException
from typing import Protocol

from urllib3 import BaseHTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from geraniumwell.const import (
    ATTR_ATTEMPT_ID,
    ATTR_ENDPOINT_STATE,
    ATTR_NOT_RUN,
    ATTR_TIMEOUT_MS,
    RESPONSE_LIMIT_BYTES,
)
from geraniumwell.exceptions import EndpointAnswerLostError, EndpointNotSentError
from geraniumwell.model.config import Endpoint
from geraniumwell.model.request import Request
from geraniumwell.util.clock import monotonic_seconds

ATTR_ENDPOINT_REQUEST_ID = "Request-Id"
CONNECT_TIMEOUT_SECONDS = 1.0
READ_BYTES = 65_536


@dataclass(slots=True, frozen=True)
class EndpointAnswer:
    """The complete response of an endpoint to one attempt.

    Parameters
    ----------
    not_run : bool
        Whether the endpoint states that the request did not run.
    leaving : bool
        Whether the endpoint reports that it is about to stop.
    """

    status: int
    body: bytes
    content_type: str
    not_run: bool
    leaving: bool


class EndpointClient(Protocol):
    """Interface of a client of one endpoint."""

    def run(self, req: Request, attempt_id: str, seconds: float) -> EndpointAnswer:
        """Run one attempt and return its complete response."""

    def close(self) -> None:
        """Close the connection."""


class HttpEndpointClient:
    """Client of one endpoint over one HTTP connection; not thread-safe."""

    __slots__ = ("_conn", "_endpoint")

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        host, _, port = endpoint.address.rpartition(":")
        # Unlike a pool, a plain connection never retries a request by itself.
        self._conn = HTTPConnection(host, int(port))

    def run(self, req: Request, attempt_id: str, seconds: float) -> EndpointAnswer:
        """Run one attempt and return its complete response.

        Parameters
        ----------
        req : Request
            The request.
        attempt_id : str
            Identifier that the response must contain.
        seconds : float
            Timeout of the attempt.

        Raises
        ------
        EndpointNotSentError
            If nothing was sent, so nothing ran.
        EndpointAnswerLostError
            If the attempt may have run, but no complete response to it arrived.
        """
        ends_at = monotonic_seconds() + seconds
        self._connect(min(CONNECT_TIMEOUT_SECONDS, seconds))
        resp = self._send(req, attempt_id, seconds)
        body = self._read_body(resp, ends_at)
        is_own_response = (
            resp.headers.get(ATTR_ATTEMPT_ID) == attempt_id
            and resp.headers.get(ATTR_ENDPOINT_REQUEST_ID) == req.request_id
        )
        if not is_own_response:
            raise self._close_on_error("the response belongs to another attempt")
        return EndpointAnswer(
            resp.status,
            body,
            resp.headers.get("Content-Type", "application/octet-stream"),
            resp.headers.get(ATTR_NOT_RUN) == "true",
            resp.headers.get(ATTR_ENDPOINT_STATE) == "leaving",
        )

    def _send(self, req: Request, attempt_id: str, seconds: float) -> BaseHTTPResponse:
        """Send the attempt and return the response, whose body is not read yet."""
        headers = {
            ATTR_ENDPOINT_REQUEST_ID: req.request_id,
            ATTR_ATTEMPT_ID: attempt_id,
            ATTR_TIMEOUT_MS: str(int(seconds * 1000)),
            "Content-Type": req.content_type,
        }
        try:
            # The connection applies this timeout when it reads the response.
            self._conn.timeout = seconds
            self._conn.sock.settimeout(seconds)
            self._conn.request(
                "POST", "/run", body=req.body, headers=headers, preload_content=False
            )
            return self._conn.getresponse()
        except (HTTPError, HTTPException, OSError) as exc:
            raise self._close_on_error(str(exc)) from exc

    def _connect(self, seconds: float) -> None:
        """Open the connection, unless it is still open on both sides."""
        if self._conn.is_connected:
            return
        self._conn.close()
        self._conn.timeout = seconds
        try:
            self._conn.connect()
        except (HTTPError, OSError) as exc:
            self.close()
            raise EndpointNotSentError(self._endpoint.name, str(exc)) from exc

    def _read_body(self, resp: BaseHTTPResponse, ends_at: float) -> bytes:
        """Read a complete body by a deadline; each read has a timeout of its own."""
        # Without a length, a truncated body would look complete.
        if "Content-Length" not in resp.headers and not resp.chunked:
            raise self._close_on_error("the response has no length", resp)
        chunks: list[bytes] = []
        size = 0
        try:
            while chunk := resp.read1(READ_BYTES):
                chunks.append(chunk)
                size += len(chunk)
                if monotonic_seconds() >= ends_at:
                    raise self._close_on_error(
                        "the response was incomplete at the deadline", resp
                    )
                if size > RESPONSE_LIMIT_BYTES:
                    raise self._close_on_error("the response is too large", resp)
        except (HTTPError, HTTPException, OSError) as exc:
            raise self._close_on_error(str(exc), resp) from exc
        return b"".join(chunks)

    def _close_on_error(
        self, reason: str, resp: BaseHTTPResponse | None = None
    ) -> EndpointAnswerLostError:
        """Return the error to raise, and close the connection.

        A late response must not be read as that to the next attempt.
        """
        if resp is not None:
            resp.close()
        self.close()
        return EndpointAnswerLostError(self._endpoint.name, reason)

    def close(self) -> None:
        """Close the connection; the next attempt opens a new one."""
        self._conn.close()
