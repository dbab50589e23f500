"""Steps of the dispatch of orders; pacing_steps.py sets up the cluster."""

from dataclasses import replace
from unittest.mock import Mock

from behave import then, when
from behave.runner import Context
from prometheus_client import REGISTRY as METRICS

from geraniumwell.actors.batch.commit_state import make_commit_state
from geraniumwell.actors.batch.order_dispatch import dispatch_orders
from geraniumwell.actors.batch.order_results import apply_order_result
from geraniumwell.actors.batch.poll_results import apply_poll_result
from geraniumwell.actors.batch.worker_caller import WorkerCaller
from geraniumwell.clients.task_worker import PollCall
from geraniumwell.messages.batch import LeaderClaim, PaceAnswered, PollAnswered
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.worker import RunningTask, WorkerReport
from tests.support.batch import WALL

PACES = "geraniumwell_batch_paces_total"


@when("the orders of a polled report with a tail of {tail:d} ms are dispatched")
def step_dispatch(context: Context, tail: int) -> None:
    tasks = context.cluster.workers["w1"].tasks.values()
    running = tuple(RunningTask(task.id, task.run, "", 1, tail) for task in tasks)
    report = WorkerReport(2000, running, (), 1)
    message = PollAnswered("w1", PollCall(None, 0, 0), report, 1.0)
    orders = apply_poll_result(context.cluster, message, 1.0, WALL)
    context.pool = Mock()
    commits = make_commit_state(LeaderClaim(LeaderRow("a/1", 1, 0, {}), 1, 1.0))
    before = METRICS.get_sample_value(PACES, {"direction": "lower"}) or 0
    dispatch_orders(context.cluster, WorkerCaller(context.pool), commits, orders)
    context.counted = METRICS.get_sample_value(PACES, {"direction": "lower"}) - before


@then('a pace of {percent:d} percent is sent to "{worker}" and counted as "lower"')
def step_sent(context: Context, percent: int, worker: str) -> None:
    ((call,), _) = context.pool.tell.call_args
    assert (call.worker, call.call.percent) == (worker, percent), call
    assert context.counted == 1
    context.order = call.call


@then("the pace is in force once the worker has confirmed it")
def step_in_force(context: Context) -> None:
    earlier = replace(context.order, percent=context.order.percent + 10)
    apply_order_result(context.cluster, PaceAnswered(earlier), 2.0)
    assert not context.filler.is_pace_confirmed
    apply_order_result(context.cluster, PaceAnswered(context.order), 2.0)
    assert context.filler.is_pace_confirmed
