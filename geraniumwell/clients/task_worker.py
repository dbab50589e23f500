"""Calls to a worker that runs tasks of batch jobs, and their encoding."""

from dataclasses import dataclass
from typing import Protocol

from geraniumwell.clients.http_conn import HttpAnswer, HttpRequest
from geraniumwell.exceptions import GeraniumwellError
from geraniumwell.model.batch.cluster import StartTask, StopTask
from geraniumwell.model.batch.worker import StartResult, WorkerReport


class TaskWorkerError(GeraniumwellError):
    """A call to a worker has failed."""

    code = "task_worker_error"


class TaskWorkerUnreachableError(TaskWorkerError):
    """The call never left this daemon."""

    code = "task_worker_unreachable"


class TaskWorkerNoAnswerError(TaskWorkerError):
    """No answer came; the call may have been carried out or may be later."""

    code = "task_worker_silent"


class FencedError(TaskWorkerError):
    """The worker has seen a higher epoch."""

    code = "fenced"


class OtherIncarnationError(TaskWorkerError):
    """Another life of the worker answers at its address."""

    code = "other_life"


@dataclass(slots=True, frozen=True)
class PollCall:
    """A look at a worker.

    Parameters
    ----------
    deadline_ms : int or None
        New end of the leases, on the worker's clock; None leaves them.
    acknowledged_end : int
        Ends up to this number may be forgotten.
    wait_ms : int
        How long the worker may wait for an end before it answers.
    """

    deadline_ms: int | None
    acknowledged_end: int
    wait_ms: int


@dataclass(slots=True, frozen=True)
class StartAnswer:
    """Answer to a start, with the worker's clock if it told it."""

    result: StartResult
    clock_ms: int = 0


@dataclass(slots=True, frozen=True)
class StartCall:
    """A start, with the end of the leases on the worker's clock."""

    order: StartTask
    deadline_ms: int


WorkerCall = PollCall | StartCall | StopTask


@dataclass(slots=True, frozen=True)
class EncodedCall:
    """A request, and how long the worker itself may wait before it answers it."""

    req: HttpRequest
    wait_seconds: float = 0.0


class TaskWorkerCodec(Protocol):
    """Encoding of calls to workers; each call carries the epoch.

    ``read_*`` raise a TaskWorkerError if the answer is a refusal or can't be read.
    """

    def encode(self, worker: str, epoch: int, call: WorkerCall) -> EncodedCall:
        """Return the request for the life of a worker with this id."""

    def read_poll(self, answer: HttpAnswer) -> WorkerReport:
        """Return what runs there and what has ended."""

    def read_start(self, answer: HttpAnswer) -> StartAnswer:
        """Return what became of a start; starting a run again changes nothing."""

    def read_stop(self, answer: HttpAnswer) -> None:
        """Check that a run was stopped, or kept from starting."""
