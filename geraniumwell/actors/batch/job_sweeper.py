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
    removals = (
        RowRemoval(TABLE_JOBS, job.id),
        RowRemoval(TABLE_JOBS, job.id + CANCEL_SUFFIX),
    )
    # An earlier attempt may be executed late, after the id was used again.
    condition = Condition(TABLE_JOBS, job.id, job.version)
    try:
        result = client.commit(TableTransaction((condition,), (), removals, part))
    except StoreError as exc:
        JOB_REMOVALS.labels(exc.code).inc()
        EVENT_LOG.write("sweep_failed", job=job.id, code=exc.code)
        return False
    match result:
        case Committed():
            JOB_REMOVALS.labels("removed").inc()
        case Conflict():
            # Removed by an earlier attempt or by a former leader.
            JOB_REMOVALS.labels("conflict").inc()
    return True
