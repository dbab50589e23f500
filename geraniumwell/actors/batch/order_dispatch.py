"""Queues starts until their tasks are stored, and sends all other orders at once."""

from geraniumwell.actors.batch.commit_state import CommitState
from geraniumwell.actors.batch.worker_caller import WorkerCaller
from geraniumwell.helpers.batch_log_fields import (
    format_reason,
    group_order_fields,
    group_pace_fields,
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
        PACES.labels((order.change or PaceChange.REPEAT).value).inc()
    unlogged = (None, PaceChange.REPEAT)
    changed = [order for order in orders if order.change not in unlogged]
    for fields in group_pace_fields(changed):
        EVENT_LOG.write("pace", **fields)
