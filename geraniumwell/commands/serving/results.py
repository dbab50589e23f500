"""Handling of attempt results: statistics, retries and responses."""

from geraniumwell.commands.serving.answers import answer_request, fail_request
from geraniumwell.commands.serving.dispatch import queue_request
from geraniumwell.commands.serving.health import record_failure, record_success
from geraniumwell.commands.serving.leaving import update_leaving
from geraniumwell.commands.serving.retries import consume_retry_token
from geraniumwell.commands.serving.sending import close_attempt
from geraniumwell.commands.serving.service_times import record_service_time
from geraniumwell.commands.serving.slots import hold_lost_slot
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

SERVER_ERROR_STATUS_MIN = 500


def process_result(
    state: ServingState, attempt: InFlightAttempt, result: AttemptResult, now: float
) -> list[ServingEffect]:
    """Process the result of an attempt: retry its request or answer it."""
    ep = close_attempt(state, attempt)
    _record_result(state, attempt, ep, result, now)
    pending = attempt.pending
    is_not_run = _is_known_not_run(result)
    if not is_not_run:
        pending.may_have_run = True
    if pending.is_answered:
        return []
    if not _is_final(result) and consume_retry_token(state, pending, is_not_run, now):
        pending.failed_targets.add(attempt.target)
        # The window limits only the first start; a retry is limited by the deadline.
        pending.start_by = pending.req.deadline
        queue_request(state, state.services[pending.req.service], pending, True)
        return []
    return [_answer(state, pending, result)]


def _is_known_not_run(result: AttemptResult) -> bool:
    match result:
        case NotSent() | ForwardNotSent():
            return True
        case Answered(not_run=not_run):
            return not_run
        case ForwardAnswered(answer):
            return answer.outcome is Outcome.NOT_RUN
    return False


def _is_final(result: AttemptResult) -> bool:
    """Return whether the result is a response that a retry would not improve."""
    match result:
        case Answered(status=status, not_run=not_run):
            return not not_run and status < SERVER_ERROR_STATUS_MIN
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
            return answer_request(state, pending, answer)
        case ForwardAnswered(answer):
            return answer_request(state, pending, answer)
    return fail_request(state, pending, RefusalCode.ENDPOINT_FAILED)


def _record_result(
    state: ServingState,
    attempt: InFlightAttempt,
    ep: EndpointState | None,
    result: AttemptResult,
    now: float,
) -> None:
    """Update the endpoint's health and the class's service time from a result."""
    if ep is None:
        return
    svc = state.services[attempt.pending.req.service]
    match result:
        case Answered(status=status, not_run=not_run, leaving=leaving):
            ep.has_reported_leaving = leaving
            update_leaving(state, ep, now)
            if not_run or status >= SERVER_ERROR_STATUS_MIN:
                if not leaving:
                    record_failure(state, svc, ep, True, now)
                return
            record_success(ep, now)
            record_service_time(svc, attempt.class_name, now - attempt.sent_at)
        case NotSent():
            record_failure(state, svc, ep, False, now)
        case Lost():
            hold_lost_slot(svc, ep, attempt, now)
            # A lost attempt is no failure of an endpoint that answered others since.
            if ep.last_answer_at < attempt.sent_at:
                record_failure(state, svc, ep, False, now)
        case ForwardAnswered() | ForwardNotSent() | ForwardLost():
            return
