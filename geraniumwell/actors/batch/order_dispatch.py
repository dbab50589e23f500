"""Queues starts until their tasks are stored, and sends all other orders at once."""

from geraniumwell.actors.batch.commit_state import CommitState
from geraniumwell.actors.batch.worker_caller import WorkerCaller
from geraniumwell.helpers.batch_log_fields import (
    format_reason,
    format_step_id,
    group_order_fields,
)
from geraniumwell.helpers.batch_metrics import PACES, STOPS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.model.batch.cluster import (
    Cluster,
    Order,
    PaceChange,
    PaceTask,
    StartTask,
    StopTask,
)


def dispatch_orders(
    cluster: Cluster, caller: WorkerCaller, commits: CommitState, orders: list[Order]
) -> None:
    """Queue or send the orders, and log and count the stops and paces."""
    stops: list[StopTask] = []
    paces: list[PaceTask] = []
    for order in orders:
        match order:
            case StartTask():
                commits.orders.append(order)
            case StopTask():
                stops.append(order)
                STOPS.labels(format_reason(order)).inc()
                caller.send_order(cluster, order, commits.valid_until)
            case PaceTask():
                paces.append(order)
                caller.send_order(cluster, order, commits.valid_until)
    for fields in group_order_fields(stops):
        EVENT_LOG.write("stop", **fields)
    log_paces(paces)


def log_paces(orders: list[PaceTask]) -> None:
    """Count the pace orders of one report, and log those that are not repeated."""
    for order in orders:
        change = order.change or PaceChange.REPEAT
        PACES.labels(change.value).inc()
        if change is not PaceChange.REPEAT:
            EVENT_LOG.write(
                "pace",
                job=order.id.job,
                step=format_step_id(order.id),
                run=order.run,
                on=order.worker,
                percent=order.percent,
                why=change.value,
                share=None if order.share is None else round(order.share, 2),
            )
