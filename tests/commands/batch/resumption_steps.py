"""Steps of gangs that start again; planning_steps.py sets up the cluster."""

from behave import given, when
from behave.runner import Context

from geraniumwell.model.batch.worker import EndKind, WorkerState
from tests.support.batch import end_task, list_tasks, make_job, make_step, submit


@given(
    'an urgent gang job "{name}" of {count:d} tasks with {gpus:d} accelerators of'
    ' "{org}"'
)
def step_urgent_gang(
    context: Context, name: str, count: int, gpus: int, org: str
) -> None:
    step = make_step(count, gpus, is_gang=True)
    submit(context.cluster, make_job(name, step, queue="quotes", organisation=org))


@given('the worker of task {index:d} of "{name}" drains from second {now:g}')
def step_drains(context: Context, index: int, name: str, now: float) -> None:
    task = list_tasks(context.cluster, name)[index]
    worker = context.cluster.workers[task.worker]
    worker.state, worker.drain_started_at = WorkerState.DRAINING, now
    context.cluster.mark_worker_changed(task.worker)


@when('all tasks of "{name}" end as "{kind}" at second {now:g}')
def step_all_end(context: Context, name: str, kind: str, now: float) -> None:
    for task in list_tasks(context.cluster, name):
        end_task(context.cluster, task, EndKind(kind), now)
