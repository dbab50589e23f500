"""Calls to workers that run tasks of batch jobs, and the interface of their codec."""

from dataclasses import dataclass
from typing import Protocol

from geraniumwell.clients.http_conn import HttpAnswer, HttpRequest
from geraniumwell.exceptions import GeraniumwellError
from geraniumwell.model.batch.cluster import PaceTask, StartTask, StopTask
from geraniumwell.model.batch.worker import StartResult, WorkerReport


class TaskWorkerError(GeraniumwellError):
    """A call to a worker has failed."""

    code = "task_worker_error"


class TaskWorkerUnreachableError(TaskWorkerError):
    """The call was not sent."""

    code = "task_worker_unreachable"


class TaskWorkerNoAnswerError(TaskWorkerError):
    """No response arrived; the call may have taken effect or may still do so."""

    code = "task_worker_silent"


class StaleEpochRefusalError(TaskWorkerError):
    """The worker refused the call for its stale epoch: it has seen a higher one."""

    code = "fenced"


class OtherIncarnationError(TaskWorkerError):
    """Another incarnation of the worker responds at its address."""

    code = "other_life"


@dataclass(slots=True, frozen=True)
class PollCall:
    """A poll of a worker, which may also extend its task leases.

    Parameters
    ----------
    deadline_ms : int or None
        New deadline of the leases on the worker's clock; None does not change it.
    acknowledged_end : int
        Number up to which the worker may discard the ends of runs.
    wait_ms : int
        Time that the worker may wait for the end of a run before it responds.
    """

    deadline_ms: int | None
    acknowledged_end: int
    wait_ms: int


@dataclass(slots=True, frozen=True)
class StartAnswer:
    """Response to a start; ``clock_ms`` is the worker's clock, or 0 if not known."""

    result: StartResult
    clock_ms: int = 0


@dataclass(slots=True, frozen=True)
class StartCall:
    """A start order, with the deadline of the leases on the worker's clock."""

    order: StartTask
    deadline_ms: int


WorkerCall = PollCall | StartCall | StopTask | PaceTask


@dataclass(slots=True, frozen=True)
class EncodedCall:
    """An encoded call, and the time that the worker may wait before it responds."""

    req: HttpRequest
    wait_seconds: float = 0.0


class TaskWorkerCodec(Protocol):
    """Codec of calls to workers; each call contains the epoch.

    ``decode_*`` raise a TaskWorkerError if the response is a refusal or can't be
    decoded.
    """

    def encode(self, worker: str, epoch: int, call: WorkerCall) -> EncodedCall:
        """Return the request to the worker incarnation with this id."""

    def decode_poll(self, answer: HttpAnswer) -> WorkerReport:
        """Return the running and ended runs of the worker."""

    def decode_start(self, answer: HttpAnswer) -> StartAnswer:
        """Return the result of a start; starting the same run again has no effect."""

    def decode_stop(self, answer: HttpAnswer) -> None:
        """Check that a run was stopped, or prevented from starting."""

    def decode_pace(self, answer: HttpAnswer) -> None:
        """Check that the pace of a run was set."""
