"""What the decider's own steps say of a job, besides the plan."""

from geraniumwell.commands.gangs.guarantees import WorkerAtRisk, find_workers_at_risk
from geraniumwell.messages.gangs import JobExplanation
from geraniumwell.model.gang_run import GangAttempt, Phase
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.job import JobRecord
from geraniumwell.queries.why_job import explain_job


def explain_record(
    record: JobRecord | None, gang: GangAttempt | None, view: GangView, now: float
) -> JobExplanation:
    """Return the facts that explain the state of a job.

    Parameters
    ----------
    record : JobRecord or None
        The newest record of the job.
    gang : GangAttempt or None
        Its attempt in progress.
    view : GangView
        What the plan reads; a job that has ended or is to be tried later is not in it.
    now : float
        Unix time.
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
    if gang is not None:
        lines += _describe_gang(gang, view.unreachable)
    if record.job.guaranteed:
        lines += describe_risks(find_workers_at_risk(view, now))
    return JobExplanation(record, tuple(lines))


def describe_risks(risks: tuple[WorkerAtRisk, ...]) -> list[str]:
    """Return a line for each worker whose loss alone would break a guarantee."""
    return [
        f"the loss of worker {risk.worker} would break guarantee "
        f"{', '.join(risk.guarantees)}: {risk.reason}"
        for risk in risks
    ]


def _describe_gang(gang: GangAttempt, unreachable: frozenset[str]) -> list[str]:
    lines = [f"its attempt {gang.attempt} is {gang.phase}"]
    if gang.pending and gang.phase is not Phase.RUNNING:
        lines.append(f"{len(gang.pending)} members have not confirmed that yet")
    places = {lease.worker for lease in gang.leases}
    silent = sorted(places & unreachable)
    if silent:
        lines.append(f"it waits for workers that don't answer: {', '.join(silent)}")
    return lines
