"""Steps of planning rounds."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.batch.cancellation import apply_cancellation
from geraniumwell.commands.batch.health import record_unanswered_call
from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.cluster import StartTask, StopTask
from geraniumwell.model.batch.job import PLACED_PHASES
from geraniumwell.model.batch.worker import EndKind, RunningTask, WorkerState
from tests.support.batch import (
    WALL,
    end_task,
    list_tasks,
    make_cluster,
    make_job,
    make_step,
    report,
    run_plan,
    submit,
)


@given('workers in the racks "{racks}"')
def step_workers(context: Context, racks: str) -> None:
    context.cluster = make_cluster(racks)
    context.orders = []


@given('a gang job "{name}" of {count:d} tasks with {gpus:d} accelerators')
def step_gang(context: Context, name: str, count: int, gpus: int) -> None:
    submit(context.cluster, make_job(name, make_step(count, gpus, is_gang=True)))


@given('a single-rack gang job "{name}" of {count:d} tasks with {gpus:d} accelerators')
def step_rack_gang(context: Context, name: str, count: int, gpus: int) -> None:
    step = make_step(count, gpus, is_gang=True, is_same_rack=True)
    submit(context.cluster, make_job(name, step))


@given('a job "{name}" of {count:d} tasks with {gpus:d} accelerators')
def step_job(context: Context, name: str, count: int, gpus: int) -> None:
    submit(context.cluster, make_job(name, make_step(count, gpus)))


@given(
    'a job "{name}" of {count:d} tasks with {gpus:d} accelerators'
    " that takes {seconds:g} seconds"
)
def step_timed_job(
    context: Context, name: str, count: int, gpus: int, seconds: float
) -> None:
    step = make_step(count, gpus, estimate_seconds=seconds)
    submit(context.cluster, make_job(name, step))


@given('an urgent job "{name}" of {count:d} tasks with {gpus:d} accelerators')
def step_urgent(context: Context, name: str, count: int, gpus: int) -> None:
    submit(context.cluster, make_job(name, make_step(count, gpus), queue="quotes"))


@given(
    'an urgent job "{name}" of {count:d} tasks with {gpus:d} accelerators of "{org}"'
)
def step_urgent_of(
    context: Context, name: str, count: int, gpus: int, org: str
) -> None:
    step = make_step(count, gpus)
    submit(context.cluster, make_job(name, step, queue="quotes", organisation=org))


@given('a job "{name}" with a step of {count:d} tasks and a step that depends on it')
def step_two_steps(context: Context, name: str, count: int) -> None:
    submit(context.cluster, make_job(name, make_step(count), make_step(1, after=(0,))))


@given('a job "{name}" of {count:d} tasks with at most {most:d} per worker')
def step_limited(context: Context, name: str, count: int, most: int) -> None:
    submit(context.cluster, make_job(name, make_step(count, max_per_worker=most)))


@given('a job "{name}" that needs the label "{label}"')
def step_label(context: Context, name: str, label: str) -> None:
    submit(context.cluster, make_job(name, make_step(label=label)))


@given('a long-running job "{name}" with a latency target')
def step_serving(context: Context, name: str) -> None:
    step = make_step(is_long_running=True, target_ms=50)
    submit(context.cluster, make_job(name, step))


@given('a job "{name}" that uses spare capacity')
def step_filler(context: Context, name: str) -> None:
    submit(context.cluster, make_job(name, make_step(gpus=0, is_filler=True)))


@given(
    'a job "{name}" that runs {count:d} times, first at second {first:g} and then'
    " every {period:g} seconds"
)
def step_occurrences(
    context: Context, name: str, count: int, first: float, period: float
) -> None:
    job = make_job(
        name,
        make_step(),
        is_timed=True,
        first_due=WALL + first,
        period_seconds=period,
        occurrences=count,
    )
    submit(context.cluster, job)


@given('the worker "{name}" has not been polled')
def step_not_polled(context: Context, name: str) -> None:
    context.cluster.workers[name].has_confirmed_epoch = False


@given('the worker "{name}" drains from second {at:g} for {seconds:g} seconds')
def step_drains(context: Context, name: str, at: float, seconds: float) -> None:
    worker = context.cluster.workers[name]
    worker.state, worker.drain_started_at = WorkerState.DRAINING, at
    worker.entry = replace(worker.entry, is_draining=True, remaining_seconds=seconds)


@given(
    'the worker "{name}" reports the task of "{job}" at {percent:d} percent at'
    " second {at:g}"
)
def step_reports(
    context: Context, name: str, job: str, percent: int, at: float
) -> None:
    task = list_tasks(context.cluster, job)[0]
    running = (RunningTask(task.id, task.run, "", percent),)
    report(context.cluster, name, at, running)


@when(
    'a report by "{name}" on the task of "{job}" at {percent:d} percent from second'
    " {answered_at:g} is processed at second {now:g}"
)
def step_late_report(
    context: Context,
    name: str,
    job: str,
    percent: int,
    answered_at: float,
    now: float,
) -> None:
    task = list_tasks(context.cluster, job)[0]
    running = (RunningTask(task.id, task.run, "", percent),)
    report(context.cluster, name, now, running, answered_at=answered_at)


@given("the scheduler planned at second {now:g}")
@when("the scheduler plans at second {now:g}")
def step_plan(context: Context, now: float) -> None:
    context.orders = run_plan(context.cluster, now)


@given('the job "{name}" is cancelled at second {now:g}')
@when('the job "{name}" is cancelled at second {now:g}')
def step_cancel(context: Context, name: str, now: float) -> None:
    cancellation = Cancellation(cancelled_at=WALL + now, version=1)
    apply_cancellation(context.cluster, name, cancellation, now, WALL + now)


@given('the task {index:d} of "{name}" ended as "{kind}" at second {now:g}')
@when('the task {index:d} of "{name}" ends as "{kind}" at second {now:g}')
def step_end(context: Context, index: int, name: str, kind: str, now: float) -> None:
    task = list_tasks(context.cluster, name)[index]
    end_task(context.cluster, task, EndKind(kind), now)


@then("no task is started")
def step_nothing(context: Context) -> None:
    assert not list_starts(context), list_starts(context)


@then("no order is issued")
def step_no_order(context: Context) -> None:
    assert not context.orders, context.orders


@then("{count:d} task is started")
def step_count_started(context: Context, count: int) -> None:
    assert len(list_starts(context)) == count, list_starts(context)


@then('the job "{name}" has {count:d} started tasks with run {run:d}')
def step_started(context: Context, name: str, count: int, run: int) -> None:
    placed = [
        task
        for task in list_tasks(context.cluster, name)
        if task.phase in PLACED_PHASES
    ]
    assert len(placed) == count, placed
    assert {task.run for task in placed} == {run}, placed


@then('the job "{name}" has no started tasks')
def step_not_started(context: Context, name: str) -> None:
    assert all(task.run == 0 for task in list_tasks(context.cluster, name))


@then('only the job "{name}" is stopped')
def step_stopped(context: Context, name: str) -> None:
    stopped = {o.id.job for o in context.orders if isinstance(o, StopTask)}
    assert stopped == {name}, context.orders
    assert not list_starts(context), list_starts(context)


@then('the worker "{name}" is avoided at second {now:g}')
def step_avoided(context: Context, name: str, now: float) -> None:
    assert context.cluster.workers[name].avoid_until > now


def list_starts(context: Context) -> list[StartTask]:
    """Return the start orders of the last round."""
    return [order for order in context.orders if isinstance(order, StartTask)]


@given('the worker "{name}" is in the data centre "{data_centre}"')
def step_data_centre(context: Context, name: str, data_centre: str) -> None:
    worker = context.cluster.workers[name]
    worker.entry = replace(worker.entry, data_centre=data_centre)


@given("all workers answered a poll at second {now:g}")
def step_all_answered(context: Context, now: float) -> None:
    for name in context.cluster.workers:
        report(context.cluster, name, now)


@given('a call to the worker "{name}" timed out at second {now:g}')
def step_no_answer(context: Context, name: str, now: float) -> None:
    record_unanswered_call(context.cluster.workers[name], now)


@when('the worker "{name}" reports no runs at second {now:g}')
def step_reports_nothing(context: Context, name: str, now: float) -> None:
    report(context.cluster, name, now)


@then('the workers "{names}" have no tasks')
def step_without_tasks(context: Context, names: str) -> None:
    workers = [context.cluster.workers[name] for name in names.split()]
    assert not any(worker.tasks for worker in workers), workers


@then('the worker "{name}" has a task')
def step_with_task(context: Context, name: str) -> None:
    assert context.cluster.workers[name].tasks


@given('a job "{name}" of 2 tasks with {gpus:d} accelerators that prefer 1 rack each')
def step_job_in_two_racks(context: Context, name: str, gpus: int) -> None:
    steps = [make_step(1, gpus, rack=rack) for rack in ("r1", "r2")]
    submit(context.cluster, make_job(name, *steps))


@given(
    'an urgent single-rack gang job "{name}" of {count:d} tasks with {gpus:d}'
    " accelerators"
)
def step_urgent_rack_gang(context: Context, name: str, count: int, gpus: int) -> None:
    step = make_step(count, gpus, is_gang=True, is_same_rack=True)
    submit(context.cluster, make_job(name, step, queue="quotes"))


@then('the job "{name}" has at most {most:d} tasks in memory')
def step_in_memory(context: Context, name: str, most: int) -> None:
    steps = context.cluster.jobs[name].steps.values()
    assert 0 < sum(len(step.tasks) for step in steps) <= most
