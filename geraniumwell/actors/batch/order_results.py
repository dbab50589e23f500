"""Counts the results of stops and paces and applies them to the scheduler's state."""

from geraniumwell.commands.batch.answers import apply_pace_answer, apply_stop_answer
from geraniumwell.helpers.batch_metrics import ORDERS
from geraniumwell.messages.batch import (
    PaceAnswered,
    PaceUnanswered,
    StopAnswered,
    StopUnanswered,
)
from geraniumwell.model.batch.cluster import Cluster

OrderMessage = StopAnswered | StopUnanswered | PaceAnswered | PaceUnanswered


def apply_order_result(cluster: Cluster, message: OrderMessage, now: float) -> None:
    """Apply the result of a stop or a pace.

    An order without an answer needs nothing here: a later planning round or the next
    report sends it again.
    """
    match message:
        case StopAnswered(order):
            apply_stop_answer(cluster, order, now)
            ORDERS.labels("stop", "stopped").inc()
        case StopUnanswered(_, code):
            ORDERS.labels("stop", code).inc()
        case PaceAnswered(order):
            apply_pace_answer(cluster, order)
            ORDERS.labels("pace", "set").inc()
        case PaceUnanswered(_, code):
            ORDERS.labels("pace", code).inc()
