"""HTTP server for callers, which passes their requests to the dispatcher."""

from collections.abc import Callable, Iterable
from threading import Thread
from typing import Any, TypeVar

from loguru import logger
from pykka import ActorDeadError, ActorRef, Future, ThreadingFuture, Timeout
from waitress.task import ErrorTask
from waitress.utilities import InternalServerError

from geraniumwell.actors.intake.channel import IntakeChannel
from geraniumwell.actors.intake.server import IntakeOptions, IntakeServer
from geraniumwell.codec.http import (
    answer_readiness,
    answer_tickets,
    check_request_id,
    find_route,
    list_answer_headers,
    make_refusal,
    read_organisation,
    read_request,
    read_request_id,
    read_ticket_count,
    refuse_error,
    render_head,
)
from geraniumwell.codec.intake import make_path_info
from geraniumwell.commands.intake.serve_limits import derive_server_limits
from geraniumwell.const import (
    ATTR_CODE,
    ATTR_OUTCOME,
    ATTR_REQUEST_ID,
    RESPONSE_LIMIT_BYTES,
    STOP_LIMIT_SECONDS,
)
from geraniumwell.exceptions import CallerError
from geraniumwell.helpers.metrics import Metrics
from geraniumwell.messages.serving import (
    AskOutcome,
    IssueTickets,
    ReadReadiness,
    SubmitRequest,
)
from geraniumwell.model.intake import (
    BodyAccepted,
    BodyRefused,
    HeadVerdict,
    RefusalReason,
    RequestHead,
)
from geraniumwell.model.request import Answer, Outcome, RefusalCode
from geraniumwell.model.settings import Settings
from geraniumwell.util.clock import monotonic_seconds
from geraniumwell.util.ids import make_request_id

# The dispatcher answers by the deadline; no reply after this time means a failure.
REPLY_GRACE_SECONDS = 2.0
QUERY_SECONDS = 5.0
# Routes that need no token.
OPEN_ROUTES = frozenset({"healthz", "readyz"})
CODE_BY_REASON = {
    RefusalReason.MEMORY: RefusalCode.OVERLOADED,
    RefusalReason.CONNECTIONS: RefusalCode.OVERLOADED,
    RefusalReason.REQUEST_TIME: RefusalCode.DEADLINE_EXPIRED,
    RefusalReason.BODY_SIZE: RefusalCode.BODY_TOO_LARGE,
}
# Time for callers that have sent only part of a request to send the rest.
PARTIAL_REQUEST_SECONDS = 2.0
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
T = TypeVar("T")


class CallerApp:
    """WSGI application for callers.

    Parameters
    ----------
    cfg : Settings
        Settings with the callers' tokens.
    dispatcher : ActorRef
        Serves the requests.
    metrics : Metrics
        Counts requests that are refused before they reach the dispatcher.
    """

    __slots__ = ("_body_bytes", "_dispatcher", "_organisations", "metrics")

    def __init__(self, cfg: Settings, dispatcher: ActorRef, metrics: Metrics) -> None:
        self._body_bytes = cfg.limits.body_bytes - 1
        self._dispatcher = dispatcher
        self.metrics = metrics
        self._organisations = {t.token: t.organisation for t in cfg.caller_tokens}

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        answer = self._answer(environ)
        start_response(*render_head(answer))
        return [answer.body]

    def check_head(self, head: RequestHead) -> HeadVerdict:
        """Return whether the body of a request may be read.

        A refusal is the same as that of a request which has arrived completely.
        """
        environ = {f"HTTP_{name}": value for name, value in head.headers.items()}
        try:
            request_id = read_request_id(environ)
        except CallerError as exc:
            return self._refuse_body(make_request_id(), exc)
        try:
            route = find_route(head.method, make_path_info(head.path))
            if route.name not in OPEN_ROUTES:
                read_organisation(environ, self._organisations)
        except CallerError as exc:
            return self._refuse_body(request_id, exc)
        return BodyAccepted(self._body_bytes)

    def make_refusal(self, reason: RefusalReason, status: int) -> BodyRefused:
        """Return and count a refusal that the server itself sends."""
        code, message = CODE_BY_REASON[reason], "the request was not complete"
        self.metrics.count_refusal(code)
        answer = make_refusal(make_request_id(), code, status, message)
        headers = (
            (ATTR_REQUEST_ID, answer.request_id),
            (ATTR_OUTCOME, answer.outcome.value),
            (ATTR_CODE, code.value),
        )
        return BodyRefused(status, reason, headers, answer.body)

    def _answer(self, environ: dict[str, Any]) -> Answer:
        try:
            request_id = read_request_id(environ)
        except CallerError as exc:
            return self._refuse(make_request_id(), exc)
        try:
            return self._handle(environ, request_id)
        except CallerError as exc:
            return self._refuse(request_id, exc)
        except (Timeout, ActorDeadError):
            message = "the daemon gave no answer in time"
            code = RefusalCode.INTERNAL_ERROR
            return make_refusal(request_id, code, 504, message, Outcome.UNKNOWN)

    def _refuse(self, request_id: str, exc: CallerError) -> Answer:
        self.metrics.count_refusal(RefusalCode(exc.code))
        return refuse_error(request_id, exc)

    def _refuse_body(self, request_id: str, exc: CallerError) -> BodyRefused:
        answer = self._refuse(request_id, exc)
        headers = tuple(list_answer_headers(answer))
        return BodyRefused(answer.status, RefusalReason.ACCESS, headers, answer.body)

    def _handle(self, environ: dict[str, Any], request_id: str) -> Answer:
        route = find_route(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route.name == "healthz":
            return Answer(request_id, Outcome.RAN, 200, b"ok\n", "text/plain")
        if route.name == "readyz":
            readiness = self._ask(ReadReadiness, QUERY_SECONDS)
            return answer_readiness(request_id, readiness)
        organisation = read_organisation(environ, self._organisations)
        match route.name:
            case "tickets":
                count = read_ticket_count(environ["wsgi.input"].read())
                tickets = self._ask(
                    lambda reply: IssueTickets(organisation, count, reply),
                    QUERY_SECONDS,
                )
                return answer_tickets(request_id, tickets)
            case "outcomes":
                ticket = check_request_id(route.rest)
                return self._ask(
                    lambda reply: AskOutcome(organisation, ticket, reply),
                    QUERY_SECONDS,
                )
            case _:
                return self._submit(environ, request_id, organisation, route.rest)

    def _submit(
        self, environ: dict[str, Any], request_id: str, organisation: str, service: str
    ) -> Answer:
        now = monotonic_seconds()
        req = read_request(environ, request_id, organisation, service, now)
        return self._ask(
            lambda reply: SubmitRequest(req, reply),
            req.deadline - now + REPLY_GRACE_SECONDS,
        )

    def _ask(self, make_message: Callable[[Future[T]], Any], seconds: float) -> T:
        reply: ThreadingFuture[T] = ThreadingFuture()
        self._dispatcher.tell(make_message(reply))
        return reply.get(timeout=seconds)


class CallerErrorTask(ErrorTask):
    """Task for a request that waitress itself refuses."""

    def execute(self) -> None:
        """Send the refusal with the headers that all responses carry."""
        outcome, code = Outcome.NOT_RUN, RefusalCode.MALFORMED
        if isinstance(self.request.error, InternalServerError):
            outcome, code = Outcome.UNKNOWN, RefusalCode.INTERNAL_ERROR
        elif self.request.error.code == 413:
            code = RefusalCode.BODY_TOO_LARGE
        self.channel.server.application.metrics.count_refusal(code)
        self.response_headers += [
            (ATTR_REQUEST_ID, make_request_id()),
            (ATTR_OUTCOME, outcome.value),
            (ATTR_CODE, code.value),
        ]
        super().execute()


class CallerChannel(IntakeChannel):
    """Connection of one caller."""

    error_task_class = CallerErrorTask


class CallerWsgiServer(IntakeServer):
    """Server whose own refusals carry the headers that all responses carry."""

    channel_class = CallerChannel


class CallerServer:
    """Owns the callers' listening socket and its threads.

    Each connection has its own thread, so that no request waits in a queue of the
    server, which admission control can't see.
    """

    __slots__ = ("_server", "_thread")

    def __init__(self, cfg: Settings, app: CallerApp) -> None:
        self._server = make_server(cfg, app)
        self._thread = Thread(target=self._server.run, name="callers", daemon=True)

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def drain(self) -> None:
        """Close the listening socket and wait until the requests in progress end."""
        self._server.request_drain()
        self._thread.join(PARTIAL_REQUEST_SECONDS)
        if self._thread.is_alive():
            self._server.request_end_of_partial()
            self._thread.join(STOP_LIMIT_SECONDS)
        if self._thread.is_alive():
            logger.warning("callers' connections were still open at the time limit")
        self._server.task_dispatcher.shutdown()


def make_server(cfg: Settings, app: CallerApp) -> CallerWsgiServer:
    """Return the waitress server for callers."""
    limits, _ = derive_server_limits(cfg.limits)
    options = IntakeOptions(
        "callers", limits, limits.connections, app.check_head, app.make_refusal
    )
    return CallerWsgiServer(
        app, cfg.listen.callers, options, outbuf_overflow=RESPONSE_LIMIT_BYTES * 2
    )
