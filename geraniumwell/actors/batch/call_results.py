"""What the scheduler is told of its calls to workers."""

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
    PollAnswered,
    PollFailed,
    StartAnswered,
    StartNotSent,
    StartPostponed,
    StartUnanswered,
    StopAnswered,
    StopUnanswered,
)
from geraniumwell.model.batch.cluster import StopTask

CODE_TOO_LATE = "too_late"
CallResult = (
    PollAnswered
    | PollFailed
    | StartAnswered
    | StartNotSent
    | StartUnanswered
    | StartPostponed
    | StopAnswered
    | StopUnanswered
)


def make_result(
    codec: TaskWorkerCodec, worker: str, flight: InFlightCall, answer: HttpAnswer
) -> CallResult:
    """Return what an answer tells of its call."""
    assert flight.sent_at is not None
    try:
        match flight.call:
            case PollCall() as look:
                report = codec.read_poll(answer)
                return PollAnswered(worker, look, report, flight.sent_at)
            case StartCall(order, _):
                return StartAnswered(order, codec.read_start(answer))
            case StopTask() as order:
                codec.read_stop(answer)
                return StopAnswered(order)
    except TaskWorkerError as exc:
        return make_failure(worker, flight.call, exc)


def make_failure(worker: str, call: WorkerCall, exc: TaskWorkerError) -> CallResult:
    """Return what is told of a call without a good answer."""
    match call:
        case PollCall():
            return PollFailed(worker, exc.code)
        case StartCall(order, _) if isinstance(exc, TaskWorkerUnreachableError):
            return StartNotSent(order, exc.code)
        case StartCall(order, _):
            return StartUnanswered(order, exc.code)
        case StopTask():
            return StopUnanswered(call, exc.code)


def make_late_result(call: StartCall | StopTask) -> CallResult:
    """Return what is told of an order that the claim no longer allowed."""
    match call:
        case StartCall(order, _):
            return StartPostponed(order)
        case StopTask():
            # It is repeated once the claim is valid again.
            return StopUnanswered(call, CODE_TOO_LATE)
