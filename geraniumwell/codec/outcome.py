"""Responses about tickets: outcomes, and refusals to run a ticket again."""

from dataclasses import dataclass

from geraniumwell.codec.http import CONTENT_JSON
from geraniumwell.codec.json import encode_json
from geraniumwell.model.execution import (
    Ended,
    Expired,
    InProgress,
    NotIssued,
    RetentionExpired,
    TicketState,
    Unused,
)
from geraniumwell.model.request import Answer, Outcome, RefusalCode
from geraniumwell.queries.outcome import STATUS_NOT_ENDED


@dataclass(slots=True, frozen=True)
class OutcomeBody:
    """Body of a response about a ticket; ``status`` is that of the endpoint."""

    request_id: str
    state: str
    outcome: Outcome
    status: int | None = None
    message: str = ""


def answer_outcome(request_id: str, state: TicketState | None) -> Answer:
    """Return the response to an outcome query.

    Parameters
    ----------
    state : TicketState or None
        None if no reachable daemon knows the outcome.
    """
    match state:
        case Ended(outcome, status) if status != STATUS_NOT_ENDED:
            return _describe(request_id, 200, "ended", outcome, status)
        case Ended(outcome, _):
            return _describe(request_id, 200, "open", outcome)
        case InProgress():
            return _describe(request_id, 200, "in progress", Outcome.UNKNOWN)
        case Unused():
            return _describe(request_id, 200, "unused", Outcome.UNKNOWN)
        case Expired():
            return _describe(request_id, 200, "expired unused", Outcome.NOT_RUN)
        case RetentionExpired():
            code = RefusalCode.TICKET_EXPIRED
            return _describe(request_id, 410, "forgotten", Outcome.UNKNOWN, code=code)
        case NotIssued():
            code = RefusalCode.TICKET_UNKNOWN
            return _describe(request_id, 404, "not issued", Outcome.NOT_RUN, code=code)
        case None:
            code = RefusalCode.ISSUER_UNREACHABLE
            return _describe(request_id, 503, "not known", Outcome.UNKNOWN, code=code)


def answer_not_ticket(request_id: str) -> Answer:
    """Return the response to an outcome query for an id that is not a ticket."""
    code = RefusalCode.TICKET_UNKNOWN
    return _describe(request_id, 404, "no ticket", Outcome.UNKNOWN, code=code)


def answer_presented(request_id: str, state: TicketState | None) -> Answer:
    """Return the response to a request that must not run because of its ticket.

    Parameters
    ----------
    request_id : str
        The ticket.
    state : TicketState or None
        None if the issuer is gone or unreachable and no copy of the outcome is known.
    """
    message = "the issuer of the ticket can't be reached, and the work may have run"
    code, status, outcome = RefusalCode.ISSUER_UNREACHABLE, 504, Outcome.UNKNOWN
    retry_after: float | None = None
    ended_status: int | None = None
    match state:
        case Ended(ended, ended_status):
            code, status, outcome = RefusalCode.TICKET_USED, 409, ended
            message = "the ticket was used before; this is its recorded outcome"
        case InProgress():
            code, status, retry_after = RefusalCode.DUPLICATE_IN_PROGRESS, 409, 1.0
            message = "the ticket was presented before and its request is in progress"
        case Expired():
            code, status, outcome = RefusalCode.TICKET_EXPIRED, 410, Outcome.NOT_RUN
            message = "the ticket was not presented while it was valid"
        case RetentionExpired():
            code, status = RefusalCode.TICKET_EXPIRED, 410
            message = "the ticket is too old for its issuer to remember its use"
        case NotIssued():
            code, status, outcome = RefusalCode.TICKET_UNKNOWN, 404, Outcome.NOT_RUN
            message = "no such ticket was issued to the organisation"
    return _describe(
        request_id,
        status,
        "refused",
        outcome,
        ended_status,
        code,
        message,
        retry_after,
    )


def _describe(
    request_id: str,
    status: int,
    state: str,
    outcome: Outcome,
    ended_status: int | None = None,
    code: RefusalCode | None = None,
    message: str = "",
    retry_after_seconds: float | None = None,
) -> Answer:
    body = encode_json(OutcomeBody(request_id, state, outcome, ended_status, message))
    return Answer(
        request_id, outcome, status, body, CONTENT_JSON, code, retry_after_seconds
    )
