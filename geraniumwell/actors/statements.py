"""Execution of statements for operators and for peers."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from loguru import logger
from pykka import ActorRef, ThreadingActor, ThreadingFuture

from geraniumwell.actors.job_statements import (
    JobStatements,
    make_job,
    read_peer_answer,
    send_to_all,
)
from geraniumwell.actors.reply_mailbox import ReplyMailbox, wait_for
from geraniumwell.codec.config import (
    HISTORY_PREFIX,
    decode_records,
    make_history_prefix,
    make_version_key,
)
from geraniumwell.codec.json import encode_json
from geraniumwell.commands.config.apply import find_change_name
from geraniumwell.commands.config.validate import check_known
from geraniumwell.const import STATEMENT_PEER_SECONDS, STATEMENT_SECONDS
from geraniumwell.exceptions import GeraniumwellError, StatementRefusedError
from geraniumwell.language.ast import (
    CancelGang,
    ChangeConfiguration,
    History,
    Show,
    Statement,
    SubmitGang,
    WhatIf,
    WhyJob,
    WhyRefused,
)
from geraniumwell.language.parser import parse_statements
from geraniumwell.messages.operators import (
    ChangeApplied,
    ChangeConflict,
    ChangeOutcomeUnknown,
    ChangeRefused,
    ChangeResult,
    ManagerState,
    ReadState,
    SubmitChange,
)
from geraniumwell.messages.peer import (
    PeerRequestReceived,
    RunStatement,
    StatementResult,
)
from geraniumwell.messages.platform import ReadRows, RowsRead
from geraniumwell.model.change import Change
from geraniumwell.model.settings import Settings
from geraniumwell.model.table import Table, make_table
from geraniumwell.queries.history import describe_conflict, show_history
from geraniumwell.queries.refusals import (
    CounterSample,
    explain_refusals,
    show_requests,
)
from geraniumwell.queries.show import show_configured, show_version, show_vm_versions
from geraniumwell.queries.what_if import preview_change, preview_submission
from geraniumwell.util.clock import wall_seconds

HISTORY_LIMIT = 100
ReadCounters = Callable[[], tuple[CounterSample, ...]]


class StatementRunner:
    """Runs statements in the thread of the caller.

    It has no state of its own and queries the actors that own the state.

    Parameters
    ----------
    cfg : Settings
        Settings of this daemon.
    config_manager : ActorRef
        Configuration manager.
    link : ActorRef
        Platform link for reading the history.
    decider : ActorRef or None
        The decider in this daemon.
    read_counters : callable
        Returns the counters of this daemon.
    """

    __slots__ = ("_cfg", "_config_manager", "_link", "_jobs", "_read_counters")

    def __init__(
        self,
        cfg: Settings,
        config_manager: ActorRef,
        link: ActorRef,
        decider: ActorRef | None,
        read_counters: ReadCounters,
    ) -> None:
        self._cfg = cfg
        self._config_manager = config_manager
        self._link = link
        self._jobs = JobStatements(cfg.data_centre, decider)
        self._read_counters = read_counters

    def run(self, statement: Statement, author: str, command_id: str) -> Table:
        """Return the result of an operator's statement.

        Parameters
        ----------
        statement : Statement
            The statement.
        author : str
            Author of the statement.
        command_id : str
            Repeating a command with the same id has no second effect.

        Raises
        ------
        GeraniumwellError
            If the statement is refused or its outcome is unknown.
        """
        match statement:
            case ChangeConfiguration(change, reason):
                return self._change(change, author, reason, command_id)
            case SubmitGang(job_id=None):
                state = self._read_state()
                known = state.cfg.organisations
                check_known("organisations", statement.organisation, known)
                job_id = f"{statement.data_centre}.{command_id}"
                named = replace(statement, job_id=job_id)
                return self._jobs.run(named, author, wall_seconds(), state)
            case SubmitGang():
                text = "a daemon gives each job its id, so leave the name out"
                raise StatementRefusedError("job_id_given", text)
            case CancelGang() | WhyJob():
                state = self._read_state()
                return self._jobs.run(statement, author, wall_seconds(), state)
            case WhatIf(command):
                return self._preview(command, author)
            case _:
                return self._query(statement, author)

    def run_for_peer(self, text: str, author: str) -> Table:
        """Return the result of a statement that a peer sent, without forwarding it.

        Raises
        ------
        GeraniumwellError
            If the statement is refused or its outcome is unknown.
        """
        for statement in parse_statements(text):
            if statement == Show("config"):
                return self._query(statement, author)
            return self._jobs.run_here(statement, author, wall_seconds())
        return Table()

    def _read_state(self) -> ManagerState:
        reply: ThreadingFuture[ManagerState] = ThreadingFuture()
        self._config_manager.tell(ReadState(reply))
        return wait_for(reply, STATEMENT_SECONDS)

    def _change(
        self, change: Change, author: str, reason: str, command_id: str
    ) -> Table:
        reply: ThreadingFuture[ChangeResult] = ThreadingFuture()
        # The same id from another author denotes another command.
        own_id = f"{author}:{command_id}"
        self._config_manager.tell(SubmitChange(change, author, reason, own_id, reply))
        match wait_for(reply, STATEMENT_SECONDS):
            case ChangeApplied(version):
                name = find_change_name(change)
                return make_table("name result version", [(name, "applied", version)])
            case ChangeRefused(code, text):
                raise StatementRefusedError(code, text)
            case ChangeConflict(base, version, records):
                text = describe_conflict(base, version, records)
                raise StatementRefusedError("change_conflict", text)
            case ChangeOutcomeUnknown():
                text = (
                    "the platform gave no answer, so the change may or may not take "
                    "effect; repeating it with the same command id has no second effect"
                )
                raise StatementRefusedError("outcome_unknown", text)
        raise StatementRefusedError("error", "the change returned an unknown result")

    def _query(self, statement: Statement, author: str) -> Table:
        match statement:
            case History(name):
                return self._show_history(name)
            case WhyRefused():
                return explain_refusals(self._read_counters())
            case Show("requests"):
                return show_requests(self._read_counters())
            case Show("jobs"):
                state = self._read_state()
                return self._jobs.list_all(author, wall_seconds(), state)
            case Show("config", True):
                return self._show_where(author)
            case Show("config"):
                state = self._read_state()
                return show_version(state.cfg, state.records)
            case Show(kind):
                return show_configured(self._read_state().cfg, kind, wall_seconds())
        raise StatementRefusedError("error", "not a query")

    def _show_where(self, author: str) -> Table:
        state = self._read_state()
        mailboxes = send_to_all(state.links, "show config", author)
        versions: dict[str, int | None] = {self._cfg.vm: state.cfg.version}
        for vm, mailbox in mailboxes.items():
            try:
                table = read_peer_answer(mailbox.wait(2 * STATEMENT_PEER_SECONDS))
                versions[vm] = int(table.rows[0]["version"] or 0)
            except GeraniumwellError:
                versions[vm] = None
        centres = state.data_centres | {self._cfg.vm: self._cfg.data_centre}
        return show_vm_versions(versions, centres)

    def _show_history(self, name: str | None) -> Table:
        state = self._read_state()
        if name is None:
            prefix = HISTORY_PREFIX
            newest = max(0, state.cfg.version - HISTORY_LIMIT)
            after = make_version_key(prefix, newest)
        else:
            prefix, after = make_history_prefix(name), ""
        mailbox = ReplyMailbox()
        self._link.tell(ReadRows("history", mailbox, prefix, after))  # type: ignore[arg-type]
        match mailbox.wait(STATEMENT_SECONDS):
            case RowsRead(_, rows):
                return show_history(decode_records(rows, prefix))
        known = tuple(
            record
            for record in state.records
            if name is None or find_change_name(record.change) == name
        )
        note = "the platform can't be reached; older changes are not shown"
        return show_history(known, note)

    def _preview(self, command: Any, author: str) -> Table:
        state = self._read_state()
        match command:
            case ChangeConfiguration(change, _):
                vms = frozenset({self._cfg.vm, *state.links})
                return preview_change(state.cfg, change, wall_seconds(), vms)
            case CancelGang(job_id, _):
                table = self._jobs.run(WhyJob(job_id), author, wall_seconds(), state)
                lines = (f"job {job_id} would be cancelled", *table.lines)
                return Table(table.columns, table.rows, lines)
            case SubmitGang():
                now = wall_seconds()
                return preview_submission(state.cfg, make_job(command, now), now)
        raise StatementRefusedError("error", "not a command")


class StatementServer(ThreadingActor):
    """Starts an actor for each statement of a peer, so that they run in parallel."""

    use_daemon_thread = True

    def __init__(self, runner: StatementRunner) -> None:
        super().__init__()
        self._runner = runner

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case PeerRequestReceived(RunStatement()):
                StatementTask.start(self._runner).tell(message)


class StatementTask(ThreadingActor):
    """Runs one statement of a peer, then stops."""

    use_daemon_thread = True

    def __init__(self, runner: StatementRunner) -> None:
        super().__init__()
        self._runner = runner

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case PeerRequestReceived(RunStatement(text, author), reply):
                reply.set(self._run(text, author))
                self.stop()

    def _run(self, text: str, author: str) -> StatementResult:
        try:
            table = self._runner.run_for_peer(text, author)
        except GeraniumwellError as exc:
            return StatementResult(error_code=exc.code, error_message=str(exc))
        except Exception:
            # Without a reply the peer would wait until its timeout.
            logger.exception("a statement of a peer failed")
            return StatementResult(error_code="error", error_message="internal error")
        return StatementResult(json_text=encode_json(table).decode())
