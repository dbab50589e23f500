"""Events that callers, workers and the fault injector report to the checker."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class JobShape:
    """A job that a caller submits: number of tasks and accelerators of each step."""

    job: str
    steps: tuple[tuple[int, int], ...]


@dataclass(slots=True, frozen=True)
class Submitted:
    """An attempt to submit a job ended; ``status`` is 0 if there was no response."""

    shape: JobShape
    status: int


@dataclass(slots=True, frozen=True)
class Cancelled:
    """An attempt to cancel a job ended; ``status`` is 0 if there was no response."""

    job: str
    status: int
    answered_at: float


@dataclass(slots=True, frozen=True)
class StateSeen:
    """A query for a job's state, sent at ``asked_at``, ended at ``answered_at``."""

    job: str
    status: int
    state: str
    asked_at: float
    answered_at: float


@dataclass(slots=True, frozen=True)
class KeySeen:
    """A process of a daemon responded to a call that carried a key."""

    daemon: str
    process: int
    key_number: int
    status: int


@dataclass(slots=True, frozen=True)
class RunSeen:
    """A worker recorded the start, the end or the acknowledged end of a run.

    ``what`` is "start", the kind of the end, or "noted" for an acknowledged end.
    """

    at: float
    what: str
    task: str
    run: int
    worker: str


@dataclass(slots=True, frozen=True)
class WorkerEnded:
    """A worker process ended together with all tasks that it ran."""

    worker: str
    at: float


Event = Submitted | Cancelled | StateSeen | KeySeen | RunSeen | WorkerEnded
