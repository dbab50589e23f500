"""Calls to the workers, and when each worker is looked at."""

from dataclasses import dataclass, field
from heapq import heappop, heappush

from pykka import ActorRef

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.clients.task_worker import PollCall, StartCall, WorkerCall
from geraniumwell.commands.batch.acknowledgement import may_acknowledge
from geraniumwell.commands.batch.leases import extend_lease
from geraniumwell.messages.batch import CallWorker, DropWorker
from geraniumwell.model.batch.cluster import Cluster, StartTask, StopTask
from geraniumwell.model.batch.job import Phase
from geraniumwell.model.batch.worker import Worker, WorkerState

# The longest time that a worker waits for an end before it answers. A task whose start
# was lost is settled by the first look after its stop, so looks must not be rare.
POLL_WAIT_MS = 1_000
# The same while a start or stop is not settled.
UNSETTLED_WAIT_MS = 150
# A worker that did not answer is looked at again after this time.
SILENT_RETRY_SECONDS = 0.4
# Ends that can't be acknowledged yet are listed at once, so the worker does not wait.
UNACKNOWLEDGED_RETRY_SECONDS = 0.1
# A run that should not be there takes up to the limit of a stop to end.
FOREIGN_RETRY_SECONDS = 0.25


@dataclass(slots=True)
class WorkerCaller:
    """Calls to the workers of one scheduler.

    Parameters
    ----------
    exchange : ActorRef
        Carries the calls out and tells the scheduler of their answers.
    delayed : list
        Heap of the times of later looks, and the workers' names.
    """

    exchange: ActorRef
    delayed: list[tuple[float, str]] = field(default_factory=list)

    def close(self) -> None:
        """Stop all calls."""
        self.exchange.stop(block=False)

    def drop(self, worker_id: str) -> None:
        """Close the connections to a worker once its calls have ended."""
        tell(self.exchange, DropWorker(worker_id))

    def send_start(
        self, cluster: Cluster, order: StartTask, send_by: float, now: float
    ) -> None:
        """Send a start with the longest lease."""
        worker = cluster.workers[order.worker]
        deadline_ms = extend_lease(worker, cluster.policy, now)
        self._call(worker, StartCall(order, deadline_ms), send_by)

    def send_stop(self, cluster: Cluster, order: StopTask, send_by: float) -> None:
        """Send a stop, if the worker's address is known."""
        worker = cluster.workers.get(order.worker)
        if worker is not None and worker.entry.address:
            self._call(worker, order, send_by)

    def poll_due_workers(
        self, cluster: Cluster, valid_until: float, now: float
    ) -> None:
        """Look at each worker that needs it, of those for which that may be new."""
        while self.delayed and self.delayed[0][0] <= now:
            cluster.poll_candidates.add(heappop(self.delayed)[1])
        for name in sorted(cluster.poll_candidates):
            worker = cluster.workers.get(name)
            if worker is None or worker.is_polling or not worker.entry.address:
                continue
            if now < worker.poll_after:
                heappush(self.delayed, (worker.poll_after, name))
            elif worker.last_applied_end <= worker.last_saved_end and is_poll_needed(
                worker
            ):
                self._look_at(cluster, worker, valid_until, now)
        cluster.poll_candidates.clear()

    def _look_at(
        self, cluster: Cluster, worker: Worker, valid_until: float, now: float
    ) -> None:
        may_extend = (
            bool(worker.tasks)
            and worker.clock_at > 0
            and not worker.is_unresponsive
            and now < valid_until
        )
        deadline = extend_lease(worker, cluster.policy, now) if may_extend else None
        wait_ms = find_wait_ms(worker)
        worker.is_polling = True
        acknowledged_end = 0
        if may_acknowledge(worker):
            acknowledged_end = worker.last_acknowledged_end = worker.last_saved_end
        look = PollCall(deadline, acknowledged_end, wait_ms)
        self._call(worker, look, valid_until)

    def _call(self, worker: Worker, call: WorkerCall, send_by: float) -> None:
        entry = worker.entry
        tell(self.exchange, CallWorker(entry.id, entry.address, call, send_by))


def find_wait_ms(worker: Worker) -> int:
    """Return how long a worker may wait for an end before it answers a look."""
    if not worker.tasks or not worker.has_confirmed_epoch:
        return 0
    if worker.has_unknown_runs or worker.is_unresponsive:
        return 0
    if any(task.phase is Phase.STOPPING for task in worker.tasks.values()):
        return UNSETTLED_WAIT_MS
    return POLL_WAIT_MS


def is_poll_needed(worker: Worker) -> bool:
    """Tell whether a look would tell something new, or acknowledge an end."""
    if (
        worker.tasks
        or worker.has_unknown_runs
        or worker.last_saved_end > worker.last_acknowledged_end
    ):
        return True
    is_unknown = worker.is_unresponsive or not worker.has_confirmed_epoch
    return is_unknown and worker.state is not WorkerState.UNREGISTERED
