"""Encoding of the rows of the batch service in the store."""

from typing import Any
from zlib import crc32

from geraniumwell.codec.json import CodecError
from geraniumwell.codec.packed_rows import pack_row, unpack_row
from geraniumwell.const import JOB_PARTITIONS
from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.job import (
    Job,
    JobSpec,
    JobState,
    Phase,
    StepRun,
    Task,
    open_occurrence,
)
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.peer import Peer

# Content of the cancellations that earlier versions stored.
EARLIER_CANCELLATION = b"x"


def find_job_partition(job_id: str) -> str:
    """Return the store partition of a job and its cancellation."""
    return JOB_PARTITIONS[crc32(job_id.encode()) % len(JOB_PARTITIONS)]


def encode_spec(spec: JobSpec) -> bytes:
    """Return the row of a job as it was submitted."""
    return pack_row(spec)


def decode_spec(data: bytes) -> JobSpec:
    """Return the submitted job in a row.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    return unpack_row(data, JobSpec)


def encode_cancellation(cancellation: Cancellation) -> bytes:
    """Return the row of a cancellation."""
    return pack_row([cancellation.queues, cancellation.cancelled_at])


def decode_cancellation(data: bytes, version: int) -> Cancellation:
    """Return the cancellation in a row with a version of the store.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    if data == EARLIER_CANCELLATION:
        return Cancellation(version=version)
    queues, cancelled_at = unpack_row(data, tuple[tuple[str, ...], float])
    return Cancellation(queues, cancelled_at, version)


def encode_leader(row: LeaderRow) -> bytes:
    """Return the row of the leader."""
    return pack_row(row)


def decode_leader(data: bytes) -> LeaderRow:
    """Return the leader in a row.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    return unpack_row(data, LeaderRow)


def encode_peer(peer: Peer) -> bytes:
    """Return the row of a daemon."""
    return pack_row(peer)


def decode_peer(data: bytes) -> Peer:
    """Return the daemon in a row.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    return unpack_row(data, Peer)


def encode_progress(job: Job) -> bytes:
    """Return the row of a job's progress, which for ended jobs holds no steps."""
    head = [job.state.value, job.has_begun, job.ended_at, job.opened_occurrences]
    if job.ended_at:
        return pack_row([*head, [], []])
    steps = [
        _encode_step(step)
        for step in job.steps.values()
        if step.occurrence not in job.finished_occurrences
    ]
    return pack_row([*head, sorted(job.finished_occurrences), steps])


def _encode_step(step: StepRun) -> list[Any]:
    tasks = [
        [t.phase.value, t.run, t.failures, t.worker, t.checkpoint] for t in step.tasks
    ]
    return [step.occurrence, step.step, step.gang_failures, step.failed_run, tasks]


def encode_stalls(job: Job) -> bytes:
    """Return the row of a job's stalls.

    It is not part of the progress row, which earlier versions could not read then.
    """
    return pack_row(
        [
            [step.occurrence, step.step, step.stalls, step.stall_suspects]
            for step in job.steps.values()
            if step.stalls
        ]
    )


def decode_stalls(data: bytes, job: Job) -> None:
    """Restore the stalls of a job from their row.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    for occurrence, number, stalls, suspects in unpack_row(
        data, list[tuple[int, int, int, tuple[str, ...]]]
    ):
        if step := job.steps.get((occurrence, number)):
            step.stalls, step.stall_suspects = stalls, suspects


def decode_state(data: bytes) -> tuple[JobState, bool]:
    """Return the state in a progress row, and whether the job has begun.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    value = unpack_row(data, list)
    try:
        return JobState(value[0]), bool(value[1])
    except (ValueError, IndexError) as exc:
        raise CodecError(f"row holds no progress: {exc}") from exc


def decode_progress(data: bytes, spec: JobSpec) -> Job:
    """Return the progress of a job from its row.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    value = unpack_row(data, list)
    try:
        state, has_begun, ended_at, opened, finished, steps = value
        job = Job(spec, JobState(state), has_begun=has_begun, ended_at=ended_at)
        job.opened_occurrences = opened
        job.finished_occurrences = set(finished)
        if not job.ended_at:
            for occurrence in range(opened):
                open_occurrence(job, occurrence)
        for item in steps:
            _restore_step(job, item)
    except (ValueError, TypeError, LookupError) as exc:
        raise CodecError(f"row holds no progress of {spec.id}: {exc}") from exc
    for (occurrence, _), step in job.steps.items():
        if occurrence in job.finished_occurrences:
            for task in step.tasks:
                task.phase = Phase.DONE
    return job


def _restore_step(job: Job, item: list[Any]) -> None:
    occurrence, number, gang_failures, failed_run, tasks = item
    step = job.steps[occurrence, number]
    step.gang_failures, step.failed_run = gang_failures, failed_run
    for task, row in zip(step.tasks, tasks, strict=True):
        _restore_task(task, row)


def _restore_task(task: Task, row: list[Any]) -> None:
    phase, task.run, task.failures, task.worker, task.checkpoint = row
    task.phase = Phase(phase)
