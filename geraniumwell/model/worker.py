"""Workers of the platform, their tasks and their task leases."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class Worker:
    """A machine that runs tasks; ``accelerators`` may be 0."""

    name: str
    data_centre: str
    rack: str
    address: str
    accelerators: int
    cores: int
    memory_gb: int


class TaskState(StrEnum):
    """State of a task on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(slots=True, frozen=True)
class TaskLease:
    """Task lease of one gang member on resources of one worker.

    ``first_accelerator`` is the lowest index of its block of accelerators.
    ``attempt`` counts the starts of the job; leases of earlier attempts are void.
    """

    lease_id: str
    job_id: str
    attempt: int
    member: int
    worker: str
    first_accelerator: int
    accelerators: int
    cores: int
    memory_gb: int


@dataclass(slots=True, frozen=True)
class TaskReport:
    """Report of a worker on one lease; its figures may be out of date."""

    lease: TaskLease
    state: TaskState
    progress_seconds: float
    checkpoint_seconds: float = 0.0
    reason: str = ""


@dataclass(slots=True, frozen=True)
class Inventory:
    """All leases on a worker, and the highest epoch that it has received."""

    worker: str
    epoch: int
    tasks: tuple[TaskReport, ...]
