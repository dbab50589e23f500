"""Actor that removes the rows of jobs whose retention time is over."""

from typing import Any

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX
from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.supervised_actor import ClientActor
from geraniumwell.clients.table import (
    Committed,
    Condition,
    Conflict,
    RowRemoval,
    StoreError,
    TableClient,
    TableTransaction,
)
from geraniumwell.codec.batch import find_job_partition
from geraniumwell.const import TABLE_JOBS
from geraniumwell.helpers.batch_metrics import JOB_REMOVALS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import JobRowsRemoved, RemoveJobRows
from geraniumwell.model.batch.removal import ExpiredJob


class JobSweeper(ClientActor):
    """Removes the rows of jobs and reports to its owner which ones are gone.

    A job without progress counts as new, so the scheduler removes the progress only
    after the rows.
    """

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case RemoveJobRows(jobs):
                tell(self._owner, JobRowsRemoved(remove_job_rows(self._client, jobs)))


def remove_job_rows(
    client: TableClient, jobs: tuple[ExpiredJob, ...]
) -> tuple[str, ...]:
    """Remove the rows of jobs; return the ids of those whose rows are gone.

    After a failure, the partition is not called again for the other jobs.
    """
    removed: list[str] = []
    failed_parts: set[str] = set()
    for job in jobs:
        part = find_job_partition(job.id)
        if part in failed_parts:
            JOB_REMOVALS.labels("skipped").inc()
        elif _remove_rows(client, job, part):
            removed.append(job.id)
        else:
            failed_parts.add(part)
    return tuple(removed)


def _remove_rows(client: TableClient, job: ExpiredJob, part: str) -> bool:
    # An earlier attempt may be executed late, after the id was used or cancelled again.
    conditions = [Condition(TABLE_JOBS, job.id, job.version)]
    removals: list[RowRemoval] = []
    if job.version:
        removals.append(RowRemoval(TABLE_JOBS, job.id))
    if job.cancellation_version:
        key = job.id + CANCEL_SUFFIX
        conditions.append(Condition(TABLE_JOBS, key, job.cancellation_version))
        removals.append(RowRemoval(TABLE_JOBS, key))
    transaction = TableTransaction(tuple(conditions), (), tuple(removals), part)
    try:
        result = client.commit(transaction)
    except StoreError as exc:
        JOB_REMOVALS.labels(exc.code).inc()
        EVENT_LOG.write("sweep_failed", job=job.id, code=exc.code)
        return False
    match result:
        case Committed():
            JOB_REMOVALS.labels("removed").inc()
        case Conflict(rows):
            JOB_REMOVALS.labels("conflict").inc()
            # The job was removed by an earlier attempt or a former leader, or a job was
            # stored beside the cancellation. Otherwise only the cancellation has
            # changed, and the request has to be made again.
            return all(row.version != job.version for row in rows if row.key == job.id)
    return True
