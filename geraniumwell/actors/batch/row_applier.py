"""Applies rows of the store to the state of the scheduler."""

from collections.abc import Callable, Iterable

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX, STALLS_SUFFIX
from geraniumwell.clients.table import StoredRow
from geraniumwell.codec.batch import (
    decode_cancellation,
    decode_progress,
    decode_spec,
    decode_stalls,
)
from geraniumwell.codec.interference import decode_interference
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.batch.cancellation import apply_cancellation
from geraniumwell.commands.batch.interference import restore_pairs
from geraniumwell.commands.batch.lifecycle import add_job, mark_job_unsaved
from geraniumwell.commands.batch.registry import (
    apply_all_entries,
    apply_entry,
    apply_removed_entry,
    restore_job,
)
from geraniumwell.commands.batch.retention import (
    is_new_row,
    record_all_rows,
    record_orphans,
    record_removed_cancellation,
    record_removed_row,
    release_job_id,
)
from geraniumwell.const import INTERFERENCE_KEY
from geraniumwell.helpers.batch_metrics import UNREADABLE_ROWS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.cluster import Cluster, Order
from geraniumwell.model.batch.job import Job
from geraniumwell.model.batch.worker import WorkerEntry


class RowApplier:
    """Decodes and applies rows; logs, counts and skips unreadable ones.

    Parameters
    ----------
    decode_entry : callable
        Decodes a row of the worker registry; raises CodecError.
    """

    __slots__ = ("_cluster", "_decode_entry")

    def __init__(
        self, cluster: Cluster, decode_entry: Callable[[str, bytes], WorkerEntry]
    ) -> None:
        self._cluster = cluster
        self._decode_entry = decode_entry

    def apply_registry(self, rows: tuple[StoredRow, ...], now: float) -> list[str]:
        """Apply all rows of the registry; return the ids of removed workers."""
        entries = [self._read_entry(row) for row in rows]
        known = [entry for entry in entries if entry is not None]
        return apply_all_entries(self._cluster, known, now)

    def apply_registry_changes(
        self, rows: tuple[StoredRow, ...], now: float
    ) -> list[str]:
        """Apply changed rows of the registry; return the ids of removed workers."""
        removed: list[str] = []
        for row in rows:
            entry = None if row.is_deleted else self._read_entry(row)
            if entry is None:
                EVENT_LOG.write("worker_entry", worker=row.key, state="gone")
                if apply_removed_entry(self._cluster, row.key):
                    removed.append(row.key)
            elif apply_entry(self._cluster, entry, now):
                state = "draining" if entry.is_draining else "ready"
                EVENT_LOG.write("worker_entry", worker=row.key, state=state)
        return removed

    def restore_jobs(
        self,
        rows: tuple[StoredRow, ...],
        progress: tuple[StoredRow, ...],
        now: float,
    ) -> None:
        """Restore the jobs that an earlier scheduler has started."""
        stored = {row.key: row.value for row in progress}
        self._record_orphans(rows, stored)
        for row in rows:
            value = stored.get(row.key)
            if value is None:
                continue
            try:
                job = decode_progress(value, decode_spec(row.value))
            except CodecError as exc:
                self._report_unreadable("job", row.key, exc)
                self._cluster.unreadable_jobs.add(row.key)
                continue
            job.version = row.version
            self._restore_stalls(job, stored.get(row.key + STALLS_SUFFIX))
            restore_job(self._cluster, job, now)

    def _record_orphans(
        self, rows: tuple[StoredRow, ...], stored: dict[str, bytes]
    ) -> None:
        """Record progress and stalls of jobs whose rows were removed."""
        jobs = {row.key for row in rows}
        owners = {key: key.removesuffix(STALLS_SUFFIX) for key in stored}
        orphans = {key: owner for key, owner in owners.items() if owner not in jobs}
        record_orphans(self._cluster, orphans.values())
        self._cluster.jobs_with_stall_rows.update(
            owner for key, owner in orphans.items() if key != owner
        )

    def _restore_stalls(self, job: Job, value: bytes | None) -> None:
        if value is None:
            return
        self._cluster.jobs_with_stall_rows.add(job.spec.id)
        try:
            decode_stalls(value, job)
        except CodecError as exc:
            self._report_unreadable("stalls", job.spec.id, exc)

    def restore_interference(
        self, rows: tuple[StoredRow, ...], now: float, wall_now: float
    ) -> None:
        """Restore the evidence of interference that an earlier scheduler stored."""
        for row in rows:
            if row.key != INTERFERENCE_KEY or row.is_deleted:
                continue
            try:
                pairs = decode_interference(row.value, now, wall_now)
            except CodecError as exc:
                self._report_unreadable("interference", row.key, exc)
                continue
            restore_pairs(self._cluster.interference, pairs)

    def apply_jobs(
        self, rows: Iterable[StoredRow], now: float, wall_now: float
    ) -> list[Order]:
        """Apply rows of the job table in order; return the resulting orders.

        Adds new jobs, applies cancellations, and records removed rows.
        """
        orders: list[Order] = []
        for row in rows:
            job_id = row.key.removesuffix(CANCEL_SUFFIX)
            is_cancellation = job_id != row.key
            if row.is_deleted and is_cancellation:
                record_removed_cancellation(self._cluster, job_id, row.version)
            elif row.is_deleted:
                record_removed_row(self._cluster, job_id, row.version)
            elif is_cancellation:
                cancellation = self._read_cancellation(row)
                EVENT_LOG.write(
                    "job_cancelled", job=job_id, queues=list(cancellation.queues)
                )
                orders += apply_cancellation(
                    self._cluster, job_id, cancellation, now, wall_now
                )
            elif is_new_row(self._cluster, job_id, row.version):
                self._add_job(row, wall_now)
        return orders

    def apply_all_jobs(
        self, rows: tuple[StoredRow, ...], now: float, wall_now: float
    ) -> list[Order]:
        """Apply a complete read of the job table; return the resulting orders.

        The rows are sorted by key. Cancellations are applied first, because a job may
        have been stored after its cancellation.
        """
        record_all_rows(self._cluster, {row.key for row in rows})
        in_order = sorted(rows, key=lambda row: not row.key.endswith(CANCEL_SUFFIX))
        return self.apply_jobs(in_order, now, wall_now)

    def _add_job(self, row: StoredRow, wall_now: float) -> None:
        try:
            spec = decode_spec(row.value)
        except CodecError as exc:
            self._report_unreadable("job", row.key, exc)
            return
        has_progress = release_job_id(self._cluster, spec.id)
        add_job(self._cluster, spec, wall_now, row.version)
        if has_progress:
            mark_job_unsaved(self._cluster, spec.id)
        EVENT_LOG.write(
            "job_taken_up",
            job=spec.id,
            queue=spec.queue,
            tasks=sum(step.count for step in spec.steps),
            age=round(wall_now - spec.accepted_at, 3),
        )

    def _read_cancellation(self, row: StoredRow) -> Cancellation:
        try:
            return decode_cancellation(row.value, row.version)
        except CodecError as exc:
            self._report_unreadable("cancellation", row.key, exc)
            # Skipping it could start a job that its client has cancelled.
            return Cancellation(version=row.version)

    def _read_entry(self, row: StoredRow) -> WorkerEntry | None:
        try:
            return self._decode_entry(row.key, row.value)
        except CodecError as exc:
            self._report_unreadable("worker", row.key, exc)
            return None

    def _report_unreadable(self, kind: str, key: str, exc: CodecError) -> None:
        UNREADABLE_ROWS.labels(kind).inc()
        EVENT_LOG.write("row_unreadable", kind=kind, key=key, detail=str(exc))
