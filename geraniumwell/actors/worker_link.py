"""Actor that owns the connection to one worker and makes one call at a time."""

from contextlib import suppress
from typing import Any

from pykka import ActorDeadError, ActorRef, ThreadingActor

from geraniumwell.clients.worker import WorkerClient
from geraniumwell.const import TASK_LEASE_SECONDS, TASK_RESERVATION_SECONDS
from geraniumwell.exceptions import (
    LeaseUnknownError,
    StaleEpochError,
    WorkerError,
    WorkerNotReachedError,
)
from geraniumwell.messages.workers import (
    AcknowledgeTasks,
    CallWorker,
    EpochRefused,
    InventoryTaken,
    RenewTasks,
    TakeInventory,
    TaskAnswered,
    TasksAcknowledged,
    TasksRenewed,
    WorkerAnswer,
    WorkerCall,
    WorkerCallFailed,
)
from geraniumwell.model.gang_run import (
    CheckpointTask,
    ExtendTask,
    ReserveTask,
    StartTask,
    StopTask,
)
from geraniumwell.util.clock import monotonic_seconds


class WorkerLink(ThreadingActor):
    """Makes the calls to one worker in the order in which they were requested."""

    use_daemon_thread = True

    def __init__(self, worker: str, client: WorkerClient, decider: ActorRef) -> None:
        super().__init__()
        self._worker = worker
        self._client = client
        self._decider = decider

    def on_stop(self) -> None:
        """Close the connection."""
        self._client.close()

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case CallWorker(call, epoch, send_by):
                answer = self._answer(call, epoch, send_by)
                # The decider may have been stopped while the worker answered.
                with suppress(ActorDeadError):
                    self._decider.tell(answer)

    def _answer(self, call: WorkerCall, epoch: int, send_by: float) -> WorkerAnswer:
        # Checked immediately before sending, so that after a pause of the process at
        # most one call that passed this check reaches the worker late.
        if monotonic_seconds() >= send_by:
            reason = "the call was not sent in time"
            return WorkerCallFailed(self._worker, epoch, call, reason, False)
        try:
            return self._call(call, epoch)
        except LeaseUnknownError:
            return TaskAnswered(self._worker, epoch, call, None)
        except StaleEpochError:
            return EpochRefused(self._worker, epoch)
        except WorkerError as exc:
            was_sent = not isinstance(exc, WorkerNotReachedError)
            return WorkerCallFailed(self._worker, epoch, call, str(exc), was_sent)

    def _call(self, call: WorkerCall, epoch: int) -> WorkerAnswer:
        client, worker = self._client, self._worker
        match call:
            case ReserveTask(lease):
                report = client.reserve(epoch, lease, TASK_RESERVATION_SECONDS)
            case StartTask(lease):
                report = client.start(epoch, lease.lease_id)
            case CheckpointTask(lease):
                report = client.checkpoint(epoch, lease.lease_id)
            case StopTask(lease):
                report = client.stop(epoch, lease.lease_id)
            case ExtendTask(lease):
                ids = (lease.lease_id,)
                renewal = client.renew(epoch, ids, TASK_LEASE_SECONDS)
                return TasksRenewed(worker, epoch, call, renewal)
            case RenewTasks(lease_ids):
                renewal = client.renew(epoch, lease_ids, TASK_LEASE_SECONDS)
                return TasksRenewed(worker, epoch, call, renewal)
            case AcknowledgeTasks(lease_ids):
                client.acknowledge(epoch, lease_ids)
                return TasksAcknowledged(worker, epoch)
            case TakeInventory():
                return InventoryTaken(worker, epoch, client.inventory(epoch))
        return TaskAnswered(worker, epoch, call, report)
