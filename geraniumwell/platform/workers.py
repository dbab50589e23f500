"""Encoding of calls to the platform's workers."""

from typing import Any, Final

from msgspec.json import encode

from geraniumwell.clients.http_conn import HttpAnswer, HttpRequest
from geraniumwell.clients.task_worker import (
    EncodedCall,
    FencedError,
    OtherIncarnationError,
    PollCall,
    StartAnswer,
    StartCall,
    TaskWorkerError,
    TaskWorkerNoAnswerError,
    WorkerCall,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.model.batch.cluster import StopTask
from geraniumwell.model.batch.worker import StartResult, WorkerReport
from geraniumwell.platform.decode import decode_report, format_task
from geraniumwell.platform.wire import WireOrderAnswer, decode_wire

HEADER_EXPECTED_LIFE: Final = "X-Geraniumwell-Expect-Instance"
START_REFUSALS: Final = {
    "fence": StartResult.STALE_EPOCH,
    "old": StartResult.OLD_RUN,
    "late": StartResult.LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.NO_TICKET,
}
STATUS_OTHER_LIFE: Final = 421


class PlatformWorkerCodec:
    """Requests to workers as JSON over HTTP."""

    __slots__ = ()

    def encode(self, worker: str, epoch: int, call: WorkerCall) -> EncodedCall:
        """Return the request for the life of a worker with this id."""
        headers = (
            ("Content-Type", "application/json"),
            (HEADER_EXPECTED_LIFE, worker),
        )
        match call:
            case PollCall(deadline_ms, acknowledged_end, wait_ms):
                body: dict[str, Any] = {"Fence": epoch, "LastSeen": acknowledged_end}
                if deadline_ms is not None:
                    body["DeadlineMs"] = deadline_ms
                if wait_ms:
                    body["WaitMs"] = wait_ms
                req = HttpRequest("/hold", headers, encode(body))
                return EncodedCall(req, wait_ms / 1000)
            case StartCall(order, deadline_ms):
                body = {
                    "Task": format_task(order.id),
                    "Run": order.run,
                    "Spec": order.payload,
                    "DeadlineMs": deadline_ms,
                    "Fence": epoch,
                }
                if order.checkpoint:
                    body["Checkpoint"] = order.checkpoint
                return EncodedCall(HttpRequest("/run-start", headers, encode(body)))
            case StopTask():
                body = {"Task": format_task(call.id), "Run": call.run, "Fence": epoch}
                return EncodedCall(HttpRequest("/run-stop", headers, encode(body)))

    def read_poll(self, answer: HttpAnswer) -> WorkerReport:
        """Return what runs there and what has ended."""
        _check_status(answer, "look")
        try:
            return decode_report(answer.body)
        except CodecError as exc:
            raise TaskWorkerNoAnswerError(f"the answer can't be read: {exc}") from exc

    def read_start(self, answer: HttpAnswer) -> StartAnswer:
        """Return what became of a start; starting a run again changes nothing."""
        if answer.status == STATUS_OTHER_LIFE:
            return StartAnswer(StartResult.OTHER_INCARNATION)
        found = _read_order_answer(answer)
        if answer.status == 200:
            return StartAnswer(StartResult.STARTED, found.clock_ms)
        if answer.status == 409:
            result = START_REFUSALS.get(found.reason, StartResult.REFUSED)
            return StartAnswer(result, found.clock_ms)
        return StartAnswer(StartResult.REFUSED, found.clock_ms)

    def read_stop(self, answer: HttpAnswer) -> None:
        """Check that a run was stopped, or kept from starting."""
        _check_status(answer, "stop")


def _check_status(answer: HttpAnswer, name: str) -> None:
    match answer.status:
        case 200:
            return
        case 409:
            raise FencedError("the worker has seen a higher epoch")
        case status if status == STATUS_OTHER_LIFE:
            raise OtherIncarnationError("another life of the worker answered")
    raise TaskWorkerError(f"{name} refused with status {answer.status}")


def _read_order_answer(answer: HttpAnswer) -> WireOrderAnswer:
    try:
        return decode_wire(answer.body, WireOrderAnswer)
    except CodecError:
        # Refusals of an unhealthy worker come without a body; the status tells all.
        return WireOrderAnswer()
