"""Sends orders and polls to the workers and decides when a worker is polled."""

from dataclasses import dataclass, field
from heapq import heappop, heappush

from pykka import ActorRef

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.clients.task_worker import PollCall, StartCall, WorkerCall
from geraniumwell.commands.batch.acknowledgement import may_acknowledge
from geraniumwell.commands.batch.leases import extend_lease
from geraniumwell.messages.batch import CallWorker, DisconnectWorker
from geraniumwell.model.batch.cluster import Cluster, PaceTask, StartTask, StopTask
from geraniumwell.model.batch.job import Phase
from geraniumwell.model.batch.worker import Worker, WorkerState

# Longest time for which a worker delays its response to a poll until a run ends. An
# unanswered start is settled by the first poll after the stop of its task, so polls
# must stay frequent.
POLL_WAIT_MS = 1_000
# The same while it is unknown whether a start or stop took effect.
UNSETTLED_WAIT_MS = 150
# Delay before the next poll of a worker that did not answer.
UNRESPONSIVE_RETRY_SECONDS = 0.4
# A worker responds at once while it lists unacknowledged ends, so polls need a pause.
UNACKNOWLEDGED_RETRY_SECONDS = 0.1
# An unexpected run may take up to the time limit of a stop to end.
UNKNOWN_RUN_RETRY_SECONDS = 0.25


@dataclass(slots=True)
class WorkerCaller:
    """Sends the calls of one scheduler to its workers.

    Parameters
    ----------
    connection_pool : ActorRef
        Actor that makes the calls and reports their results to the scheduler.
    postponed_polls : list
        Heap of due times and worker ids.
    """

    connection_pool: ActorRef
    postponed_polls: list[tuple[float, str]] = field(default_factory=list)

    def close(self) -> None:
        """Stop the actor that makes the calls."""
        self.connection_pool.stop(block=False)

    def disconnect(self, worker_id: str) -> None:
        """Close the connections to a worker once its calls have finished."""
        tell(self.connection_pool, DisconnectWorker(worker_id))

    def send_start(
        self, cluster: Cluster, order: StartTask, send_by: float, now: float
    ) -> None:
        """Send a start that extends the leases as far as possible."""
        worker = cluster.workers[order.worker]
        deadline_ms = extend_lease(worker, cluster.policy, now)
        self._call(worker, StartCall(order, deadline_ms), send_by)

    def send_order(
        self, cluster: Cluster, order: StopTask | PaceTask, send_by: float
    ) -> None:
        """Send a stop or a pace, if the worker's address is known."""
        worker = cluster.workers.get(order.worker)
        if worker is not None and worker.entry.address:
            self._call(worker, order, send_by)

    def poll_due_workers(
        self, cluster: Cluster, valid_until: float, now: float
    ) -> None:
        """Poll the candidate workers whose poll is needed and due."""
        while self.postponed_polls and self.postponed_polls[0][0] <= now:
            cluster.poll_candidates.add(heappop(self.postponed_polls)[1])
        for worker_id in sorted(cluster.poll_candidates):
            worker = cluster.workers.get(worker_id)
            if worker is None or worker.is_poll_pending or not worker.entry.address:
                continue
            if now < worker.poll_after:
                heappush(self.postponed_polls, (worker.poll_after, worker_id))
            elif worker.last_applied_end <= worker.last_saved_end and is_poll_needed(
                worker
            ):
                self._poll(cluster, worker, valid_until, now)
        cluster.poll_candidates.clear()

    def _poll(
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
        worker.is_poll_pending = True
        acknowledged_end = 0
        if may_acknowledge(worker):
            acknowledged_end = worker.last_acknowledged_end = worker.last_saved_end
        poll = PollCall(deadline, acknowledged_end, wait_ms)
        self._call(worker, poll, valid_until)

    def _call(self, worker: Worker, call: WorkerCall, send_by: float) -> None:
        entry = worker.entry
        tell(self.connection_pool, CallWorker(entry.id, entry.address, call, send_by))


def find_wait_ms(worker: Worker) -> int:
    """Return how long a worker may delay its response to a poll until a run ends."""
    if not worker.tasks or not worker.has_confirmed_epoch:
        return 0
    if worker.has_unknown_runs or worker.is_unresponsive:
        return 0
    if any(task.phase is Phase.STOPPING for task in worker.tasks.values()):
        return UNSETTLED_WAIT_MS
    return POLL_WAIT_MS


def is_poll_needed(worker: Worker) -> bool:
    """Return whether a poll would return news or acknowledge an end."""
    if (
        worker.tasks
        or worker.has_unknown_runs
        or worker.last_saved_end > worker.last_acknowledged_end
    ):
        return True
    is_unknown = worker.is_unresponsive or not worker.has_confirmed_epoch
    return is_unknown and worker.state is not WorkerState.UNREGISTERED
