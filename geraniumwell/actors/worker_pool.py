"""Links to the workers of one data centre, and which of them are usable.

Part of the decider's state; used by the decider's thread only.
"""

from collections.abc import Callable, Iterable, Mapping

from loguru import logger
from pykka import ActorRef

from geraniumwell.actors.worker_link import WorkerLink
from geraniumwell.clients.worker import WorkerClient
from geraniumwell.const import TASK_CALL_SECONDS
from geraniumwell.messages.workers import CallWorker, TakeInventory, WorkerCall
from geraniumwell.model.worker import Inventory, Worker

# A worker that fails the calls of a start, but answers others, is not used for a while.
MIN_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 60.0

Connect = Callable[[Worker], WorkerClient]


class WorkerPool:
    """Sends calls to workers under one epoch.

    ``unreachable`` holds the workers that have not returned an inventory since a call
    to them failed, or since the epoch began; ``failed`` holds those with a failed call
    and no inventory since then.
    """

    __slots__ = (
        "_receiver",
        "_connect",
        "_links",
        "_asked",
        "_epoch",
        "_backoffs",
        "valid_until",
        "workers",
        "inventories",
        "unreachable",
        "failed",
    )

    def __init__(self, receiver: ActorRef, connect: Connect) -> None:
        self._receiver = receiver
        self._connect = connect
        self._links: dict[str, ActorRef] = {}
        self.workers: dict[str, Worker] = {}
        self.valid_until = 0.0
        self.begin(0)

    def begin(self, epoch: int) -> None:
        """Begin a new epoch, under which no worker has answered yet."""
        self._epoch = epoch
        self._asked: set[str] = set()
        self._backoffs: dict[str, tuple[float, float]] = {}
        self.inventories: dict[str, Inventory] = {}
        self.unreachable: set[str] = set(self.workers)
        self.failed: set[str] = set()

    def set_workers(
        self, workers: Mapping[str, Worker], in_use: Callable[[str], bool]
    ) -> None:
        """Open links to new workers; a removed worker keeps its link while in use."""
        for name in set(self.workers) - set(workers):
            if not in_use(name):
                self._close(name)
        for worker in workers.values():
            if self.workers.get(worker.name) == worker:
                continue
            if worker.name in self.workers:
                self._close(worker.name)
            client = self._connect(worker)
            link = WorkerLink.start(worker.name, client, self._receiver)
            self._links[worker.name] = link
            self.workers[worker.name] = worker
            self.unreachable.add(worker.name)

    def _close(self, name: str) -> None:
        self._links.pop(name).stop(block=False)
        del self.workers[name]
        self._asked.discard(name)
        self.unreachable.discard(name)

    def close(self) -> None:
        """Close all links."""
        for name in list(self.workers):
            self._close(name)

    def call(self, worker: str, call: WorkerCall, now: float) -> bool:
        """Send a call; return whether there is a link to the worker."""
        link = self._links.get(worker)
        if link is None:
            return False
        send_by = min(self.valid_until, now + TASK_CALL_SECONDS)
        link.tell(CallWorker(call, self._epoch, send_by))
        return True

    def ask_unreachable(self, now: float) -> None:
        """Ask each unreachable worker for its inventory."""
        for name in self.unreachable - self._asked:
            if self.call(name, TakeInventory(), now):
                self._asked.add(name)

    def back_off(self, worker: str, now: float) -> None:
        """Exclude a worker that lost a gang, for an exponentially growing time."""
        _, wait = self._backoffs.get(worker, (0.0, MIN_BACKOFF_SECONDS / 2))
        wait = min(wait * 2, MAX_BACKOFF_SECONDS)
        self._backoffs[worker] = (now + wait, wait)

    def end_backoff(self, workers: Iterable[str]) -> None:
        """End the exclusion of workers on which a whole gang runs."""
        for worker in workers:
            self._backoffs.pop(worker, None)

    def list_unusable(self, now: float) -> frozenset[str]:
        """Return the workers that must get no new gangs at the moment."""
        backing_off = (
            name for name, (until, _) in self._backoffs.items() if until > now
        )
        return frozenset(self.unreachable).union(backing_off)

    def has_polled_all(self) -> bool:
        """Return whether each worker has returned its inventory or failed to."""
        return self.workers.keys() <= self.inventories.keys() | self.failed

    def record_inventory(self, worker: str, inventory: Inventory) -> None:
        """Record the inventory of a worker, which is reachable again."""
        self.inventories[worker] = inventory
        self._asked.discard(worker)
        self.failed.discard(worker)
        self.unreachable.discard(worker)

    def record_failure(self, worker: str, call: WorkerCall, reason: str) -> None:
        """Record that a call to a worker failed."""
        if isinstance(call, TakeInventory):
            self._asked.discard(worker)
        if worker not in self.workers:
            return
        if worker not in self.failed:
            logger.warning("worker {} is considered unreachable: {}", worker, reason)
        self.failed.add(worker)
        self.unreachable.add(worker)
