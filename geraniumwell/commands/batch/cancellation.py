"""Records the cancellations of job ids and applies them to jobs.

A submission without a response may be stored seconds after the id was cancelled, and
its job must not start then. So cancellations are kept for the same time as ended jobs,
also those without a job.
"""

from geraniumwell.commands.batch.lifecycle import cancel_job
from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.cluster import Cluster, Order


def extend_cancellation(
    known: Cancellation | None, queue: str, wall_now: float
) -> Cancellation:
    """Return the cancellation to store when an id is cancelled through a queue.

    Another queue may use the same id, and the cancellation in that queue stays valid.
    """
    if known is None:
        return Cancellation((queue,), wall_now)
    if not known.queues:
        return Cancellation((), wall_now)
    return Cancellation(tuple(sorted({*known.queues, queue})), wall_now)


def apply_cancellation(
    cluster: Cluster,
    job_id: str,
    cancellation: Cancellation,
    now: float,
    wall_now: float,
) -> list[Order]:
    """Record a stored cancellation, and cancel the job that was stored before it.

    Return the stop orders for its running tasks. A job that is stored later is
    cancelled when it is added, if the cancellation is still stored then.
    """
    known = cluster.cancellations.get(job_id)
    if known is not None and known.version > cancellation.version:
        # After a complete read the feed repeats changes that it already contained.
        return []
    cluster.cancellations[job_id] = cancellation
    job = cluster.jobs.get(job_id)
    if job is None:
        # An earlier row of the cancellation may have been requested to be removed.
        cluster.removals.requested.discard(job_id)
        return []
    if cancellation.version < job.version:
        # The feed may repeat the cancellation of an earlier job with the same id.
        return []
    if not cancellation.applies_to(job.spec.queue):
        return []
    return cancel_job(cluster, job_id, now, wall_now)
