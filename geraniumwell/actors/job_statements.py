"""Job statements, carried out by the decider here or through another daemon."""

from collections.abc import Iterator
from typing import Any

from pykka import ActorRef, ThreadingFuture

from geraniumwell.actors.reply_box import ReplyBox, wait_for
from geraniumwell.codec.json import decode_json
from geraniumwell.const import STATEMENT_PEER_SECONDS, STATEMENT_SECONDS
from geraniumwell.exceptions import (
    GeraniumwellError,
    ReplyTimeoutError,
    StatementRefusedError,
)
from geraniumwell.helpers.gang_metrics import count_job_refusal
from geraniumwell.language.ast import CancelGang, Show, Statement, SubmitGang, WhyJob
from geraniumwell.language.printer import print_statement
from geraniumwell.messages.gangs import (
    CancelJob,
    ExplainJob,
    JobAccepted,
    JobOutcomeUnknown,
    JobRefused,
    ListJobs,
    SubmitJob,
    SubmitResult,
)
from geraniumwell.messages.operators import KeeperState
from geraniumwell.messages.peer import (
    CallPeer,
    PeerAnswered,
    PeerFailed,
    RunStatement,
    StatementResult,
)
from geraniumwell.model.job import Job
from geraniumwell.model.table import Table, make_table
from geraniumwell.queries.show import show_jobs

CODE_NOT_DECIDER = "not_decider"
CODE_JOB_UNKNOWN = "job_unknown"
CODE_UNREACHABLE = "peer_unreachable"
CODE_UNKNOWN = "outcome_unknown"
# After these answers another daemon may still be the one that knows the job.
CODES_OF_NO_DECISION = frozenset(
    {CODE_NOT_DECIDER, CODE_JOB_UNKNOWN, CODE_UNREACHABLE, CODE_UNKNOWN}
)
JobStatement = SubmitGang | CancelGang | WhyJob


class JobStatements:
    """Carries out job statements; used by threads that serve operators and peers.

    Parameters
    ----------
    data_centre : str
        Data centre of this daemon.
    decider : ActorRef or None
        Decider of this daemon.
    """

    __slots__ = ("_data_centre", "_decider")

    def __init__(self, data_centre: str, decider: ActorRef | None) -> None:
        self._data_centre = data_centre
        self._decider = decider

    def run_here(self, statement: Statement, author: str, now: float) -> Table:
        """Return the result of the decider of this daemon.

        Raises
        ------
        StatementRefusedError
            If the decider refuses or is not in charge.
        """
        reply: ThreadingFuture[Any] = ThreadingFuture()
        match statement:
            case SubmitGang():
                message = SubmitJob(make_job(statement, now), reply)
                return _read_result(self._ask(message, reply))
            case CancelGang(job_id, reason):
                message = CancelJob(job_id, author, reason, reply)
                return _read_result(self._ask(message, reply))
            case WhyJob(job_id):
                explanation = self._ask(ExplainJob(job_id, reply), reply)
                if explanation.record is None:
                    text = f"job {job_id} is not known here"
                    raise StatementRefusedError(CODE_JOB_UNKNOWN, text)
                table = show_jobs([explanation.record])
                return Table(table.columns, table.rows, explanation.lines)
            case Show("jobs"):
                return show_jobs(list(self._ask(ListJobs(reply), reply)))
        text = f"not a statement for another daemon: {print_statement(statement)}"
        raise StatementRefusedError("statement_not_forwarded", text)

    def _ask(self, message: Any, reply: Any) -> Any:
        if self._decider is None:
            text = "this daemon decides for no data centre"
            raise StatementRefusedError(CODE_NOT_DECIDER, text)
        self._decider.tell(message)
        return wait_for(reply, STATEMENT_SECONDS)

    def run(
        self, statement: JobStatement, author: str, now: float, state: KeeperState
    ) -> Table:
        """Return the result of the first daemon that decides.

        A submission may safely go to a second daemon, because repeating it with the
        same job id has no effect.

        Raises
        ------
        StatementRefusedError
            If a decider refuses or none answers.
        """
        error: GeraniumwellError = StatementRefusedError(
            "data_centre_unreachable", "no daemon of the job's data centre is known"
        )
        is_sent = False
        for vm in self._list_candidates(statement, state):
            try:
                if vm is None:
                    return self.run_here(statement, author, now)
                return call_peer(state.links[vm], statement, author)
            except (StatementRefusedError, ReplyTimeoutError) as exc:
                if exc.code not in CODES_OF_NO_DECISION:
                    raise
                is_sent = is_sent or exc.code == CODE_UNKNOWN
                error = exc
        if is_sent:
            text = "a daemon gave no answer; the statement may or may not take effect"
            raise StatementRefusedError(CODE_UNKNOWN, text)
        raise error

    def _list_candidates(
        self, statement: JobStatement, state: KeeperState
    ) -> Iterator[str | None]:
        if isinstance(statement, SubmitGang):
            wanted = statement.data_centre
            if wanted == self._data_centre:
                yield None
            peers = [vm for vm, dc in state.data_centres.items() if dc == wanted]
        else:
            yield None
            # A job id begins with the data centre that decides on it.
            peers = sorted(
                state.data_centres,
                key=lambda vm: not statement.job_id.startswith(state.data_centres[vm]),
            )
        yield from (vm for vm in peers if vm in state.links)

    def list_all(self, author: str, now: float, state: KeeperState) -> Table:
        """Return the jobs that any daemon knows, and which daemons gave no answer."""
        lines: list[str] = []
        boxes = send_to_all(state.links, "show jobs", author)
        tables: list[Table] = []
        try:
            tables.append(self.run_here(Show("jobs"), author, now))
        except (StatementRefusedError, ReplyTimeoutError) as exc:
            if exc.code != CODE_NOT_DECIDER:
                lines.append(str(exc))
        for vm, box in boxes.items():
            try:
                tables.append(read_peer_answer(box.wait(2 * STATEMENT_PEER_SECONDS)))
            except (StatementRefusedError, ReplyTimeoutError) as exc:
                if exc.code != CODE_NOT_DECIDER:
                    lines.append(f"{vm}: {exc}")
        rows = {row["job"]: row for table in tables for row in table.rows}
        return Table(show_jobs([]).columns, tuple(rows.values()), tuple(lines))


def make_job(statement: SubmitGang, now: float) -> Job:
    """Return the job that a submission describes; ``now`` is Unix seconds."""
    return Job(
        job_id=statement.job_id or "",
        organisation=statement.organisation,
        data_centre=statement.data_centre,
        shape=statement.shape,
        declared_seconds=statement.declared_seconds,
        interruption=statement.interruption,
        submitted_at=now,
        urgent=statement.urgent,
        guaranteed=statement.guaranteed,
    )


def _read_result(result: SubmitResult) -> Table:
    match result:
        case JobAccepted(job_id):
            return make_table("job result", [(job_id, "accepted")])
        case JobRefused(job_id, code, reason):
            count_job_refusal(code)
            raise StatementRefusedError(code, f"job {job_id}: {reason}")
        case JobOutcomeUnknown(job_id, reason):
            raise StatementRefusedError(CODE_UNKNOWN, f"job {job_id}: {reason}")


def send_to_all(
    links: dict[str, ActorRef], text: str, author: str
) -> dict[str, ReplyBox]:
    """Send a statement to all peers at once; return where their answers arrive."""
    boxes = {vm: ReplyBox() for vm in links}
    for vm, link in links.items():
        body = RunStatement(text, author)
        link.tell(CallPeer("statement", body, STATEMENT_PEER_SECONDS, boxes[vm]))
    return boxes


def call_peer(link: ActorRef, statement: Statement, author: str) -> Table:
    """Return the result of a statement that a peer carries out.

    Raises
    ------
    StatementRefusedError
        If the peer refuses or gives no answer.
    """
    box = ReplyBox()
    body = RunStatement(print_statement(statement), author)
    link.tell(CallPeer("statement", body, STATEMENT_SECONDS, box))
    return read_peer_answer(box.wait(STATEMENT_SECONDS + STATEMENT_PEER_SECONDS))


def read_peer_answer(message: Any) -> Table:
    """Return the table in a peer's answer.

    Raises
    ------
    StatementRefusedError
        If the peer refused or gave no answer.
    """
    match message:
        case PeerAnswered(_, _, StatementResult("", code, text)):
            raise StatementRefusedError(code, text)
        case PeerAnswered(_, _, StatementResult(json_text, _, _)):
            return decode_json(json_text, Table)
        case PeerFailed(_, vm, is_sent, reason):
            code = CODE_UNKNOWN if is_sent else CODE_UNREACHABLE
            raise StatementRefusedError(code, f"daemon {vm} gave no answer: {reason}")
    raise StatementRefusedError(CODE_UNREACHABLE, "the peer answered something else")
