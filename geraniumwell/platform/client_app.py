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
ASK_SECONDS: Final = 2.0
# A refused caller is told to come back after this time; outages are short.
RETRY_AFTER_SECONDS: Final = "1"
REASONS: Final = {
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
DESK_STATUS: Final = {
    JobCallOutcome.ACCEPTED: 200,
    JobCallOutcome.KNOWN: 200,
    JobCallOutcome.CANCELLED: 200,
    JobCallOutcome.FOUND: 200,
    JobCallOutcome.NO_JOB: 410,
    JobCallOutcome.REFUSED: 503,
    # Not a refusal: the job may be stored although no answer came.
    JobCallOutcome.UNKNOWN: 504,
}


class ClientApp:
    """Answers the calls of clients.

    Parameters
    ----------
    keeper, elector : ActorRef
        Tell the configuration in force and the counts of waiting jobs.
    """

    __slots__ = ("_desk", "_elector", "_keeper")

    def __init__(self, desk: JobStore, keeper: ActorRef, elector: ActorRef) -> None:
        self._desk = desk
        self._keeper = keeper
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
        start_response(f"{status} {REASONS[status]}", headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> tuple[str, int, bytes]:
        try:
            catalog = self._keeper.ask(ReadCatalog(), timeout=ASK_SECONDS)
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
            return self._count(access)
        if not fullmatch(ID_PATTERN, job_id):
            return "access", 404 if method == "POST" else 410, b"{}"
        match method:
            case "POST":
                return self._submit(environ, catalog, access)
            case "GET":
                answer = self._desk.find_state(job_id, access.queue.name)
                return self._render("state", answer)
            case "DELETE":
                answer = self._desk.cancel(job_id, access.queue.name)
                return self._render("cancel", answer)
        return "access", 405, b"{}"

    def _count(self, access: Granted) -> tuple[str, int, bytes]:
        try:
            pending = self._elector.ask(CountPendingJobs(), timeout=ASK_SECONDS)
        except (Timeout, ActorDeadError):
            return "count", 503, b"{}"
        if pending is None:
            # The elector logs its unexpected errors and answers nothing.
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
        return self._render("submit", self._desk.submit(spec))

    def _render(self, operation: str, answer: JobCallResult) -> tuple[str, int, bytes]:
        body = {} if answer.state is None else {"State": answer.state.value}
        return operation, DESK_STATUS[answer.code], encode(body)
