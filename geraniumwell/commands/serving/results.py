"""Results of attempts: what is learned, what is retried, what is answered."""

from geraniumwell.commands.serving.answers import give_answer, give_failure
from geraniumwell.commands.serving.dispatch import queue_request
from geraniumwell.commands.serving.health import note_failure, note_success
from geraniumwell.commands.serving.learning import learn_time
from geraniumwell.commands.serving.leaving import update_leaving
from geraniumwell.commands.serving.retries import take_retry
from geraniumwell.commands.serving.sending import close_flight
from geraniumwell.commands.serving.slots import hold_slot
from geraniumwell.model.request import Answer, Outcome, RefusalCode
from geraniumwell.model.serving import (
    Answered,
    AttemptResult,
    EndpointState,
    ForwardAnswered,
    ForwardLost,
    ForwardNotSent,
    InFlightAttempt,
    Lost,
    NotSent,
    PendingRequest,
    ServingEffect,
    ServingState,
)

STATUS_ERROR_MIN = 500


def take_result(
    state: ServingState, flight: InFlightAttempt, result: AttemptResult, now: float
) -> list[ServingEffect]:
    """Take the result of an attempt: retry its request or answer it."""
    ep = close_flight(state, flight)
    _learn(state, flight, ep, result, now)
    pending = flight.pending
    is_not_run = _is_certainly_not_run(result)
    if not is_not_run:
        pending.may_have_run = True
    if pending.is_answered:
        return []
    if not _is_final(result) and take_retry(state, pending, is_not_run, now):
        pending.avoid.add(flight.target)
        # The window ended with the first start; the caller's deadline still holds.
        pending.start_by = pending.req.deadline
        queue_request(state, state.services[pending.req.service], pending, True)
        return []
    return [_answer(state, pending, result)]


def _is_certainly_not_run(result: AttemptResult) -> bool:
    match result:
        case NotSent() | ForwardNotSent():
            return True
        case Answered(not_run=not_run):
            return not_run
        case ForwardAnswered(answer):
            return answer.outcome is Outcome.NOT_RUN
    return False


def _is_final(result: AttemptResult) -> bool:
    """Return whether the result is an answer that a retry would not improve."""
    match result:
        case Answered(status=status, not_run=not_run):
            return not not_run and status < STATUS_ERROR_MIN
        case ForwardAnswered(answer):
            return answer.outcome is not Outcome.NOT_RUN
    return False


def _answer(
    state: ServingState, pending: PendingRequest, result: AttemptResult
) -> ServingEffect:
    req = pending.req
    match result:
        case Answered(status, body, content_type, False, _):
            answer = Answer(req.request_id, Outcome.RAN, status, body, content_type)
            return give_answer(state, pending, answer)
        case ForwardAnswered(answer):
            return give_answer(state, pending, answer)
    return give_failure(state, pending, RefusalCode.ENDPOINT_FAILED)


def _learn(
    state: ServingState,
    flight: InFlightAttempt,
    ep: EndpointState | None,
    result: AttemptResult,
    now: float,
) -> None:
    """Take what the result tells of the endpoint and of the class."""
    if ep is None:
        return
    svc = state.services[flight.pending.req.service]
    match result:
        case Answered(status=status, not_run=not_run, leaving=leaving):
            ep.is_leaving_by_itself = leaving
            update_leaving(state, ep, now)
            if not_run or status >= STATUS_ERROR_MIN:
                if not leaving:
                    note_failure(state, svc, ep, True, now)
                return
            note_success(ep, now)
            learn_time(svc, flight.class_name, now - flight.sent_at)
        case NotSent():
            note_failure(state, svc, ep, False, now)
        case Lost():
            hold_slot(svc, ep, flight, now)
            # One silent connection is no fault of an endpoint that answers others.
            if ep.last_answer_at < flight.sent_at:
                note_failure(state, svc, ep, False, now)
        case ForwardAnswered() | ForwardNotSent() | ForwardLost():
            return
