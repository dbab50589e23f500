"""Explanation of the state of a gang job."""

from geraniumwell.commands.gangs.backfill import find_reservation, list_expected_ends
from geraniumwell.commands.gangs.estimates import predict_end
from geraniumwell.commands.gangs.guarantees import (
    Infeasible,
    check_guarantees,
    local_guarantees,
)
from geraniumwell.commands.gangs.ordering import order_queue
from geraniumwell.commands.gangs.plan_state import PlanState
from geraniumwell.commands.gangs.policy import Policy
from geraniumwell.commands.gangs.reclaim import (
    build_reclaimable,
    count_claims,
    find_guarantee,
    is_reclaimable,
    usable_workers,
)
from geraniumwell.commands.gangs.scheduler import plan
from geraniumwell.model.gang_view import (
    FailJob,
    GangView,
    RecordWaitReasons,
    RejectJob,
    StartGang,
    StopGang,
)
from geraniumwell.model.job import JobRecord, JobState


def explain_job(
    view: GangView, job_id: str, now: float, policy: Policy | None = None
) -> tuple[str, ...]:
    """Explain why a job waits, runs or has ended, one fact per line."""
    record = view.jobs.get(job_id)
    if record is None:
        return (f"job {job_id} is not known in {view.data_centre}",)
    lines = [f"job {job_id} of {record.job.organisation} is {record.state}"]
    if record.reason:
        lines.append(record.reason)
    match record.state:
        case JobState.ACCEPTED:
            lines += explain_waiting(view, record, now, policy or Policy())
        case JobState.STARTING | JobState.RUNNING:
            lines += explain_running(view, record, now)
        case _:
            pass
    return tuple(lines)


def explain_waiting(
    view: GangView, record: JobRecord, now: float, policy: Policy
) -> list[str]:
    """Explain what the plan decides on a waiting job, and what blocks it."""
    job_id = record.job.job_id
    lines: list[str] = []
    for effect in plan(view, policy, now):
        match effect:
            case StartGang(job_id=found, leases=leases) if found == job_id:
                names = sorted({lease.worker for lease in leases})
                return [f"it can start now on {', '.join(names)}"]
            case RejectJob(job_id=found, reason=reason) if found == job_id:
                return [f"it can't run: {reason}"]
            case FailJob(job_id=found, reason=reason) if found == job_id:
                return [f"it is recorded as failed: {reason}"]
            case RecordWaitReasons(job_id=found, lines=found_lines) if found == job_id:
                lines += found_lines
            case StopGang(job_id=victim, reason=reason) if job_id in reason.split():
                lines.append(f"{describe_holder(view, victim, now)} is stopped for it")
    queue = [r.job.job_id for r in order_queue(view, policy.order, now)]
    if job_id in queue and queue.index(job_id):
        lines.append(f"{queue.index(job_id)} waiting jobs are ahead of it")
    return lines + explain_claim(view, record) + explain_placement(view, record, now)


def explain_claim(view: GangView, record: JobRecord) -> list[str]:
    """Describe which jobs hold the copies of the guarantee that a job claims."""
    if not record.job.guaranteed:
        return []
    guarantees = local_guarantees(view)
    claimed = find_guarantee(record.job, guarantees)
    if claimed is None:
        return []
    holders = [
        other
        for other in view.leases.job_ids()
        if other in view.jobs
        and view.jobs[other].job.guaranteed
        and find_guarantee(view.jobs[other].job, guarantees) == claimed
    ]
    names = ", ".join(holders) or "no job"
    count = f"{len(holders)} of {claimed.count} copies"
    return [f"{count} of {claimed.name} of {claimed.organisation} are held by {names}"]


def explain_placement(view: GangView, record: JobRecord, now: float) -> list[str]:
    """Describe where and when a job would fit first, and which jobs block it there."""
    policy = Policy()
    state = PlanState(view, policy, now)
    reservation = find_reservation(
        view,
        state.free_now,
        record.job.shape,
        policy.packing,
        list_expected_ends(view, now, False),
        state.list_workers_to_avoid(record),
    )
    if reservation is None:
        return ["it doesn't fit on the usable workers even after running work ends"]
    workers = ", ".join(sorted({worker for worker, _ in reservation.slots}))
    lines = [
        f"by the estimated run times it fits first on {workers} "
        f"in {max(0.0, reservation.at - now):.0f} s"
    ]
    lines += [
        f"these resources are held by {describe_holder(view, holder, now)}"
        for holder in reservation.after
    ]
    return lines


def describe_holder(view: GangView, job_id: str, now: float) -> str:
    """Describe a running job by its organisation and expected remaining time."""
    record = view.jobs.get(job_id)
    if record is None:
        return f"{job_id}, which has no record"
    left = max(0.0, predict_end(view, record, now) - now)
    return f"{job_id} of {record.job.organisation}, expected to run {left:.0f} s more"


def explain_running(view: GangView, record: JobRecord, now: float) -> list[str]:
    """Describe where a job runs and whose guaranteed capacity it uses."""
    job = record.job
    leases = [report.lease for report in view.leases.list_by_job(job.job_id)]
    lines = [f"it holds {', '.join(sorted({lease.worker for lease in leases}))}"]
    if job.guaranteed or not is_reclaimable(job):
        return lines
    guarantees = local_guarantees(view)
    workers = usable_workers(view, now)
    occ = build_reclaimable(view, workers)
    for lease in leases:
        occ.allocate_lease(lease)
    match check_guarantees(workers, guarantees, count_claims(view, guarantees), occ):
        case Infeasible(missing=missing):
            names = sorted({copy.guarantee for copy in missing})
            owners = ", ".join(
                f"{name} of {view.cfg.guarantees[name].organisation}" for name in names
            )
            lines.append(f"it uses capacity of {owners} until that is claimed")
        case _:
            pass
    return lines
