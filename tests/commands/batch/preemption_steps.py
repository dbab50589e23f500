"""Steps of preemption; planning_steps.py sets up the cluster."""

from behave import then
from behave.runner import Context

from geraniumwell.model.batch.cluster import StopTask
from tests.support.batch import list_tasks


@then('only the jobs "{names}" are stopped')
def step_stopped(context: Context, names: str) -> None:
    stopped = {o.id.job for o in context.orders if isinstance(o, StopTask)}
    assert stopped == set(names.split()), context.orders


@then("only {count:d} job is stopped")
def step_stopped_count(context: Context, count: int) -> None:
    stopped = {o.id.job for o in context.orders if isinstance(o, StopTask)}
    assert len(stopped) == count, context.orders


@then('the job "{name}" runs in one data centre')
def step_one_data_centre(context: Context, name: str) -> None:
    workers = [task.worker for task in list_tasks(context.cluster, name)]
    assert all(workers), workers
    found = {context.cluster.workers[worker].entry.data_centre for worker in workers}
    assert len(found) == 1, found
