"""Conversion of worker responses and failed calls into messages for the scheduler."""

from geraniumwell.actors.batch.worker_connection import InFlightCall
from geraniumwell.clients.http_conn import HttpAnswer
from geraniumwell.clients.task_worker import (
    PollCall,
    StartCall,
    TaskWorkerCodec,
    TaskWorkerError,
    TaskWorkerUnreachableError,
    WorkerCall,
)
from geraniumwell.messages.batch import (
    PaceAnswered,
    PaceUnanswered,
    PollAnswered,
    PollFailed,
    StartAnswered,
    StartNotSent,
    StartUnanswered,
    StartUnsent,
    StopAnswered,
    StopUnanswered,
)
from geraniumwell.model.batch.cluster import PaceTask, StopTask

CODE_TOO_LATE = "too_late"
CallResult = (
    PollAnswered
    | PollFailed
    | StartAnswered
    | StartNotSent
    | StartUnanswered
    | StartUnsent
    | StopAnswered
    | StopUnanswered
    | PaceAnswered
    | PaceUnanswered
)


def make_result(
    codec: TaskWorkerCodec, worker: str, in_flight: InFlightCall, answer: HttpAnswer
) -> CallResult:
    """Return the result message of an answered call."""
    assert in_flight.sent_at is not None
    try:
        match in_flight.call:
            case PollCall() as poll:
                report = codec.decode_poll(answer)
                return PollAnswered(worker, poll, report, in_flight.sent_at)
            case StartCall(order, _):
                return StartAnswered(order, codec.decode_start(answer))
            case StopTask() as order:
                codec.decode_stop(answer)
                return StopAnswered(order)
            case PaceTask() as order:
                codec.decode_pace(answer)
                return PaceAnswered(order)
    except TaskWorkerError as exc:
        return make_failure(worker, in_flight.call, exc)


def make_failure(worker: str, call: WorkerCall, exc: TaskWorkerError) -> CallResult:
    """Return the result message of a call without a valid response."""
    match call:
        case PollCall():
            return PollFailed(worker, exc.code)
        case StartCall(order, _) if isinstance(exc, TaskWorkerUnreachableError):
            return StartNotSent(order, exc.code)
        case StartCall(order, _):
            return StartUnanswered(order, exc.code)
        case StopTask():
            return StopUnanswered(call, exc.code)
        case PaceTask():
            return PaceUnanswered(call, exc.code)


def make_late_result(call: StartCall | StopTask | PaceTask) -> CallResult:
    """Return the result message of an order whose send deadline has passed."""
    match call:
        case StartCall(order, _):
            return StartUnsent(order)
        case StopTask():
            # The stop is sent again once the claim is valid.
            return StopUnanswered(call, CODE_TOO_LATE)
        case PaceTask():
            return PaceUnanswered(call, CODE_TOO_LATE)
