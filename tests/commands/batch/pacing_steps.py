"""Steps of the pace of fillers."""

from collections.abc import Callable, Container
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.batch.answers import apply_pace_answer
from geraniumwell.commands.batch.indexing import refresh_fleet
from geraniumwell.commands.batch.lifecycle import cancel_job, release_task
from geraniumwell.commands.batch.pacing import decide_pace
from geraniumwell.model.batch.cluster import Order, PaceChange, PaceTask, StopTask
from geraniumwell.model.batch.job import Phase
from geraniumwell.model.batch.worker import EndKind, RunningTask, WorkerReport
from tests.support.batch import (
    WALL,
    end_task,
    list_tasks,
    make_cluster,
    make_job,
    make_step,
    report,
    restore_stored_job,
    run_plan,
    start_on,
)

# Pace orders that the worker confirms.
CONFIRMED: dict[str, Container[PaceChange]] = {
    "confirms": PaceChange,
    "confirms changed": (PaceChange.LOWER, PaceChange.RAISE),
    "ignores": (),
}


@given(
    "a filler beside a serving task with a target of {target:d} ms, started by {who}"
)
def step_beside(context: Context, target: int, who: str) -> None:
    context.cluster = make_cluster("r1 r1")
    filler = make_job("filler", make_step(is_filler=True))
    context.filler = start_on(context.cluster, filler, "w1")
    if who != "this scheduler":
        job = context.cluster.jobs["filler"]
        context.cluster = restore_stored_job(job, "r1 r1", 0.0)
        (context.filler,) = list_tasks(context.cluster, "filler")
    serving = make_step(is_long_running=True, target_ms=target)
    context.serving = start_on(context.cluster, make_job("web", serving), "w1")
    context.pace, context.is_filler_unlisted = 100, False


def report_tail(
    context: Context, now: float, tail: int | None, confirmed: Container[PaceChange]
) -> list[Order]:
    """Apply a report, and return the orders that follow."""
    worker = context.cluster.workers["w1"]
    running = tuple(
        RunningTask(task.id, task.run, "", 1, tail if task.id.job == "web" else 900)
        for task in worker.tasks.values()
    )
    if context.is_filler_unlisted:
        running = tuple(
            replace(item, run=item.run - 1) if item.id.job == "filler" else item
            for item in running
        )
    report(context.cluster, "w1", now, running, may_have_more_ends=True)
    latest = WorkerReport(worker.clock_ms, running, ())
    orders = decide_pace(context.cluster, worker, latest, now)
    for order in orders:
        if isinstance(order, PaceTask) and order.change in confirmed:
            apply_pace_answer(context.cluster, order)
            context.pace = order.percent
    return orders


def end_serving(context: Context) -> None:
    """Let the serving task leave the worker, if it is still there."""
    release_task(context.cluster, context.serving)
    refresh_fleet(context.cluster, 0.0)


def format_orders(orders: list[Order]) -> str:
    if not orders:
        return "-"
    (order,) = orders
    if isinstance(order, StopTask):
        return "stop"
    return f"{order.change.value}-{order.percent}"


@when("the worker reports tails of {tails} ms once a second and {confirms} paces")
def step_tails(context: Context, tails: str, confirms: str) -> None:
    context.orders = []
    for second, tail in enumerate(tails.split()):
        context.is_filler_unlisted = tail.endswith("-")
        tail = tail.rstrip("-")
        if tail == "gone":
            end_serving(context)
        usage = int(tail) if tail.isdigit() else None
        orders = report_tail(context, 100.0 + second, usage, CONFIRMED[confirms])
        context.orders.append(format_orders(orders))


@then('the orders of each second are "{orders}"')
def step_orders(context: Context, orders: str) -> None:
    assert context.orders == orders.split(), context.orders


@when("the tail is 42 ms from {percent:d} percent on for {seconds:d} seconds")
def step_closed_loop(context: Context, percent: int, seconds: int) -> None:
    run_closed_loop(context, lambda: 42 if context.pace >= percent else 20, seconds)


@when("the tail is 60 ms until the filler stands still, then {tail} for 30 seconds")
def step_halted(context: Context, tail: str) -> None:
    found = int(tail.split()[0]) if tail[0].isdigit() else None
    run_closed_loop(context, lambda: 60 if context.pace else found, 30)


@when("the tail is 60 ms for {seconds:d} seconds and the serving task then leaves")
def step_released(context: Context, seconds: int) -> None:
    run_closed_loop(context, lambda: 60, seconds)
    before = context.orders
    cancel_job(context.cluster, "web", 100.0 + seconds, WALL)
    end_serving(context)
    run_closed_loop(context, lambda: None, 10, seconds)
    context.orders = before + context.orders


def run_closed_loop(
    context: Context,
    find_tail: Callable[[], int | None],
    seconds: int,
    first: int = 0,
) -> None:
    """Report tails once a second that follow from the pace, and plan each time.

    The filler makes no progress, and ends as soon as it is stopped.
    """
    context.orders = []
    for second in range(first, first + seconds):
        now = 100.0 + second
        orders = report_tail(context, now, find_tail(), PaceChange)
        orders += run_plan(context.cluster, now)
        context.orders += [(second, order) for order in orders]
        if any(isinstance(order, StopTask) for order in orders):
            end_task(context.cluster, context.filler, EndKind.STOPPED, now)


@then("at most {count:d} pace orders are sent, none below {percent:d} percent")
def step_few_orders(context: Context, count: int, percent: int) -> None:
    assert len(context.orders) <= count, len(context.orders)
    assert min(order.percent for _, order in context.orders) >= percent


@then("its next run works at full pace and has no usage")
def step_next_run(context: Context) -> None:
    task = context.filler
    assert (task.worker, task.phase) == ("w2", Phase.RUNNING), task
    assert (task.pace, task.is_pace_confirmed, task.usage) == (100, True, None), task


@then("the filler is stopped once, after {seconds:d} seconds")
def step_stopped_once(context: Context, seconds: int) -> None:
    found = [n for n, order in context.orders if isinstance(order, StopTask)]
    assert found == [seconds], context.orders
