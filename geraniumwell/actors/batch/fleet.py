"""Links to the workers, and when each worker is looked at."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from pykka import ActorRef

from geraniumwell.actors.batch.telling import tell
from geraniumwell.actors.batch.worker_links import LookLink, OrderLink
from geraniumwell.clients.task_worker import Look, TaskWorkerClient
from geraniumwell.commands.batch.acknowledgement import may_acknowledge
from geraniumwell.commands.batch.leases import extend_lease
from geraniumwell.messages.batch import SendLook, SendStart, SendStop
from geraniumwell.model.batch.cluster import Cluster, StartTask, StopTask
from geraniumwell.model.batch.job import Phase
from geraniumwell.model.batch.worker import Worker, WorkerState

MakeClient = Callable[[str, str], TaskWorkerClient]
# The longest time that a worker waits for an end before it answers. A task whose start
# was lost is settled by the first look after its stop, so looks must not be rare.
LOOK_WAIT_MS = 1_000
# The same while a start or stop is not settled.
UNSETTLED_WAIT_MS = 150
# A worker that did not answer is looked at again after this time.
SILENT_RETRY_SECONDS = 0.4
# Ends that can't be acknowledged yet are listed at once, so the worker does not wait.
UNACKNOWLEDGED_RETRY_SECONDS = 0.1
# A run that should not be there takes up to the limit of a stop to end.
FOREIGN_RETRY_SECONDS = 0.25


@dataclass(slots=True)
class Links:
    """The two connections to a worker; made when first used."""

    address: str
    orders: ActorRef | None = None
    looks: ActorRef | None = None


@dataclass(slots=True)
class Fleet:
    """All links of one scheduler.

    Parameters
    ----------
    owner : ActorRef
        The scheduler, which gets all answers.
    delayed : list
        Heap of the times of later looks, and the workers' names.
    """

    epoch: int
    owner: ActorRef
    make_client: MakeClient
    links: dict[str, Links] = field(default_factory=dict)
    delayed: list[tuple[float, str]] = field(default_factory=list)

    def close(self) -> None:
        """Stop all links; calls in progress end by themselves."""
        for worker_id in list(self.links):
            self.drop(worker_id)

    def drop(self, worker_id: str) -> None:
        """Stop the links to one worker."""
        links = self.links.pop(worker_id, None)
        if links is None:
            return
        for link in (links.orders, links.looks):
            if link is not None:
                link.stop(block=False)

    def send_start(
        self, cluster: Cluster, order: StartTask, send_by: float, now: float
    ) -> None:
        """Send a start with the longest lease."""
        worker = cluster.workers[order.worker]
        deadline_ms = extend_lease(worker, cluster.policy, now)
        tell(self._order_link(worker), SendStart(order, deadline_ms, send_by))

    def send_stop(self, cluster: Cluster, order: StopTask, send_by: float) -> None:
        """Send a stop, if the worker's address is known."""
        worker = cluster.workers.get(order.worker)
        if worker is not None and worker.entry.address:
            tell(self._order_link(worker), SendStop(order, send_by))

    def look_at_due(self, cluster: Cluster, valid_until: float, now: float) -> None:
        """Look at each worker that needs it, of those for which that may be new."""
        while self.delayed and self.delayed[0][0] <= now:
            cluster.unlooked.add(heappop(self.delayed)[1])
        for name in sorted(cluster.unlooked):
            worker = cluster.workers.get(name)
            if worker is None or worker.is_polling or not worker.entry.address:
                continue
            if now < worker.poll_after:
                heappush(self.delayed, (worker.poll_after, name))
            elif worker.seen <= worker.saved and is_look_needed(worker):
                self._look_at(cluster, worker, valid_until, now)
        cluster.unlooked.clear()

    def _look_at(
        self, cluster: Cluster, worker: Worker, valid_until: float, now: float
    ) -> None:
        may_extend = (
            bool(worker.tasks)
            and worker.clock_at > 0
            and not worker.is_silent
            and now < valid_until
        )
        deadline = extend_lease(worker, cluster.policy, now) if may_extend else None
        wait_ms = find_wait_ms(worker)
        worker.is_polling = True
        seen = 0
        if may_acknowledge(worker):
            seen = worker.acknowledged = worker.saved
        look = Look(deadline, seen, wait_ms)
        tell(self._look_link(worker), SendLook(look, valid_until))

    def _order_link(self, worker: Worker) -> ActorRef:
        links = self._links_of(worker)
        if links.orders is None:
            client = self.make_client(worker.entry.id, links.address)
            links.orders = OrderLink.start(client, self.epoch, self.owner)
        return links.orders

    def _look_link(self, worker: Worker) -> ActorRef:
        links = self._links_of(worker)
        if links.looks is None:
            client = self.make_client(worker.entry.id, links.address)
            links.looks = LookLink.start(
                worker.entry.id, client, self.epoch, self.owner
            )
        return links.looks

    def _links_of(self, worker: Worker) -> Links:
        links = self.links.get(worker.entry.id)
        if links is None or links.address != worker.entry.address:
            self.drop(worker.entry.id)
            links = Links(worker.entry.address)
            self.links[worker.entry.id] = links
        return links


def find_wait_ms(worker: Worker) -> int:
    """Return how long a worker may wait for an end before it answers a look."""
    if not worker.tasks or not worker.is_fenced:
        return 0
    if worker.has_foreign or worker.is_silent:
        return 0
    if any(task.phase is Phase.STOPPING for task in worker.tasks.values()):
        return UNSETTLED_WAIT_MS
    return LOOK_WAIT_MS


def is_look_needed(worker: Worker) -> bool:
    """Tell whether a look would tell something new, or acknowledge an end."""
    if worker.tasks or worker.has_foreign or worker.saved > worker.acknowledged:
        return True
    is_unknown = worker.is_silent or not worker.is_fenced
    return is_unknown and worker.state is not WorkerState.GONE
