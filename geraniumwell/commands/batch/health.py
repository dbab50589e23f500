"""Tells bad workers and bad jobs apart by how runs end."""

from collections import Counter
from collections.abc import Collection

from geraniumwell.model.batch.job import Task
from geraniumwell.model.batch.worker import Worker

# One failure may be the task's own fault; a second in a row of other work is not.
SUSPECT_FAILURES = 2
AVOID_SECONDS = 4.0
AVOID_LIMIT_SECONDS = 30.0
# Time before a worker that refused or lost an order is tried again; doubles each time.
REFUSED_SECONDS = 1.5
# One silent worker may be down or late; two at once and no other heard is a cut.
CUT_OFF_WORKERS = 2


def note_success(worker: Worker) -> None:
    """Clear the suspicion against a worker on which a task was done."""
    worker.failures = 0
    worker.avoid_until = 0.0


def note_failure(worker: Worker, task: Task, now: float) -> None:
    """Count a failed run against its worker, unless it failed elsewhere too."""
    failed_elsewhere = any(other != worker.entry.id for other in task.failed_on)
    task.failed_on = (*task.failed_on, worker.entry.id)
    if failed_elsewhere:
        return
    worker.failures += 1
    if worker.failures < SUSPECT_FAILURES:
        return
    wait = AVOID_SECONDS * 2 ** (worker.failures - SUSPECT_FAILURES)
    worker.avoid_until = now + min(wait, AVOID_LIMIT_SECONDS)


def note_stall(worker: Worker, now: float) -> None:
    """Avoid a worker on which a task stood still."""
    worker.failures = max(worker.failures + 1, SUSPECT_FAILURES)
    worker.avoid_until = now + AVOID_LIMIT_SECONDS


def note_refusal(worker: Worker, now: float) -> None:
    """Avoid a worker that refused or lost a start, longer each time in a row.

    Starts that were sent together count once.
    """
    if now < worker.avoid_until:
        return
    wait = REFUSED_SECONDS * 2**worker.refusals
    worker.refusals += 1
    worker.avoid_until = now + min(wait, AVOID_LIMIT_SECONDS)


def note_start(worker: Worker) -> None:
    """Clear the refusals of a worker that has taken a start."""
    worker.refusals = 0


def note_answer(worker: Worker, now: float) -> None:
    """Note that a worker has answered a call."""
    worker.last_answer_at = now


def record_unanswered_call(worker: Worker, now: float) -> None:
    """Note that a call to a worker got no answer."""
    worker.is_unresponsive = True
    worker.unresponsive_at = now


def find_silent_data_centres(workers: Collection[Worker]) -> frozenset[str]:
    """Return the data centres that seem to be cut off.

    A partition silences several workers at once, and nothing is heard from the others.
    A gang that is placed on both sides of it is broken, and its places there are lost
    until they lapse.
    """
    heard: dict[str, float] = {}
    for worker in workers:
        name = worker.entry.data_centre
        heard[name] = max(heard.get(name, 0.0), worker.last_answer_at)
    silent = Counter(
        worker.entry.data_centre
        for worker in workers
        if worker.unresponsive_at > heard[worker.entry.data_centre]
    )
    return frozenset(name for name, count in silent.items() if count >= CUT_OFF_WORKERS)
