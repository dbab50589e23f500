"""Steps of the outcomes of orders; planning_steps.py sets up the cluster."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.batch.answers import handle_unsent_start, is_start_wanted
from geraniumwell.commands.batch.capacity import is_eligible
from geraniumwell.model.batch.cluster import StartTask
from geraniumwell.model.batch.job import Phase
from tests.support.batch import list_tasks


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
