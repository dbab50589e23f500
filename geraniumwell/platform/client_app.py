"""The clients' HTTP interface on the platform, as a WSGI application."""

from collections.abc import Callable, Iterable
from re import fullmatch
from typing import Any, Final

from msgspec.json import encode
from pykka import ActorDeadError, ActorRef, Timeout

from geraniumwell.actors.batch.job_store import JobCallOutcome, JobCallResult, JobStore
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.batch.admission import (
    AccessCode,
    Denied,
    Granted,
    decide_access,
)
from geraniumwell.helpers.batch_metrics import CALL_SECONDS, CALLS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import CountPendingJobs, ReadCatalog
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.platform.decode import decode_job
from geraniumwell.util.clock import monotonic_seconds, stable_wall_seconds

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
ID_PATTERN: Final = r"[0-9a-f]{16}"
ASK_TIMEOUT_SECONDS: Final = 2.0
# Value of the Retry-After header of a refusal; outages are short.
RETRY_AFTER_SECONDS: Final = "1"
REASON_PHRASES: Final = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    410: "Gone",
    413: "Content Too Large",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
ACCESS_STATUS: Final = {
    AccessCode.NO_CATALOG: 503,
    AccessCode.NO_QUEUE: 404,
    AccessCode.KEY_UNKNOWN: 401,
}
OUTCOME_STATUS: Final = {
    JobCallOutcome.ACCEPTED: 200,
    JobCallOutcome.KNOWN: 200,
    JobCallOutcome.CANCELLED: 200,
    JobCallOutcome.FOUND: 200,
    JobCallOutcome.NO_JOB: 410,
    JobCallOutcome.REFUSED: 503,
    # Not a refusal: the job may have been stored although no response came.
    JobCallOutcome.UNKNOWN: 504,
}


class ClientApp:
    """Serves the HTTP calls of clients.

    Parameters
    ----------
    catalog_manager, elector : ActorRef
        Actors that return the current configuration and the counts of waiting jobs.
    """

    __slots__ = ("_job_store", "_elector", "_catalog_manager")

    def __init__(
        self, job_store: JobStore, catalog_manager: ActorRef, elector: ActorRef
    ) -> None:
        self._job_store = job_store
        self._catalog_manager = catalog_manager
        self._elector = elector

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        begin = monotonic_seconds()
        operation, status, body = self._answer(environ)
        CALLS.labels(operation, str(status)).inc()
        CALL_SECONDS.labels(operation).observe(monotonic_seconds() - begin)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if status == 503:
            headers.append(("Retry-After", RETRY_AFTER_SECONDS))
        start_response(f"{status} {REASON_PHRASES[status]}", headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> tuple[str, int, bytes]:
        try:
            catalog = self._catalog_manager.ask(
                ReadCatalog(), timeout=ASK_TIMEOUT_SECONDS
            )
        except (Timeout, ActorDeadError):
            return "access", 503, b"{}"
        path = environ["PATH_INFO"]
        access = decide_access(
            catalog,
            environ.get("HTTP_HOST", ""),
            path,
            environ.get("HTTP_API_KEY", ""),
        )
        match access:
            case Denied(code):
                version = catalog.version if catalog else None
                EVENT_LOG.write("denied", path=path, code=code.value, version=version)
                return "access", ACCESS_STATUS[code], b"{}"
            case Granted():
                return self._serve(environ, catalog, access)

    def _serve(
        self, environ: dict[str, Any], catalog: Catalog, access: Granted
    ) -> tuple[str, int, bytes]:
        method, job_id = environ["REQUEST_METHOD"], access.rest
        if method == "GET" and not job_id:
            return self._count_pending(access)
        if not fullmatch(ID_PATTERN, job_id):
            return "access", 404 if method == "POST" else 410, b"{}"
        match method:
            case "POST":
                return self._submit(environ, catalog, access)
            case "GET":
                result = self._job_store.find_state(job_id, access.queue.name)
                return self._make_response("state", result)
            case "DELETE":
                result = self._job_store.cancel(
                    job_id, access.queue.name, stable_wall_seconds()
                )
                return self._make_response("cancel", result)
        return "access", 405, b"{}"

    def _count_pending(self, access: Granted) -> tuple[str, int, bytes]:
        try:
            pending = self._elector.ask(CountPendingJobs(), timeout=ASK_TIMEOUT_SECONDS)
        except (Timeout, ActorDeadError):
            return "count", 503, b"{}"
        if pending is None:
            # No count is known, or the actor has logged an unexpected error.
            return "count", 503, b"{}"
        count = pending.get(access.queue.name, 0)
        return "count", 200, encode({"Pending": count})

    def _submit(
        self, environ: dict[str, Any], catalog: Catalog, access: Granted
    ) -> tuple[str, int, bytes]:
        data = environ["wsgi.input"].read()
        if len(data) > catalog.body_limit_bytes:
            return "submit", 413, b"{}"
        try:
            spec = decode_job(
                data,
                access.rest,
                access.queue,
                access.organisation,
                stable_wall_seconds(),
            )
        except CodecError as exc:
            EVENT_LOG.write("job_unreadable", job=access.rest, detail=str(exc))
            return "submit", 400, b"{}"
        return self._make_response("submit", self._job_store.submit(spec))

    def _make_response(
        self, operation: str, result: JobCallResult
    ) -> tuple[str, int, bytes]:
        body = {} if result.state is None else {"State": result.state.value}
        return operation, OUTCOME_STATUS[result.code], encode(body)
