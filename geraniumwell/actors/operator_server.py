"""HTTP server for operators, which runs statements and exposes metrics."""

from collections.abc import Callable, Iterable
from hmac import compare_digest
from re import ASCII, fullmatch
from threading import Thread
from typing import Any

from loguru import logger
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

from geraniumwell.actors.intake.server import IntakeOptions, IntakeServer
from geraniumwell.actors.statements import StatementRunner
from geraniumwell.actors.tls_server import TlsServer
from geraniumwell.codec.intake import make_path_info
from geraniumwell.codec.json import encode_json
from geraniumwell.commands.intake.serve_limits import derive_server_limits
from geraniumwell.const import ATTR_COMMAND_ID
from geraniumwell.exceptions import (
    ChangeError,
    GeraniumwellError,
    StatementRefusedError,
    StatementSyntaxError,
)
from geraniumwell.language.parser import parse_statements
from geraniumwell.language.printer import print_statement
from geraniumwell.model.intake import (
    BodyAccepted,
    BodyRefused,
    HeadVerdict,
    RefusalReason,
    RequestHead,
)
from geraniumwell.model.reply import ErrorReply, StatementReply, StatementsReply
from geraniumwell.model.settings import Settings
from geraniumwell.queries.refusals import CounterSample
from geraniumwell.util.ids import make_token_hex

STATEMENTS_PATH = "/v1/statements"
KNOWN_CALLS = frozenset({("GET", "/metrics"), ("POST", STATEMENTS_PATH)})
ACCESS_HEADERS = {401: (("WWW-Authenticate", "Bearer"),)}
# Statements may wait for the platform, so a few of them must not block the others.
THREADS = 8
REQUEST_METRICS = frozenset(
    f"geraniumwell_{name}" for name in ("requests", "refusals", "retries")
)
STATUS_TEXTS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
STATUS_BY_CODE = {
    "change_conflict": 409,
    "outcome_unknown": 504,
    "peer_unreachable": 503,
    "platform_unavailable": 503,
}
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
HttpAnswer = tuple[int, str, bytes]


def read_counters() -> tuple[CounterSample, ...]:
    """Return this daemon's counters of requests, refusals and retries."""
    return tuple(
        CounterSample(sample.name, dict(sample.labels), sample.value)
        for metric in REGISTRY.collect()
        if metric.type == "counter" and metric.name in REQUEST_METRICS
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


def find_status(exc: GeraniumwellError) -> int:
    """Return the HTTP status for an error."""
    if exc.code in STATUS_BY_CODE:
        return STATUS_BY_CODE[exc.code]
    match exc:
        case StatementSyntaxError():
            return 400
        case ChangeError() | StatementRefusedError():
            return 422
    return 500


class OperatorApp:
    """WSGI application for operators.

    Parameters
    ----------
    cfg : Settings
        Settings with the operators' tokens.
    runner : StatementRunner
        Runs the statements.
    """

    __slots__ = ("_body_bytes", "_runner", "_tokens")

    def __init__(self, cfg: Settings, runner: StatementRunner) -> None:
        self._runner = runner
        self._tokens = cfg.operator_tokens
        self._body_bytes = cfg.limits.body_bytes

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        status, content_type, body = self._handle(environ)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        headers += ACCESS_HEADERS.get(status, ())
        start_response(f"{status} {STATUS_TEXTS[status]}", headers)
        return [body]

    def check_head(self, head: RequestHead) -> HeadVerdict:
        """Return whether the body of a request may be read."""
        author = self._find_author(head.headers.get("AUTHORIZATION", ""))
        refusal = _check_access(author, head.method, make_path_info(head.path))
        if refusal is None:
            return BodyAccepted(self._body_bytes - 1)
        status, _, body = refusal
        headers = ACCESS_HEADERS.get(status, ())
        return BodyRefused(status, RefusalReason.ACCESS, headers, body)

    def make_refusal(self, reason: RefusalReason, status: int) -> BodyRefused:
        """Return a refusal that the server itself sends."""
        text = f"the request was not complete ({reason.value})"
        _, _, body = _refuse(status, "request_refused", text)
        return BodyRefused(status, reason, body=body)

    def _handle(self, environ: dict[str, Any]) -> HttpAnswer:
        author = self._find_author(environ.get("HTTP_AUTHORIZATION", ""))
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        refusal = _check_access(author, method, path)
        if refusal is not None:
            return refusal
        if path == STATEMENTS_PATH:
            return self._handle_statements(environ, author)
        return 200, CONTENT_TYPE_LATEST, generate_latest()

    def _find_author(self, header: str) -> str | None:
        given = header.removeprefix("Bearer ").encode()
        for item in self._tokens:
            if compare_digest(given, item.token.encode()):
                return item.author
        return None

    def _handle_statements(self, environ: dict[str, Any], author: str) -> HttpAnswer:
        size = environ.get("CONTENT_LENGTH") or "0"
        if not size.isdecimal() or int(size) > self._body_bytes:
            text = f"the text is longer than {self._body_bytes} bytes"
            return _refuse(413, "body_too_large", text)
        name = "HTTP_" + ATTR_COMMAND_ID.upper().replace("-", "_")
        command_id = environ.get(name) or make_token_hex()
        if not fullmatch(r"[\w-]{1,64}", command_id, ASCII):
            text = f"{ATTR_COMMAND_ID}: expected up to 64 letters, digits, _ or -"
            return _refuse(400, "command_id_invalid", text)
        try:
            text = environ["wsgi.input"].read(int(size)).decode()
        except UnicodeDecodeError:
            return _refuse(400, "text_invalid", "the text is not UTF-8")
        status, reply = self._run(text, author, command_id)
        return status, "application/json", encode_json(reply)

    def _run(self, text: str, author: str, base_id: str) -> tuple[int, StatementsReply]:
        results: list[StatementReply] = []
        try:
            for index, statement in enumerate(parse_statements(text)):
                command_id = f"{base_id}.{index}" if index else base_id
                table = self._runner.run(statement, author, command_id)
                results.append(StatementReply(print_statement(statement), table))
        except GeraniumwellError as exc:
            error = ErrorReply(exc.code, str(exc), len(results))
            reply = StatementsReply(base_id, tuple(results), error)
            return find_status(exc), reply
        except Exception:
            logger.bind(command_id=base_id).exception("a statement failed")
            error = ErrorReply("error", "internal error; see the log", len(results))
            return 500, StatementsReply(base_id, tuple(results), error)
        return 200, StatementsReply(base_id, tuple(results))


def _check_access(author: str | None, method: str, path: str) -> HttpAnswer | None:
    """Return the refusal of a call, or None if it may be served."""
    if author is None:
        return _refuse(401, "unauthorised", "no settings name this token")
    if (method, path) not in KNOWN_CALLS:
        return _refuse(404, "not_found", f"expected POST {STATEMENTS_PATH}")
    return None


def _refuse(status: int, code: str, text: str) -> HttpAnswer:
    reply = StatementsReply("", error=ErrorReply(code, text))
    return status, "application/json", encode_json(reply)


class OperatorServer:
    """Owns the operators' listening socket and its threads.

    If the settings name certificates, it accepts TLS connections only.
    """

    __slots__ = ("_server", "_thread")

    def __init__(self, cfg: Settings, app: OperatorApp) -> None:
        _, limits = derive_server_limits(cfg.limits)
        options = IntakeOptions(
            "operators", limits, THREADS, app.check_head, app.make_refusal
        )
        if cfg.tls is not None:
            self._server: Any = TlsServer(cfg.listen.operators, cfg.tls, app, options)
        else:
            self._server = IntakeServer(app, cfg.listen.operators, options)
        self._thread = Thread(target=self._server.run, name="operators", daemon=True)

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.effective_port

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.request_drain()
