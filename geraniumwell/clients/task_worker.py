"""Interface of a worker that runs tasks of batch jobs."""

from dataclasses import dataclass
from typing import Protocol

from geraniumwell.exceptions import GeraniumwellError
from geraniumwell.model.batch.cluster import StartTask, StopTask
from geraniumwell.model.batch.worker import StartResult, WorkerReport


class TaskWorkerError(GeraniumwellError):
    """A call to a worker has failed."""

    code = "task_worker_error"


class TaskWorkerUnreachableError(TaskWorkerError):
    """The call never left this daemon."""

    code = "task_worker_unreachable"


class TaskWorkerSilentError(TaskWorkerError):
    """No answer came; the call may have been carried out or may be later."""

    code = "task_worker_silent"


class FencedError(TaskWorkerError):
    """The worker has seen a higher epoch."""

    code = "fenced"


class OtherLifeError(TaskWorkerError):
    """Another life of the worker answers at its address."""

    code = "other_life"


@dataclass(slots=True, frozen=True)
class Look:
    """A look at a worker.

    Parameters
    ----------
    deadline_ms : int or None
        New end of the leases, on the worker's clock; None leaves them.
    seen : int
        Ends up to this number may be forgotten.
    wait_ms : int
        How long the worker may wait for an end before it answers.
    """

    deadline_ms: int | None
    seen: int
    wait_ms: int


@dataclass(slots=True, frozen=True)
class StartAnswer:
    """Answer to a start, with the worker's clock if it told it."""

    result: StartResult
    clock_ms: int = 0


class TaskWorkerClient(Protocol):
    """Calls to one worker; each raises a TaskWorkerError and carries the epoch."""

    def look(self, epoch: int, look: Look) -> WorkerReport:
        """Return what runs there and what has ended."""

    def start(self, epoch: int, order: StartTask, deadline_ms: int) -> StartAnswer:
        """Start a run; starting it again changes nothing."""

    def stop(self, epoch: int, order: StopTask) -> None:
        """Stop a run, or keep it from starting."""

    def close(self) -> None:
        """Close the connection."""
