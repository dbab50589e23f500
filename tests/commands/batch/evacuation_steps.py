"""Steps of the evacuation of data centres."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.batch.answers import is_start_wanted
from geraniumwell.commands.batch.evacuation import cancel_unsent_starts
from geraniumwell.model.batch.cluster import StartTask
from geraniumwell.model.batch.job import Phase
from tests.support.batch import make_job, make_step, submit


@when('the data centre "{name}" is evacuated at second {now:g}')
def step_evacuated(context: Context, name: str, now: float) -> None:
    context.cluster.evacuated_data_centres = frozenset({name})
    context.orders = cancel_unsent_starts(context.cluster, now)


@when('the evacuation of the data centre "{name}" ends at second {now:g}')
def step_evacuation_ends(context: Context, name: str, now: float) -> None:
    context.cluster.evacuated_data_centres -= {name}
    context.orders = cancel_unsent_starts(context.cluster, now)


@when('a job "{name}" of {count:d} tasks with {gpus:d} accelerators is submitted')
def step_job(context: Context, name: str, count: int, gpus: int) -> None:
    submit(context.cluster, make_job(name, make_step(count, gpus)))


@when(
    'an urgent job "{name}" of {count:d} tasks with {gpus:d} accelerators is submitted'
)
def step_urgent(context: Context, name: str, count: int, gpus: int) -> None:
    submit(context.cluster, make_job(name, make_step(count, gpus), queue="quotes"))


@given('the start order for the worker "{name}" was not sent')
def step_unsent(context: Context, name: str) -> None:
    (task,) = context.cluster.workers[name].tasks.values()
    task.phase, task.is_start_sent, task.start_settled_at = Phase.STARTING, False, None
    (context.unsent,) = [
        order
        for order in context.orders
        if isinstance(order, StartTask) and order.worker == name
    ]


@then('the start order for the worker "{name}" is withdrawn')
def step_withdrawn(context: Context, name: str) -> None:
    assert context.unsent.worker == name
    assert not is_start_wanted(context.cluster, context.unsent)


@then("{count:d} order is issued")
def step_count_orders(context: Context, count: int) -> None:
    assert len(context.orders) == count, context.orders
