"""Steps of task leases and of takeovers by another scheduler."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.codec.batch import decode_progress, encode_progress
from geraniumwell.commands.batch.leases import estimate_clock_ms, extend_lease
from geraniumwell.commands.batch.registry import restore_job
from geraniumwell.model.batch.job import Job, Phase, open_occurrence
from geraniumwell.model.batch.worker import RunningTask
from tests.support.batch import list_tasks, make_job, make_step, report


@given('the lease of the worker of "{job}" was extended at second {now:g}')
@when('the lease of the worker of "{job}" is extended at second {now:g}')
def step_extend(context: Context, job: str, now: float) -> None:
    cluster = context.cluster
    worker = cluster.workers[list_tasks(cluster, job)[0].worker]
    worker.lease_until = 0.0
    report_all(context, now)
    context.deadline = extend_lease(worker, cluster.policy, now)
    context.limit = estimate_clock_ms(worker, now) + 10_000


def report_all(context: Context, now: float) -> None:
    """Let every worker report its tasks as running."""
    for name, worker in context.cluster.workers.items():
        tasks = worker.tasks.values()
        running = tuple(RunningTask(t.id, t.run, "", int(now)) for t in tasks)
        report(context.cluster, name, now, running)


@then("the lease deadline is at most 10 seconds ahead of the worker's clock")
def step_deadline(context: Context) -> None:
    assert context.deadline <= context.limit, (context.deadline, context.limit)


@given('the job "{name}" is stored as running on "{worker}" with run {run:d}')
def step_stored(context: Context, name: str, worker: str, run: int) -> None:
    spec = make_job(name, make_step())
    job = Job(spec, has_begun=True, opened_occurrences=1)
    open_occurrence(job, 0)
    task = job.steps[0, 0].tasks[0]
    task.phase, task.run, task.worker = Phase.RUNNING, run, worker
    restore_job(context.cluster, decode_progress(encode_progress(job), spec), 0.5)


@when('the worker "{worker}" reports run {run:d} of "{name}" at second {now:g}')
def step_reports_run(
    context: Context, worker: str, run: int, name: str, now: float
) -> None:
    task = list_tasks(context.cluster, name)[0]
    report(context.cluster, worker, now, (RunningTask(task.id, run, "", 50),))


@when('the worker "{worker}" reports no run of "{name}" at second {now:g}')
def step_reports_no_run(context: Context, worker: str, name: str, now: float) -> None:
    report(context.cluster, worker, now)
