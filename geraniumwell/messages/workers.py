"""Messages between the decider and its links to workers."""

from dataclasses import dataclass

from geraniumwell.clients.worker import Renewal
from geraniumwell.model.gang_run import (
    CheckpointTask,
    ExtendTask,
    ReserveTask,
    StartTask,
    StopTask,
    TaskEffect,
)
from geraniumwell.model.worker import Inventory, TaskReport


@dataclass(slots=True, frozen=True)
class RenewTasks:
    """Renew leases and ask which tasks have ended; ``lease_ids`` may be empty."""

    lease_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class AcknowledgeTasks:
    """Let the worker drop ended leases whose end is recorded."""

    lease_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class TakeInventory:
    """Read all leases of the worker."""


WorkerCall = TaskEffect | RenewTasks | AcknowledgeTasks | TakeInventory


@dataclass(slots=True, frozen=True)
class CallWorker:
    """Asks a link for a call under an epoch, unless ``send_by`` has passed."""

    call: WorkerCall
    epoch: int
    send_by: float


@dataclass(slots=True, frozen=True)
class TaskAnswered:
    """The worker answered a call for a lease; None if it never held the lease."""

    worker: str
    epoch: int
    call: ReserveTask | StartTask | CheckpointTask | StopTask
    report: TaskReport | None


@dataclass(slots=True, frozen=True)
class TasksRenewed:
    """The worker answered a renewal."""

    worker: str
    epoch: int
    call: RenewTasks | ExtendTask
    renewal: Renewal


@dataclass(slots=True, frozen=True)
class InventoryTaken:
    """The worker reported all its leases."""

    worker: str
    epoch: int
    inventory: Inventory


@dataclass(slots=True, frozen=True)
class TasksAcknowledged:
    """The worker dropped ended leases."""

    worker: str
    epoch: int


@dataclass(slots=True, frozen=True)
class WorkerCallFailed:
    """The call got no response; if it was sent, it may have taken effect."""

    worker: str
    epoch: int
    call: WorkerCall
    reason: str
    was_sent: bool


@dataclass(slots=True, frozen=True)
class EpochRefused:
    """The worker refused the call, because it has seen a higher epoch."""

    worker: str
    epoch: int


WorkerAnswer = (
    TaskAnswered
    | TasksRenewed
    | InventoryTaken
    | TasksAcknowledged
    | WorkerCallFailed
    | EpochRefused
)
