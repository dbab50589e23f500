"""Steps of the fleet index."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.batch.indexing import refresh_fleet
from geraniumwell.commands.batch.units import refresh_queue
from geraniumwell.model.batch.worker import EndKind
from tests.support.batch import (
    WALL,
    end_task,
    list_tasks,
    make_cluster,
    make_job,
    make_step,
    make_test_catalog,
    run_plan,
    submit,
)


@given(
    "a cluster with {workers:d} workers and {jobs:d} waiting jobs, all marked as"
    " changed"
)
def step_changed(context: Context, workers: int, jobs: int) -> None:
    context.cluster = make_cluster(" ".join(["r1"] * workers))
    for number in range(jobs):
        submit(context.cluster, make_job(f"j{number}", make_step()))
    for name in context.cluster.workers:
        context.cluster.mark_worker_changed(name)


@when("the configuration changes and the indexes are refreshed")
def step_change(context: Context) -> None:
    context.cluster.catalog = make_test_catalog(2)
    refresh_fleet(context.cluster, 0.0)
    refresh_queue(context.cluster, 0.0, WALL)


@then("no worker or job is left to be indexed in the next round")
def step_nothing_left(context: Context) -> None:
    assert not context.cluster.changed_workers, context.cluster.changed_workers
    assert not context.cluster.changed_jobs, context.cluster.changed_jobs


@when("a planning round runs")
def step_round(context: Context) -> None:
    run_plan(context.cluster, 1.0)


@when('the job "{name}" ends and a planning round runs')
def step_job_ends(context: Context, name: str) -> None:
    end_task(context.cluster, list_tasks(context.cluster, name)[0], EndKind.DONE, 2.0)
    run_plan(context.cluster, 2.0)


@when('the worker "{name}" leaves and a planning round runs')
def step_leaves(context: Context, name: str) -> None:
    del context.cluster.workers[name]
    context.cluster.mark_worker_changed(name)
    run_plan(context.cluster, 3.0)


@then("{free:d} of {total:d} accelerators of the pool are free")
def step_free(context: Context, free: int, total: int) -> None:
    pool = context.cluster.fleet.pools["pool"]
    assert (pool.free, pool.accelerators) == (free, total), pool
