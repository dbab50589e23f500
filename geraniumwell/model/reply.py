"""Replies to the statements of operators."""

from dataclasses import dataclass

from geraniumwell.model.table import Table


@dataclass(slots=True, frozen=True)
class StatementReply:
    """Result of one statement; ``statement`` is in the printer's canonical form."""

    statement: str
    table: Table


@dataclass(slots=True, frozen=True)
class ErrorReply:
    """Error of the statement at which execution stopped; ``index`` starts at 0."""

    code: str
    message: str
    index: int = 0


@dataclass(slots=True, frozen=True)
class StatementsReply:
    """Results of the statements before the first error, and the error if any."""

    command_id: str
    results: tuple[StatementReply, ...] = ()
    error: ErrorReply | None = None
