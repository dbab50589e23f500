"""Steps of the outcomes of orders; planning_steps.py sets up the cluster."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.codec.batch import decode_state, encode_progress
from geraniumwell.commands.batch.answers import (
    apply_start_answer,
    apply_unanswered_start,
    handle_unsent_start,
    is_start_wanted,
)
from geraniumwell.commands.batch.capacity import is_eligible
from geraniumwell.commands.batch.lifecycle import request_stop
from geraniumwell.commands.batch.planning import plan
from geraniumwell.model.batch.cluster import StartTask, StopReason
from geraniumwell.model.batch.job import Phase
from geraniumwell.model.batch.worker import EndedTask, EndKind, RunningTask, StartResult
from geraniumwell.queries.batch.status import count_pending, get_state
from tests.support.batch import WALL, list_tasks, report, restore_stored_job

ANSWERED_AT = 1.5


def make_order(context: Context, index: int, name: str) -> StartTask:
    """Return the start order of a task."""
    task = list_tasks(context.cluster, name)[index]
    return StartTask(task.worker, task.id, task.run, "text", "")


@given('the start order for task {index:d} of "{name}" is unanswered')
def step_starting(context: Context, index: int, name: str) -> None:
    task = list_tasks(context.cluster, name)[index]
    task.phase, task.start_settled_at = Phase.STARTING, None


@when('the start order for task {index:d} of "{name}" is postponed')
def step_postpone(context: Context, index: int, name: str) -> None:
    context.order = make_order(context, index, name)
    task = list_tasks(context.cluster, name)[index]
    if task.phase is Phase.RUNNING:
        task.phase, task.start_settled_at = Phase.STARTING, None
    context.will_be_sent = handle_unsent_start(context.cluster, context.order)


@then('the start order for task {index:d} of "{name}" will be sent again')
def step_again(context: Context, index: int, name: str) -> None:
    assert context.will_be_sent
    assert is_start_wanted(context.cluster, make_order(context, index, name))


@then('the start order for task {index:d} of "{name}" will not be sent again')
def step_not_again(context: Context, index: int, name: str) -> None:
    assert not context.will_be_sent
    assert not is_start_wanted(context.cluster, context.order)


@then('the workers "{names}" are eligible for new tasks at second {now:g}')
def step_may_receive(context: Context, names: str, now: float) -> None:
    for name in names.split():
        assert is_eligible(context.cluster.workers[name], now), name


@when('the start of "{name}" is planned at second {now:g}')
def step_plan_start(context: Context, name: str, now: float) -> None:
    (context.order,) = plan(context.cluster, now, WALL + now)
    assert isinstance(context.order, StartTask)
    list_tasks(context.cluster, name)[0].is_start_sent = True


def answer_start(context: Context, result: StartResult) -> None:
    """Apply a worker's response to the planned start order."""
    apply_start_answer(context.cluster, context.order, result, ANSWERED_AT)


@when('the start order for task 0 of "{name}" is refused')
def step_refused(context: Context, name: str) -> None:
    answer_start(context, StartResult.REFUSED)


@when('the start order for task 0 of "{name}" is refused for no room')
def step_no_room(context: Context, name: str) -> None:
    answer_start(context, StartResult.NO_CAPACITY)


@when('the start order for task 0 of "{name}" is accepted')
def step_accepted(context: Context, name: str) -> None:
    answer_start(context, StartResult.STARTED)


@when('the start order for task 0 of "{name}" gets no answer')
def step_no_answer_to_start(context: Context, name: str) -> None:
    apply_unanswered_start(context.cluster, context.order, ANSWERED_AT)


@when('a run of "{name}" is accepted after its task was stopped')
def step_accepted_after_stop(context: Context, name: str) -> None:
    task = list_tasks(context.cluster, name)[0]
    request_stop(context.cluster, task, StopReason.JOB_CANCELLED, ANSWERED_AT)
    answer_start(context, StartResult.STARTED)


@when('the worker "{worker}" reports the run of "{name}" as running')
def step_reports_running(context: Context, worker: str, name: str) -> None:
    running = (RunningTask(context.order.id, context.order.run, "", 10),)
    report(context.cluster, worker, ANSWERED_AT, running)


@when('the worker "{worker}" reports the run of "{name}" as failed')
def step_reports_failed(context: Context, worker: str, name: str) -> None:
    end = EndedTask(1, context.order.id, context.order.run, EndKind.FAILED, "")
    report(context.cluster, worker, ANSWERED_AT, ended=(end,))


@when('another scheduler restores the job "{name}"')
def step_restore(context: Context, name: str) -> None:
    job = context.cluster.jobs[name]
    context.cluster = restore_stored_job(job, "r1", ANSWERED_AT)


def check_progress(context: Context, name: str, state: str, count: int) -> None:
    """Check the state that callers see, its stored form and the pending count."""
    job = context.cluster.jobs[name]
    assert get_state(job).value == state
    assert decode_state(encode_progress(job))[1] == (state == "running")
    assert count_pending(context.cluster).get(job.spec.queue, 0) == count


@then('the job "{name}" is "{state}" and counts as pending')
def step_is_pending(context: Context, name: str, state: str) -> None:
    check_progress(context, name, state, 1)


@then('the job "{name}" is "{state}" and does not count as pending')
def step_is_not_pending(context: Context, name: str, state: str) -> None:
    check_progress(context, name, state, 0)
    # The change has to be stored, because callers may ask any daemon.
    assert name in context.cluster.unsaved_jobs
