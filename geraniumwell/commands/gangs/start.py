"""State machine of one gang: reserve all, start all, extend all, or stop all.

Every step may be repeated, because each call to a worker may be. Times are monotonic.
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
    GangOutcome,
    MemberFailed,
    MemberLost,
    Phase,
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

# A start sent later could be the only one to reach its worker before the
# reservations of the other members lapse.
START_SECONDS = TASK_RESERVATION_SECONDS - 1.0
ENDED_STATES = (TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED)

Step = tuple[GangAttempt, tuple[GangEffect, ...]]


def begin_start(
    job_id: str, attempt: int, leases: tuple[TaskLease, ...], now: float
) -> Step:
    """Return a gang that reserves all its leases."""
    gang = GangAttempt(job_id, attempt, leases, Phase.RESERVING, now)
    return _enter(gang, Phase.RESERVING, now)


def adopt_running(
    job_id: str, attempt: int, leases: tuple[TaskLease, ...], now: float
) -> Step:
    """Return a gang whose members another decider started; its leases are extended.

    A member that can't be reached is lost when it isn't renewed in time, as it would
    be under one decider.
    """
    gang = _adopt(job_id, attempt, leases, now)
    return gang, (*(ExtendTask(ls) for ls in leases), RecordRunning())


def adopt_stopping(
    job_id: str,
    attempt: int,
    leases: tuple[TaskLease, ...],
    outcome: GangOutcome,
    now: float,
) -> Step:
    """Return a gang that stops what another decider may have left."""
    gang = _adopt(job_id, attempt, leases, now)
    return _stop(replace(gang, outcome=outcome), now)


def _adopt(
    job_id: str, attempt: int, leases: tuple[TaskLease, ...], now: float
) -> GangAttempt:
    # The earlier decider may have sent renewals until just before the election.
    return GangAttempt(
        job_id,
        attempt,
        leases,
        Phase.RUNNING,
        now,
        heard={ls.lease_id: now for ls in leases},
        extended=True,
        unsure=frozenset(ls.lease_id for ls in leases),
    )


def advance(gang: GangAttempt, event: GangEvent, now: float) -> Step:
    """Return the gang after an event, and the effects that follow."""
    if gang.phase is Phase.ENDED:
        return gang, ()
    match event:
        case TaskReported(report):
            return _note_report(gang, report, now)
        case TaskExtended(lease_id):
            gang = _confirm(gang, lease_id, now, Phase.EXTENDING)
            return _complete(gang, now)
        case TaskMissing(lease_id):
            return _note_missing(gang, lease_id, now)
        case CallFailed(lease_id, was_sent):
            return _note_failed_call(gang, lease_id, was_sent), ()
        case StopRequested(reason, save_seconds):
            return _request_stop(gang, reason, save_seconds, now)
        case ClockTick():
            return _pass_time(gang, now)


def list_renewable(gang: GangAttempt) -> tuple[TaskLease, ...]:
    """Return the leases of a running gang that the periodic renewal extends."""
    if gang.phase not in (Phase.RUNNING, Phase.SAVING):
        return ()
    return tuple(ls for ls in gang.leases if ls.lease_id not in gang.finished)


def _note_report(gang: GangAttempt, report: TaskReport, now: float) -> Step:
    lease_id = report.lease.lease_id
    if gang.find(lease_id) is None or lease_id in gang.ended:
        return gang, ()
    if report.checkpoint_seconds:
        saved = {**gang.saved, lease_id: report.checkpoint_seconds}
        gang = replace(gang, saved=saved)
    if report.state is TaskState.FINISHED:
        gang = replace(gang, finished=gang.finished | {lease_id})
    if report.state in ENDED_STATES:
        return _note_end(gang, report, now)
    match gang.phase, report.state:
        case Phase.RESERVING, _:
            gang = _confirm(gang, lease_id, now, Phase.RESERVING)
        case Phase.STARTING, TaskState.RUNNING | TaskState.CHECKPOINTING:
            gang = _confirm(gang, lease_id, now, Phase.STARTING)
        case _:
            # The report answers a call of an earlier step or another purpose.
            gang = replace(gang, in_flight=gang.in_flight - {lease_id})
    return _complete(gang, now)


def _note_end(gang: GangAttempt, report: TaskReport, now: float) -> Step:
    lease_id = report.lease.lease_id
    gang = replace(
        gang,
        ended=gang.ended | {lease_id},
        pending=gang.pending - {lease_id},
        in_flight=gang.in_flight - {lease_id},
    )
    if gang.phase in (Phase.STOPPING, Phase.SAVING):
        return _complete(gang, now)
    match report.state:
        case TaskState.FINISHED:
            return _complete(gang, now)
        case TaskState.FAILED:
            outcome: GangOutcome = MemberFailed(report.lease.worker, report.reason)
        case _:
            outcome = MemberLost(report.lease.worker, report.reason)
    return _stop(replace(gang, outcome=outcome), now)


def _note_failed_call(gang: GangAttempt, lease_id: str, was_sent: bool) -> GangAttempt:
    in_flight = gang.in_flight - {lease_id}
    if not was_sent:
        return replace(gang, in_flight=in_flight)
    return replace(gang, in_flight=in_flight, unsure=gang.unsure | {lease_id})


def _note_missing(gang: GangAttempt, lease_id: str, now: float) -> Step:
    lease = gang.find(lease_id)
    if lease is None or lease_id in gang.ended:
        return gang, ()
    gang = replace(
        gang,
        ended=gang.ended | {lease_id},
        pending=gang.pending - {lease_id},
        in_flight=gang.in_flight - {lease_id},
    )
    if gang.phase in (Phase.STOPPING, Phase.SAVING):
        return _complete(gang, now)
    reason = f"worker {lease.worker} does not hold the lease"
    return _stop(replace(gang, outcome=MemberLost(lease.worker, reason)), now)


def _request_stop(
    gang: GangAttempt, reason: str, save_seconds: float, now: float
) -> Step:
    if gang.phase is Phase.STOPPING:
        return gang, ()
    gang = replace(gang, outcome=StoppedOnRequest(reason))
    if gang.phase is Phase.SAVING:
        return gang, ()
    if save_seconds and gang.phase is Phase.RUNNING:
        return _enter(replace(gang, save_seconds=save_seconds), Phase.SAVING, now)
    return _stop(gang, now)


def _confirm(gang: GangAttempt, lease_id: str, now: float, phase: Phase) -> GangAttempt:
    heard = {**gang.heard, lease_id: now}
    in_flight = gang.in_flight - {lease_id}
    if gang.phase is not phase:
        return replace(gang, heard=heard, in_flight=in_flight)
    pending = gang.pending - {lease_id}
    return replace(gang, heard=heard, in_flight=in_flight, pending=pending)


def _complete(gang: GangAttempt, now: float) -> Step:
    if gang.phase is Phase.RUNNING and len(gang.finished) == len(gang.leases):
        return _end(gang)
    if gang.pending or gang.phase in (Phase.RUNNING, Phase.SAVING):
        return gang, ()
    match gang.phase:
        case Phase.RESERVING:
            return _enter(gang, Phase.STARTING, now)
        case Phase.STARTING:
            return _enter(replace(gang, extended=True), Phase.EXTENDING, now)
        case Phase.EXTENDING:
            gang = replace(gang, phase=Phase.RUNNING)
            if len(gang.finished) == len(gang.leases):
                return _end(gang)
            return gang, (RecordRunning(),)
        case _:
            return _end(gang)


def _end(gang: GangAttempt) -> Step:
    outcome = gang.outcome
    if gang.leases and len(gang.finished) == len(gang.leases):
        outcome = AllFinished()
    saved = min((gang.saved.get(ls.lease_id, 0.0) for ls in gang.leases), default=0.0)
    return replace(gang, phase=Phase.ENDED), (RecordEnd(outcome, saved),)


def _stop(gang: GangAttempt, now: float) -> Step:
    return _enter(gang, Phase.STOPPING, now)


def _enter(gang: GangAttempt, phase: Phase, now: float) -> Step:
    since = gang.since if phase in (Phase.STARTING, Phase.EXTENDING) else now
    open_ids = frozenset(ls.lease_id for ls in gang.leases) - gang.ended
    gang = replace(
        gang, phase=phase, since=since, pending=open_ids, in_flight=frozenset()
    )
    if not open_ids:
        return _complete(gang, now)
    return _send(gang)


def _send(gang: GangAttempt) -> Step:
    due = [
        ls
        for ls in gang.leases
        if ls.lease_id in gang.pending and ls.lease_id not in gang.in_flight
    ]
    in_flight = gang.in_flight | {ls.lease_id for ls in due}
    return replace(gang, in_flight=in_flight), tuple(
        _make_call(gang.phase, lease) for lease in due
    )


def _make_call(phase: Phase, lease: TaskLease) -> TaskEffect:
    match phase:
        case Phase.RESERVING:
            return ReserveTask(lease)
        case Phase.STARTING:
            return StartTask(lease)
        case Phase.SAVING:
            return CheckpointTask(lease)
        case Phase.STOPPING:
            return StopTask(lease)
        case _:
            return ExtendTask(lease)


def _pass_time(gang: GangAttempt, now: float) -> Step:
    match gang.phase:
        case Phase.RUNNING:
            return _check_running(gang, now)
        case Phase.SAVING:
            if now >= gang.since + gang.save_seconds:
                return _stop(gang, now)
            return gang, ()
        case Phase.STOPPING:
            return _check_stopping(gang, now)
    limit = START_SECONDS
    if gang.phase is Phase.EXTENDING:
        limit = TASK_RESERVATION_SECONDS
    if now < gang.since + limit:
        return _send(gang)
    late = next(ls for ls in gang.leases if ls.lease_id in gang.pending)
    reason = f"worker {late.worker} did not answer in time while {gang.phase}"
    return _stop(replace(gang, outcome=MemberLost(late.worker, reason)), now)


def _check_running(gang: GangAttempt, now: float) -> Step:
    for lease in gang.leases:
        heard = gang.heard.get(lease.lease_id, gang.since)
        if lease.lease_id in gang.ended or now < heard + TASK_LEASE_SECONDS:
            continue
        reason = f"worker {lease.worker} did not renew the lease in time"
        return _stop(replace(gang, outcome=MemberLost(lease.worker, reason)), now)
    return gang, ()


def _check_stopping(gang: GangAttempt, now: float) -> Step:
    gone = {i for i in gang.pending if now >= find_lapse(gang, i)}
    gang = replace(gang, pending=gang.pending - gone, ended=gang.ended | gone)
    return _send(gang) if gang.pending else _end(gang)


def find_lapse(gang: GangAttempt, lease_id: str) -> float:
    """Return the time from which an unreachable worker surely dropped the lease.

    A call without an answer may be applied as late as the lease ends, and prolong
    it once more; so the lease is then gone two lifetimes after the last answer.
    """
    lifetimes = 2 if lease_id in gang.unsure else 1
    heard = gang.heard.get(lease_id, gang.since)
    if gang.extended:
        return heard + lifetimes * TASK_LEASE_SECONDS
    return max(heard, gang.since) + lifetimes * TASK_RESERVATION_SECONDS
