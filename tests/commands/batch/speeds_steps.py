"""Steps of uneven workers; planning_steps.py sets up the cluster."""

from math import exp, log

from behave import given, then
from behave.runner import Context

from geraniumwell.model.batch.speed import RateSample, add_sample
from tests.support.batch import list_tasks, make_job, make_step, submit

# Milliseconds of one percent on an ordinary worker.
PERCENT_MS = 40.0
SAMPLED_AT = 15.0
RUNS_PER_WORKER = 4


def run_tasks(context: Context, slow: str, factor: float, count: int) -> None:
    """Record runs of four steps on each worker; ``count`` of one worker are slow."""
    for number in range(RUNS_PER_WORKER):
        for name in context.cluster.workers:
            is_slow = name == slow and number >= RUNS_PER_WORKER - count
            log_ms = log(PERCENT_MS * (factor if is_slow else 1.0))
            sample = RateSample((f"job-{number}", 0, 0), log_ms, SAMPLED_AT)
            add_sample(context.cluster.speeds, name, sample)


@given('the worker "{name}" takes twice as long as the others')
def step_half_speed(context: Context, name: str) -> None:
    run_tasks(context, name, 2.0, RUNS_PER_WORKER)


@given('the worker "{name}" takes {factor:g} times as long as the others')
def step_speed(context: Context, name: str, factor: float) -> None:
    run_tasks(context, name, factor, RUNS_PER_WORKER)


@given('a run on the worker "{name}" takes {factor:g} times as long as the others')
def step_straggler(context: Context, name: str, factor: float) -> None:
    run_tasks(context, name, factor, 1)


@given('an urgent gang job "{name}" of {count:d} tasks with {gpus:d} accelerators')
def step_urgent_gang(context: Context, name: str, count: int, gpus: int) -> None:
    step = make_step(count, gpus, is_gang=True)
    submit(context.cluster, make_job(name, step, queue="quotes"))


@given('a patient job "{name}" of {count:d} tasks with {gpus:d} accelerators')
def step_patient(context: Context, name: str, count: int, gpus: int) -> None:
    job = make_job(name, make_step(count, gpus), queue="batches", target_seconds=60.0)
    submit(context.cluster, job)


@then('the job "{name}" runs on none of the workers "{names}"')
def step_not_on(context: Context, name: str, names: str) -> None:
    used = list_workers(context, name)
    assert used
    assert used.isdisjoint(names.split()), used


@then('the job "{name}" runs only on the workers "{names}"')
def step_only_on(context: Context, name: str, names: str) -> None:
    used = list_workers(context, name)
    assert used == set(names.split()), used


@then('the worker "{name}" is no headroom')
def step_no_headroom(context: Context, name: str) -> None:
    for pool in context.cluster.fleet.pools.values():
        assert pool.headroom_workers
        assert name not in pool.headroom_workers


@then('only the run of "{name}" is measured, with {ms:g} ms for each percent')
def step_measured(context: Context, name: str, ms: float) -> None:
    worker = list_tasks(context.cluster, name)[0].worker
    samples = context.cluster.speeds.samples
    assert list(samples) == [worker], samples
    assert abs(exp(samples[worker][0].log_ms) - ms) < 0.01, samples


@then("no worker is slow")
def step_none_slow(context: Context) -> None:
    for pool in context.cluster.fleet.pools.values():
        assert not pool.slow_workers, pool.slow_workers


def list_workers(context: Context, name: str) -> set[str]:
    """Return the names of the workers on which a job runs."""
    return {task.worker for task in list_tasks(context.cluster, name) if task.worker}
