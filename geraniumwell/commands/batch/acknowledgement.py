"""Decides when the ends that a worker reports may be acknowledged to it."""

from geraniumwell.model.batch.worker import Worker


def may_acknowledge(worker: Worker) -> bool:
    """Return whether the ends that a worker reported may be acknowledged to it.

    A worker that restarts under the same id numbers its ends from 1 again and discards
    those up to the acknowledged number. A number of an earlier incarnation would thus
    discard unseen ends of the new one. The new one has ends only of runs that it
    accepted, so this can happen only while a start is newer than the last report.
    """
    return all(
        task.start_settled_at is not None
        and task.start_settled_at <= worker.reported_at
        for task in worker.tasks.values()
    )
