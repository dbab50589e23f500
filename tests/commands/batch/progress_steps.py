"""Steps of stalled work; planning_steps.py sets up the cluster."""

from behave import given, then
from behave.runner import Context

from geraniumwell.model.batch.cluster import StopTask
from geraniumwell.model.batch.worker import RunningTask
from tests.support.batch import list_tasks, report


@given('the tasks of "{name}" report "{percents}" percent at second {now:g}')
def step_report(context: Context, name: str, percents: str, now: float) -> None:
    tasks = list_tasks(context.cluster, name)
    for task, percent in zip(tasks, percents.split(), strict=True):
        running = (RunningTask(task.id, task.run, "", int(percent)),)
        report(context.cluster, task.worker, now, running)


@given(
    'worker "{worker}" reports "{first}" at {low:d} and "{second}" at {high:d} percent'
    " at second {now:g}"
)
def step_report_two(
    context: Context,
    worker: str,
    first: str,
    low: int,
    second: str,
    high: int,
    now: float,
) -> None:
    running = tuple(
        RunningTask(task.id, task.run, "", percent)
        for name, percent in ((first, low), (second, high))
        for task in list_tasks(context.cluster, name)
    )
    report(context.cluster, worker, now, running)


@given('the job "{name}" stood still once on the worker "{worker}"')
def step_stood_still(context: Context, name: str, worker: str) -> None:
    step = context.cluster.jobs[name].steps[0, 0]
    step.stalls, step.stall_suspects = 1, (worker,)


@given('the job "{name}" stood still {count:d} times until second {now:g}')
def step_stood_still_often(context: Context, name: str, count: int, now: float) -> None:
    step = context.cluster.jobs[name].steps[0, 0]
    step.stalls, step.stalled_at = count, now


@given('all tasks of "{name}" report {percent:d} percent at second {now:g}')
def step_report_all(context: Context, name: str, percent: int, now: float) -> None:
    tasks = list_tasks(context.cluster, name)
    for worker in {task.worker for task in tasks}:
        running = tuple(
            RunningTask(task.id, task.run, "", percent)
            for task in tasks
            if task.worker == worker
        )
        report(context.cluster, worker, now, running)


@then('{count:d} tasks of "{name}" are stopped because they "{why}" for {ms:d} ms')
def step_stopped_because(
    context: Context, count: int, name: str, why: str, ms: int
) -> None:
    stops = [order for order in context.orders if isinstance(order, StopTask)]
    assert len(stops) == count, stops
    assert {stop.id.job for stop in stops} == {name}
    assert {stop.reason.value for stop in stops} == {why}, stops
    assert {stop.stalled_ms for stop in stops} == {ms}, stops


@then('only the worker of task {index:d} of "{name}" is avoided at second {now:g}')
def step_only_avoided(context: Context, index: int, name: str, now: float) -> None:
    worker = list_tasks(context.cluster, name)[index].worker
    assert list_avoided(context, now) == [worker], list_avoided(context, now)


@then('the workers "{names}" are avoided at second {now:g}')
def step_are_avoided(context: Context, names: str, now: float) -> None:
    assert list_avoided(context, now) == names.split(), list_avoided(context, now)


@then("no worker is avoided at second {now:g}")
def step_none_avoided(context: Context, now: float) -> None:
    assert not list_avoided(context, now), list_avoided(context, now)


@then('the job "{name}" has {count:d} stall on the worker "{worker}"')
def step_has_stalls(context: Context, name: str, count: int, worker: str) -> None:
    step = context.cluster.jobs[name].steps[0, 0]
    assert step.stalls == count
    assert step.stall_suspects == (worker,)


def list_avoided(context: Context, now: float) -> list[str]:
    """Return the names of the workers that are avoided."""
    workers = context.cluster.workers.items()
    return [name for name, worker in workers if worker.avoid_until > now]
