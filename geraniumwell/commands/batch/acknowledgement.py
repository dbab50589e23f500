"""Decides when the ends that a worker lists may be acknowledged to it."""

from geraniumwell.model.batch.worker import Worker


def may_acknowledge(worker: Worker) -> bool:
    """Tell whether the worker surely lives its known life, as far as ends matter.

    A worker that started anew under its id counts its ends anew and forgets those up
    to the acknowledged number. It has ends only of runs that it took up, so a number of
    an earlier life does harm only while a start is newer than the last report.
    """
    return all(
        task.start_settled_at is not None
        and task.start_settled_at <= worker.reported_at
        for task in worker.tasks.values()
    )
