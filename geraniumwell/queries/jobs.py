"""Explanation of a job from its record, its current attempt and the plan."""

from geraniumwell.commands.gangs.guarantees import WorkerAtRisk, find_workers_at_risk
from geraniumwell.messages.gangs import JobExplanation
from geraniumwell.model.gang_run import GangAttempt, GangPhase
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.job import JobRecord
from geraniumwell.queries.job_explanation import explain_job


def explain_record(
    record: JobRecord | None, attempt: GangAttempt | None, view: GangView, now: float
) -> JobExplanation:
    """Explain the state of a job.

    Parameters
    ----------
    record : JobRecord or None
        The newest record of the job.
    attempt : GangAttempt or None
        Its current attempt.
    view : GangView
        Input of the plan; it lacks jobs that have ended or are retried later.
    now : float
        Unix seconds.
    """
    if record is None:
        return JobExplanation(None, ("no such job is recorded",))
    job_id = record.job.job_id
    if job_id in view.jobs:
        lines = list(explain_job(view, job_id, now))
    else:
        lines = [f"job {job_id} of {record.job.organisation} is {record.state}"]
        if record.reason:
            lines.append(record.reason)
    if attempt is not None:
        lines += _describe_attempt(attempt, view.unreachable)
    if record.job.guaranteed:
        lines += describe_risks(find_workers_at_risk(view, now))
    return JobExplanation(record, tuple(lines))


def describe_risks(risks: tuple[WorkerAtRisk, ...]) -> list[str]:
    """Describe each worker whose loss alone would break a guarantee, one per line."""
    return [
        f"the loss of worker {risk.worker} would break guarantee "
        f"{', '.join(risk.guarantees)}: {risk.reason}"
        for risk in risks
    ]


def _describe_attempt(attempt: GangAttempt, unreachable: frozenset[str]) -> list[str]:
    lines = [f"its attempt {attempt.attempt} is {attempt.phase}"]
    if attempt.pending and attempt.phase is not GangPhase.RUNNING:
        lines.append(f"{len(attempt.pending)} gang members have not confirmed that yet")
    workers = {lease.worker for lease in attempt.leases}
    waiting_for = sorted(workers & unreachable)
    if waiting_for:
        lines.append(f"it waits for unreachable workers: {', '.join(waiting_for)}")
    return lines
