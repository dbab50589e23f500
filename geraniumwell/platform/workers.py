"""Encoding of calls to the platform's workers and decoding of their responses."""

from typing import Any, Final

from msgspec.json import encode

from geraniumwell.clients.http_conn import HttpAnswer, HttpRequest
from geraniumwell.clients.task_worker import (
    EncodedCall,
    OtherIncarnationError,
    PollCall,
    StaleEpochRefusalError,
    StartAnswer,
    StartCall,
    TaskWorkerError,
    TaskWorkerNoAnswerError,
    WorkerCall,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.model.batch.cluster import PaceTask, StopTask
from geraniumwell.model.batch.worker import StartResult, WorkerReport
from geraniumwell.platform.decode import decode_report, format_task
from geraniumwell.platform.wire import WireOrderAnswer, decode_wire

HEADER_EXPECTED_INSTANCE: Final = "X-Geraniumwell-Expect-Instance"
START_REFUSALS: Final = {
    "fence": StartResult.STALE_EPOCH,
    "old": StartResult.OLD_RUN,
    "late": StartResult.LATE,
    "room": StartResult.NO_CAPACITY,
    "ticket": StartResult.NO_TICKET,
}
STATUS_OTHER_INCARNATION: Final = 421


class PlatformWorkerCodec:
    """Requests to workers as JSON over HTTP."""

    __slots__ = ()

    def encode(self, worker: str, epoch: int, call: WorkerCall) -> EncodedCall:
        """Return the request to the worker incarnation with this id."""
        headers = (
            ("Content-Type", "application/json"),
            (HEADER_EXPECTED_INSTANCE, worker),
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
            case PaceTask():
                body = {
                    "Task": format_task(call.id),
                    "Run": call.run,
                    "Percent": call.percent,
                    "Fence": epoch,
                }
                return EncodedCall(HttpRequest("/pace", headers, encode(body)))

    def decode_poll(self, answer: HttpAnswer) -> WorkerReport:
        """Return the running and the ended runs of the worker."""
        _check_status(answer, "poll")
        try:
            return decode_report(answer.body)
        except CodecError as exc:
            raise TaskWorkerNoAnswerError(f"invalid response: {exc}") from exc

    def decode_start(self, answer: HttpAnswer) -> StartAnswer:
        """Return the result of a start; starting the same run again has no effect."""
        if answer.status == STATUS_OTHER_INCARNATION:
            return StartAnswer(StartResult.OTHER_INCARNATION)
        found = _read_order_answer(answer)
        if answer.status == 200:
            return StartAnswer(StartResult.STARTED, found.clock_ms)
        if answer.status == 409:
            result = START_REFUSALS.get(found.reason, StartResult.REFUSED)
            return StartAnswer(result, found.clock_ms)
        return StartAnswer(StartResult.REFUSED, found.clock_ms)

    def decode_stop(self, answer: HttpAnswer) -> None:
        """Check that a run was stopped or prevented from starting."""
        _check_status(answer, "stop")

    def decode_pace(self, answer: HttpAnswer) -> None:
        """Check that the pace of a run was set."""
        _check_status(answer, "pace")


def _check_status(answer: HttpAnswer, name: str) -> None:
    match answer.status:
        case 200:
            return
        case 409:
            raise StaleEpochRefusalError("the worker has seen a higher epoch")
        case status if status == STATUS_OTHER_INCARNATION:
            raise OtherIncarnationError("another incarnation of the worker answered")
    raise TaskWorkerError(f"{name} refused with status {answer.status}")


def _read_order_answer(answer: HttpAnswer) -> WireOrderAnswer:
    try:
        return decode_wire(answer.body, WireOrderAnswer)
    except CodecError:
        # An unhealthy worker refuses without a body; the status is sufficient.
        return WireOrderAnswer()
