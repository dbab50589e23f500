"""Health of workers: failed or stalled runs, refused starts and unanswered calls.

An unhealthy worker is avoided for a while: it gets no new tasks.
"""

from collections import Counter
from collections.abc import Collection

from geraniumwell.model.batch.job import Task
from geraniumwell.model.batch.worker import Worker

# One failure may be caused by the task; a second consecutive one is attributed to the
# worker. Failures of a task that also failed on another worker do not count.
SUSPECT_FAILURES = 2
# Time for which a suspect worker is avoided; doubles with each further failure.
AVOID_SECONDS = 4.0
AVOID_LIMIT_SECONDS = 30.0
# Time for which a worker is avoided after a refused or unanswered start; doubles with
# each further one.
REFUSED_SECONDS = 1.5
# One unresponsive worker may be down or slow. Two in a data centre from which no other
# worker has answered since mean that it is partitioned.
MIN_UNRESPONSIVE_WORKERS = 2


def record_success(worker: Worker) -> None:
    """Reset the failures of a worker on which a task was done."""
    worker.failures = 0
    worker.avoid_until = 0.0


def record_failure(
    worker: Worker, task: Task, is_long_running: bool, now: float
) -> None:
    """Count a failed run of a task, unless the task also failed on another worker."""
    failed_elsewhere = any(other != worker.entry.id for other in task.failed_on)
    task.failed_on = (*task.failed_on, worker.entry.id)
    if failed_elsewhere:
        return
    worker.failures += 1
    if worker.failures < SUSPECT_FAILURES:
        return
    if is_long_running:
        # It has to be back within 6 s, even if no other worker suits it.
        worker.avoid_until = max(worker.avoid_until, now + AVOID_SECONDS)
        return
    wait = AVOID_SECONDS * 2 ** (worker.failures - SUSPECT_FAILURES)
    worker.avoid_until = now + min(wait, AVOID_LIMIT_SECONDS)


def record_stall(worker: Worker, now: float) -> None:
    """Avoid a worker on which a task made no progress."""
    worker.failures = max(worker.failures + 1, SUSPECT_FAILURES)
    worker.avoid_until = now + AVOID_LIMIT_SECONDS


def record_suspected_stall(worker: Worker, now: float) -> None:
    """Avoid for a short time one of several workers on which a gang stood still."""
    worker.avoid_until = max(worker.avoid_until, now + AVOID_SECONDS)


def record_refusal(worker: Worker, now: float) -> None:
    """Avoid a worker that refused or did not answer a start, with exponential backoff.

    Starts that were sent together count once.
    """
    if now < worker.avoid_until:
        return
    wait = REFUSED_SECONDS * 2**worker.refusals
    worker.refusals += 1
    worker.avoid_until = now + min(wait, AVOID_LIMIT_SECONDS)


def record_start(worker: Worker) -> None:
    """Reset the refusals of a worker that accepted a start."""
    worker.refusals = 0


def record_answer(worker: Worker, now: float) -> None:
    """Record that a worker has answered a call."""
    worker.last_answer_at = now


def record_unanswered_call(worker: Worker, now: float) -> None:
    """Record that a call to a worker got no answer."""
    worker.is_unresponsive = True
    worker.unresponsive_at = now


def find_unresponsive_data_centres(workers: Collection[Worker]) -> frozenset[str]:
    """Return the data centres that seem to be partitioned from this daemon.

    In a network partition several workers stop answering and none of the others
    answers. A gang that is placed on both sides of a partition breaks, and its workers
    on the other side stay occupied until their leases expire.
    """
    last_answers: dict[str, float] = {}
    for worker in workers:
        name = worker.entry.data_centre
        last_answers[name] = max(last_answers.get(name, 0.0), worker.last_answer_at)
    # A worker that has never answered may not exist: it is no sign of a partition.
    unresponsive = Counter(
        worker.entry.data_centre
        for worker in workers
        if worker.has_confirmed_epoch
        and worker.unresponsive_at > last_answers[worker.entry.data_centre]
    )
    return frozenset(
        name
        for name, count in unresponsive.items()
        if count >= MIN_UNRESPONSIVE_WORKERS
    )
