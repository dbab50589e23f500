"""Actor that removes the rows of jobs whose retention time is over."""

from typing import Any

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX
from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.supervised_actor import ClientActor
from geraniumwell.clients.table import (
    RowRemoval,
    StoreError,
    TableTransaction,
)
from geraniumwell.codec.batch import find_job_partition
from geraniumwell.const import TABLE_JOBS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import JobRowsRemoved, RemoveJobRows


class JobSweeper(ClientActor):
    """Removes the rows of jobs and reports to its owner which ones were removed.

    A job without progress counts as new, so the scheduler removes the progress only
    after this report.
    """

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case RemoveJobRows(ids):
                removed = tuple(job_id for job_id in ids if self._remove_rows(job_id))
                tell(self._owner, JobRowsRemoved(removed))

    def _remove_rows(self, job_id: str) -> bool:
        removals = (
            RowRemoval(TABLE_JOBS, job_id),
            RowRemoval(TABLE_JOBS, job_id + CANCEL_SUFFIX),
        )
        part = find_job_partition(job_id)
        try:
            self._client.commit(TableTransaction((), (), removals, part))
        except StoreError as exc:
            # The rows stay; the next scheduler finds the job ended and expired.
            EVENT_LOG.write("sweep_failed", job=job_id, code=exc.code)
            return False
        return True
