"""State machine of one gang: reserve, start and extend all its leases, or stop all.

Calls to workers may be repeated, so every step tolerates repeated responses. Times are
monotonic seconds.
"""

from dataclasses import replace

from geraniumwell.const import (
    TASK_LEASE_SECONDS,
    TASK_RESERVATION_SECONDS,
)
from geraniumwell.model.gang_run import (
    AllFinished,
    CallFailed,
    CheckpointTask,
    ClockTick,
    ExtendTask,
    GangAttempt,
    GangEffect,
    GangEvent,
    GangMemberFailed,
    GangMemberLost,
    GangOutcome,
    GangPhase,
    RecordEnd,
    RecordRunning,
    ReserveTask,
    StartTask,
    StoppedOnRequest,
    StopRequested,
    StopTask,
    TaskEffect,
    TaskExtended,
    TaskMissing,
    TaskReported,
)
from geraniumwell.model.worker import TaskLease, TaskReport, TaskState

# A start that is sent later could be the only one to reach its worker before the
# reservations of the other gang members expire.
START_TIMEOUT_SECONDS = TASK_RESERVATION_SECONDS - 1.0
ENDED_TASK_STATES = (TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED)

Step = tuple[GangAttempt, tuple[GangEffect, ...]]


def begin_start(
    job_id: str, attempt: int, leases: tuple[TaskLease, ...], now: float
) -> Step:
    """Return a new gang, which reserves all its leases first."""
    gang = GangAttempt(job_id, attempt, leases, GangPhase.RESERVING, now)
    return _enter(gang, GangPhase.RESERVING, now)


def adopt_running(
    job_id: str, attempt: int, leases: tuple[TaskLease, ...], now: float
) -> Step:
    """Return a gang that another decider started; its leases are extended.

    A gang member on an unreachable worker is lost if its lease isn't renewed in time,
    as for a gang that was not adopted.
    """
    gang = _adopt(job_id, attempt, leases, now)
    return gang, (*(ExtendTask(lease) for lease in leases), RecordRunning())


def adopt_stopping(
    job_id: str,
    attempt: int,
    leases: tuple[TaskLease, ...],
    outcome: GangOutcome,
    now: float,
) -> Step:
    """Return a gang that stops all tasks that another decider may have left."""
    gang = _adopt(job_id, attempt, leases, now)
    return _stop(replace(gang, outcome=outcome), now)


def _adopt(
    job_id: str, attempt: int, leases: tuple[TaskLease, ...], now: float
) -> GangAttempt:
    # The previous decider may have sent renewals until just before the election, so any
    # of these leases may still be extended once.
    return GangAttempt(
        job_id,
        attempt,
        leases,
        GangPhase.RUNNING,
        now,
        last_answer_at={lease.lease_id: now for lease in leases},
        extended=True,
        unanswered=frozenset(lease.lease_id for lease in leases),
    )


def advance(gang: GangAttempt, event: GangEvent, now: float) -> Step:
    """Return the gang after an event, and the effects that follow."""
    if gang.phase is GangPhase.ENDED:
        return gang, ()
    match event:
        case TaskReported(report):
            return _record_report(gang, report, now)
        case TaskExtended(lease_id):
            gang = _confirm(gang, lease_id, now, GangPhase.EXTENDING)
            return _advance_phase(gang, now)
        case TaskMissing(lease_id):
            return _record_missing(gang, lease_id, now)
        case CallFailed(lease_id, was_sent):
            return _record_failed_call(gang, lease_id, was_sent), ()
        case StopRequested(reason, save_seconds):
            return _request_stop(gang, reason, save_seconds, now)
        case ClockTick():
            return _handle_tick(gang, now)


def list_renewable(gang: GangAttempt) -> tuple[TaskLease, ...]:
    """Return the leases of a running gang that the periodic renewal extends."""
    if gang.phase not in (GangPhase.RUNNING, GangPhase.SAVING):
        return ()
    return tuple(lease for lease in gang.leases if lease.lease_id not in gang.finished)


def _record_report(gang: GangAttempt, report: TaskReport, now: float) -> Step:
    lease_id = report.lease.lease_id
    if gang.find(lease_id) is None or lease_id in gang.ended:
        return gang, ()
    if report.checkpoint_seconds:
        saved_seconds = {**gang.saved_seconds, lease_id: report.checkpoint_seconds}
        gang = replace(gang, saved_seconds=saved_seconds)
    if report.state is TaskState.FINISHED:
        gang = replace(gang, finished=gang.finished | {lease_id})
    if report.state in ENDED_TASK_STATES:
        return _record_end(gang, report, now)
    match gang.phase, report.state:
        case GangPhase.RESERVING, _:
            gang = _confirm(gang, lease_id, now, GangPhase.RESERVING)
        case GangPhase.STARTING, TaskState.RUNNING | TaskState.CHECKPOINTING:
            gang = _confirm(gang, lease_id, now, GangPhase.STARTING)
        case _:
            # The report belongs to a call of an earlier phase or to another call.
            gang = replace(gang, in_flight=gang.in_flight - {lease_id})
    return _advance_phase(gang, now)


def _record_end(gang: GangAttempt, report: TaskReport, now: float) -> Step:
    lease_id = report.lease.lease_id
    gang = replace(
        gang,
        ended=gang.ended | {lease_id},
        pending=gang.pending - {lease_id},
        in_flight=gang.in_flight - {lease_id},
    )
    if gang.phase in (GangPhase.STOPPING, GangPhase.SAVING):
        return _advance_phase(gang, now)
    match report.state:
        case TaskState.FINISHED:
            return _advance_phase(gang, now)
        case TaskState.FAILED:
            outcome: GangOutcome = GangMemberFailed(report.lease.worker, report.reason)
        case _:
            outcome = GangMemberLost(report.lease.worker, report.reason)
    return _stop(replace(gang, outcome=outcome), now)


def _record_failed_call(
    gang: GangAttempt, lease_id: str, was_sent: bool
) -> GangAttempt:
    in_flight = gang.in_flight - {lease_id}
    if not was_sent:
        return replace(gang, in_flight=in_flight)
    return replace(gang, in_flight=in_flight, unanswered=gang.unanswered | {lease_id})


def _record_missing(gang: GangAttempt, lease_id: str, now: float) -> Step:
    lease = gang.find(lease_id)
    if lease is None or lease_id in gang.ended:
        return gang, ()
    gang = replace(
        gang,
        ended=gang.ended | {lease_id},
        pending=gang.pending - {lease_id},
        in_flight=gang.in_flight - {lease_id},
    )
    if gang.phase in (GangPhase.STOPPING, GangPhase.SAVING):
        return _advance_phase(gang, now)
    reason = f"worker {lease.worker} does not hold the lease"
    return _stop(replace(gang, outcome=GangMemberLost(lease.worker, reason)), now)


def _request_stop(
    gang: GangAttempt, reason: str, save_seconds: float, now: float
) -> Step:
    if gang.phase is GangPhase.STOPPING:
        return gang, ()
    gang = replace(gang, outcome=StoppedOnRequest(reason))
    if gang.phase is GangPhase.SAVING:
        return gang, ()
    if save_seconds and gang.phase is GangPhase.RUNNING:
        return _enter(replace(gang, save_seconds=save_seconds), GangPhase.SAVING, now)
    return _stop(gang, now)


def _confirm(
    gang: GangAttempt, lease_id: str, now: float, phase: GangPhase
) -> GangAttempt:
    """Record a worker's confirmation, which counts only for the step of ``phase``."""
    last_answer_at = {**gang.last_answer_at, lease_id: now}
    in_flight = gang.in_flight - {lease_id}
    if gang.phase is not phase:
        return replace(gang, last_answer_at=last_answer_at, in_flight=in_flight)
    pending = gang.pending - {lease_id}
    return replace(
        gang, last_answer_at=last_answer_at, in_flight=in_flight, pending=pending
    )


def _advance_phase(gang: GangAttempt, now: float) -> Step:
    if gang.phase is GangPhase.RUNNING and len(gang.finished) == len(gang.leases):
        return _end(gang)
    if gang.pending or gang.phase in (GangPhase.RUNNING, GangPhase.SAVING):
        return gang, ()
    match gang.phase:
        case GangPhase.RESERVING:
            return _enter(gang, GangPhase.STARTING, now)
        case GangPhase.STARTING:
            return _enter(replace(gang, extended=True), GangPhase.EXTENDING, now)
        case GangPhase.EXTENDING:
            gang = replace(gang, phase=GangPhase.RUNNING)
            if len(gang.finished) == len(gang.leases):
                return _end(gang)
            return gang, (RecordRunning(),)
        case _:
            return _end(gang)


def _end(gang: GangAttempt) -> Step:
    outcome = gang.outcome
    if gang.leases and len(gang.finished) == len(gang.leases):
        outcome = AllFinished()
    saved_seconds = min(
        (gang.saved_seconds.get(lease.lease_id, 0.0) for lease in gang.leases),
        default=0.0,
    )
    return replace(gang, phase=GangPhase.ENDED), (RecordEnd(outcome, saved_seconds),)


def _stop(gang: GangAttempt, now: float) -> Step:
    return _enter(gang, GangPhase.STOPPING, now)


def _enter(gang: GangAttempt, phase: GangPhase, now: float) -> Step:
    # The time limits of a start count from its reservations, not from each phase.
    phase_started_at = (
        gang.phase_started_at
        if phase in (GangPhase.STARTING, GangPhase.EXTENDING)
        else now
    )
    open_ids = frozenset(lease.lease_id for lease in gang.leases) - gang.ended
    gang = replace(
        gang,
        phase=phase,
        phase_started_at=phase_started_at,
        pending=open_ids,
        in_flight=frozenset(),
    )
    if not open_ids:
        return _advance_phase(gang, now)
    return _send(gang)


def _send(gang: GangAttempt) -> Step:
    due = [
        lease
        for lease in gang.leases
        if lease.lease_id in gang.pending and lease.lease_id not in gang.in_flight
    ]
    in_flight = gang.in_flight | {lease.lease_id for lease in due}
    return replace(gang, in_flight=in_flight), tuple(
        _make_call(gang.phase, lease) for lease in due
    )


def _make_call(phase: GangPhase, lease: TaskLease) -> TaskEffect:
    match phase:
        case GangPhase.RESERVING:
            return ReserveTask(lease)
        case GangPhase.STARTING:
            return StartTask(lease)
        case GangPhase.SAVING:
            return CheckpointTask(lease)
        case GangPhase.STOPPING:
            return StopTask(lease)
        case _:
            return ExtendTask(lease)


def _handle_tick(gang: GangAttempt, now: float) -> Step:
    match gang.phase:
        case GangPhase.RUNNING:
            return _check_running(gang, now)
        case GangPhase.SAVING:
            if now >= gang.phase_started_at + gang.save_seconds:
                return _stop(gang, now)
            return gang, ()
        case GangPhase.STOPPING:
            return _check_stopping(gang, now)
    limit = START_TIMEOUT_SECONDS
    if gang.phase is GangPhase.EXTENDING:
        limit = TASK_RESERVATION_SECONDS
    if now < gang.phase_started_at + limit:
        return _send(gang)
    lease = next(lease for lease in gang.leases if lease.lease_id in gang.pending)
    reason = f"worker {lease.worker} did not answer in time while {gang.phase}"
    return _stop(replace(gang, outcome=GangMemberLost(lease.worker, reason)), now)


def _check_running(gang: GangAttempt, now: float) -> Step:
    for lease in gang.leases:
        last_answer_at = gang.last_answer_at.get(lease.lease_id, gang.phase_started_at)
        if lease.lease_id in gang.ended or now < last_answer_at + TASK_LEASE_SECONDS:
            continue
        reason = f"worker {lease.worker} did not renew the lease in time"
        return _stop(replace(gang, outcome=GangMemberLost(lease.worker, reason)), now)
    return gang, ()


def _check_stopping(gang: GangAttempt, now: float) -> Step:
    expired = {i for i in gang.pending if now >= find_lease_expiry(gang, i)}
    gang = replace(gang, pending=gang.pending - expired, ended=gang.ended | expired)
    return _send(gang) if gang.pending else _end(gang)


def find_lease_expiry(gang: GangAttempt, lease_id: str) -> float:
    """Return when a lease has expired at the latest, even on an unreachable worker.

    An unanswered call may be applied as late as the end of the lease and extend it once
    more, so the lease then expires two lifetimes after the last response.
    """
    lifetimes = 2 if lease_id in gang.unanswered else 1
    last_answer_at = gang.last_answer_at.get(lease_id, gang.phase_started_at)
    if gang.extended:
        return last_answer_at + lifetimes * TASK_LEASE_SECONDS
    return (
        max(last_answer_at, gang.phase_started_at)
        + lifetimes * TASK_RESERVATION_SECONDS
    )
