"""Steps of gangs that start again; planning_steps.py sets up the cluster."""

from behave import given, when
from behave.runner import Context

from geraniumwell.model.batch.worker import EndKind, WorkerState
from tests.support.batch import end_task, list_tasks


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
