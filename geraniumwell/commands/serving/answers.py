"""Responses to callers; each request gets exactly one."""

from dataclasses import replace

from geraniumwell.model.request import Answer, Outcome, RefusalCode, Request
from geraniumwell.model.serving import PendingRequest, SendAnswer, ServingState
from geraniumwell.util.invariants import check_invariant

STATUS_BY_CODE = {
    RefusalCode.CLASS_UNKNOWN: 400,
    RefusalCode.DUPLICATE_IN_PROGRESS: 409,
    RefusalCode.SERVICE_UNKNOWN: 404,
}
STATUS_UNAVAILABLE = 503
STATUS_NO_ANSWER = 504


def refuse_request(req: Request, code: RefusalCode) -> SendAnswer:
    """Refuse a request before it is opened.

    A duplicate gets the outcome ``unknown``, because the request with the same id may
    be running.
    """
    is_duplicate = code is RefusalCode.DUPLICATE_IN_PROGRESS
    outcome = Outcome.UNKNOWN if is_duplicate else Outcome.NOT_RUN
    status = STATUS_BY_CODE.get(code, STATUS_UNAVAILABLE)
    return SendAnswer(Answer(req.request_id, outcome, status, code=code), req)


def fail_request(
    state: ServingState,
    pending: PendingRequest,
    code: RefusalCode,
    retry_after: float | None = None,
) -> SendAnswer:
    """Answer that a request did not run, or ``unknown`` if it may have run."""
    may_run = pending.may_have_run or pending.open_attempts > 0
    answer = Answer(
        pending.req.request_id,
        Outcome.UNKNOWN if may_run else Outcome.NOT_RUN,
        STATUS_NO_ANSWER if may_run else STATUS_UNAVAILABLE,
        code=code,
        retry_after_seconds=retry_after,
    )
    return answer_request(state, pending, answer)


def answer_request(
    state: ServingState, pending: PendingRequest, answer: Answer
) -> SendAnswer:
    """Answer a request and close it."""
    req = pending.req
    may_run = pending.may_have_run or pending.open_attempts > 0
    if answer.outcome is Outcome.NOT_RUN and pending.may_have_run:
        # An earlier attempt may have run, whatever the last one or a peer reports.
        answer = replace(answer, outcome=Outcome.UNKNOWN, status=STATUS_NO_ANSWER)
    check_invariant(
        "one answer per request",
        not pending.is_answered,
        lambda: f"request {req.request_id} is already answered",
    )
    check_invariant(
        "not run is true",
        answer.outcome is not Outcome.NOT_RUN or not may_run,
        lambda: f"request {req.request_id} may have run or be running",
    )
    check_invariant(
        "an answer goes to its own request",
        answer.request_id == req.request_id,
        lambda: f"response to {answer.request_id} for request {req.request_id}",
    )
    pending.is_answered = True
    del state.open_requests[(req.organisation, req.request_id)]
    return SendAnswer(answer, req)
