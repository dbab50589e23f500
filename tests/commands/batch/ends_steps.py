"""Steps of reports of workers and ends of runs."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.batch.acknowledgement import may_acknowledge
from geraniumwell.commands.batch.answers import (
    apply_start_answer,
    apply_stop_answer,
    apply_unanswered_start,
)
from geraniumwell.commands.batch.capacity import is_eligible
from geraniumwell.commands.batch.health import record_refusal
from geraniumwell.commands.batch.lifecycle import release_task
from geraniumwell.model.batch.cluster import StartTask, StopTask
from geraniumwell.model.batch.job import PLACED_PHASES, Phase, Task, TaskId
from geraniumwell.model.batch.worker import EndedTask, EndKind, RunningTask, StartResult
from geraniumwell.queries.batch.status import get_state
from tests.support.batch import (
    end_task,
    list_tasks,
    make_job,
    make_step,
    report,
    restore_stored_job,
    run_plan,
    submit,
)


def first_task(context: Context, name: str) -> Task:
    """Return the first task of a job."""
    return list_tasks(context.cluster, name)[0]


@when(
    'the worker reports again that run {run:d} of "{name}" ended as "{kind}" at'
    " second {now:g}"
)
def step_repeated_end(
    context: Context, kind: str, run: int, name: str, now: float
) -> None:
    task = first_task(context, name)
    worker = context.cluster.workers[task.worker]
    running = (RunningTask(task.id, task.run, "", 10),)
    end = EndedTask(worker.last_applied_end + 1, task.id, run, EndKind(kind), "")
    report(context.cluster, task.worker, now, running, (end,))


@then('the job "{name}" is "{state}"')
def step_state(context: Context, name: str, state: str) -> None:
    found = get_state(context.cluster.jobs[name]).value
    assert found == state, found


@then("the other member is still assigned to its worker")
def step_other_assigned(context: Context) -> None:
    task = list_tasks(context.cluster, "g")[1]
    assert task.id in context.cluster.workers[task.worker].tasks


@given('the task of "{name}" has failed {count:d} times')
def step_has_failed(context: Context, name: str, count: int) -> None:
    end_repeatedly(context, name, EndKind.FAILED, count)


@when('the task of "{name}" ends {count:d} times as "{kind}"')
def step_ends_often(context: Context, name: str, count: int, kind: str) -> None:
    end_repeatedly(context, name, EndKind(kind), count)


@when('the task of "{name}" fails once more')
def step_fails(context: Context, name: str) -> None:
    end_repeatedly(context, name, EndKind.FAILED, 1)


def end_repeatedly(context: Context, name: str, kind: EndKind, count: int) -> None:
    """Start and end a job's task several times."""
    context.now = getattr(context, "now", 0.0)
    for _ in range(count):
        # After this time an avoided worker is eligible again.
        context.now += 100.0
        run_plan(context.cluster, context.now)
        end_task(context.cluster, first_task(context, name), kind, context.now + 1)


@given('the start order for "{name}" timed out')
def step_unanswered_start(context: Context, name: str) -> None:
    task = first_task(context, name)
    task.phase, task.start_settled_at = Phase.STARTING, None
    order = StartTask(task.worker, task.id, task.run, "text", "")
    context.stops = apply_unanswered_start(context.cluster, order, 1.5)
    assert context.stops == [StopTask(task.worker, task.id, task.run)]


@when('the worker of "{name}" reports no runs at second {now:g}')
def step_reports_nothing(context: Context, name: str, now: float) -> None:
    report(context.cluster, first_task(context, name).worker, now)


@when(
    'the worker of "{name}" reports no runs and a cut-off list of ends at second'
    " {now:g}"
)
def step_reports_cut_off(context: Context, name: str, now: float) -> None:
    worker = first_task(context, name).worker
    report(context.cluster, worker, now, may_have_more_ends=True)


@given('the task of "{name}" is stored as done')
def step_stored_as_done(context: Context, name: str) -> None:
    task = first_task(context, name)
    release_task(context.cluster, task)
    task.phase = Phase.DONE


@given('a long-running gang job "{name}" of {count:d} tasks')
def step_long_running_gang(context: Context, name: str, count: int) -> None:
    step = make_step(count, 8, is_gang=True, is_long_running=True)
    submit(context.cluster, make_job(name, step))


@given('another scheduler has restored "{name}" at second {now:g}')
def step_restored(context: Context, name: str, now: float) -> None:
    job = context.cluster.jobs[name]
    context.cluster = restore_stored_job(job, "r1 r1", now)


@when(
    'the worker of "{name}", polled at second {at:g}, reports no runs at second {now:g}'
)
def step_reports_nothing_late(
    context: Context, name: str, at: float, now: float
) -> None:
    worker = first_task(context, name).worker
    report(context.cluster, worker, now, sent_at=at)


@when('the worker of "{name}" answers the stop order at second {now:g}')
def step_stop_answered(context: Context, name: str, now: float) -> None:
    apply_stop_answer(context.cluster, context.stops[0], now)


@when('a new incarnation of the worker of "{name}" reports no runs at second {now:g}')
def step_new_incarnation(context: Context, name: str, now: float) -> None:
    report(context.cluster, first_task(context, name).worker, now, started_ms=2)


@then('the task of "{name}" is still placed')
def step_placed(context: Context, name: str) -> None:
    task = first_task(context, name)
    assert task.phase in PLACED_PHASES, task
    assert task.id in context.cluster.workers[task.worker].tasks


@then('the task of "{name}" is waiting and assigned to no worker')
def step_waits(context: Context, name: str) -> None:
    task = first_task(context, name)
    assert task.phase is Phase.WAITING, task
    assert not any(task.id in w.tasks for w in context.cluster.workers.values())


@when('the worker "{name}" reports an unknown run at second {now:g}')
def step_unknown_run(context: Context, name: str, now: float) -> None:
    running = (RunningTask(TaskId("x", 0, 0, 0), 4, "", 10),)
    context.orders = report(context.cluster, name, now, running)


@then("a stop order for the unknown run is issued")
def step_unknown_run_stopped(context: Context) -> None:
    assert context.orders == [StopTask("w1", TaskId("x", 0, 0, 0), 4)]


@then('the worker "{name}" is not eligible for new tasks')
def step_not_eligible(context: Context, name: str) -> None:
    assert not is_eligible(context.cluster.workers[name], 100.0)


@when('the job "{name}" is submitted')
def step_submitted(context: Context, name: str) -> None:
    submit(context.cluster, make_job(name, make_step()))


@when('start orders to the worker "{name}" fail at second {now:g}')
def step_starts_fail(context: Context, name: str, now: float) -> None:
    # Starts that were sent together count once.
    for _ in range(2):
        record_refusal(context.cluster.workers[name], now)


@then('the worker "{name}" is not avoided at second {now:g}')
def step_not_avoided(context: Context, name: str, now: float) -> None:
    assert context.cluster.workers[name].avoid_until <= now


@when('a new incarnation of the worker of "{name}" reports its run at second {now:g}')
def step_reported_by_new_incarnation(context: Context, name: str, now: float) -> None:
    task = first_task(context, name)
    running = (RunningTask(task.id, task.run, "", 10),)
    report(context.cluster, task.worker, now, running, started_ms=2)


@when('the worker of "{name}" reports its run at second {now:g}')
def step_reported(context: Context, name: str, now: float) -> None:
    task = first_task(context, name)
    report(context.cluster, task.worker, now, (RunningTask(task.id, 1, "", 10),))


@then('the task of "{name}" is still assigned to its worker')
def step_assigned(context: Context, name: str) -> None:
    task = first_task(context, name)
    assert task.id in context.cluster.workers[task.worker].tasks


@given(
    'the worker "{worker}" reported {count:d} ended runs and answered a poll at'
    " second {now:g}"
)
def step_has_reported(context: Context, worker: str, count: int, now: float) -> None:
    report(context.cluster, worker, now)
    context.cluster.workers[worker].last_applied_end = count


@then('ended runs may be acknowledged to "{worker}"')
def step_may(context: Context, worker: str) -> None:
    assert may_acknowledge(context.cluster.workers[worker])


@then('no ended run may be acknowledged to the worker of "{name}"')
def step_may_not(context: Context, name: str) -> None:
    worker = context.cluster.workers[first_task(context, name).worker]
    assert not may_acknowledge(worker)


def make_order(task: Task) -> StartTask:
    """Return the start order of a task."""
    return StartTask(task.worker, task.id, task.run, "text", "")


@when('the start order for the first task of "{name}" times out at second {now:g}')
def step_gang_unanswered(context: Context, name: str, now: float) -> None:
    order = make_order(first_task(context, name))
    context.stops = apply_unanswered_start(context.cluster, order, now)


@when('the start order for the first task of "{name}" is refused at second {now:g}')
def step_gang_refused(context: Context, name: str, now: float) -> None:
    order = make_order(first_task(context, name))
    context.stops = apply_start_answer(context.cluster, order, StartResult.REFUSED, now)


@then('both tasks of "{name}" are being stopped')
def step_both_stopped(context: Context, name: str) -> None:
    assert {order.id.index for order in context.stops} == {0, 1}, context.stops
    phases = {task.phase for task in list_tasks(context.cluster, name)}
    assert phases == {Phase.STOPPING}, phases


@then('the other task of "{name}" is being stopped')
def step_other_stopped(context: Context, name: str) -> None:
    assert [order.id.index for order in context.stops] == [1], context.stops
    assert list_tasks(context.cluster, name)[1].phase is Phase.STOPPING
