"""Steps of preemption; planning_steps.py sets up the cluster."""

from behave import given, then
from behave.runner import Context

from geraniumwell.model.batch.cluster import StopTask
from tests.support.batch import WALL, list_tasks, make_job, make_step, submit


@given(
    'an urgent job "{name}" of {count:d} tasks with {gpus:d} accelerators is submitted'
    " at second {now:g}"
)
def step_urgent_at(
    context: Context, name: str, count: int, gpus: int, now: float
) -> None:
    step = make_step(count, gpus)
    submit(
        context.cluster,
        make_job(name, step, queue="quotes", accepted_at=WALL + now),
    )


@then('only the jobs "{names}" are stopped')
def step_stopped(context: Context, names: str) -> None:
    stopped = {o.id.job for o in context.orders if isinstance(o, StopTask)}
    assert stopped == set(names.split()), context.orders


@then('the job "{name}" runs in one data centre')
def step_one_data_centre(context: Context, name: str) -> None:
    workers = [task.worker for task in list_tasks(context.cluster, name)]
    assert all(workers), workers
    found = {context.cluster.workers[worker].entry.data_centre for worker in workers}
    assert len(found) == 1, found
