"""Answers to starts: counted, logged and applied to the state of tasks."""

from geraniumwell.commands.batch.answers import (
    apply_start_answer,
    apply_unanswered_start,
)
from geraniumwell.helpers.batch_log_fields import format_step_id
from geraniumwell.helpers.batch_metrics import ORDERS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import StartAnswered, StartNotSent, StartUnanswered
from geraniumwell.model.batch.cluster import Cluster, Order, StartTask
from geraniumwell.model.batch.worker import StartResult

StartMessage = StartAnswered | StartNotSent | StartUnanswered


def apply_start_result(
    cluster: Cluster, message: StartMessage, now: float
) -> list[Order]:
    """Apply what became of a start; return the orders that follow."""
    match message:
        case StartAnswered(order, answer):
            ORDERS.labels("start", answer.result.value).inc()
            if answer.result is not StartResult.STARTED:
                log_failure(order, answer.result.value)
            return apply_start_answer(
                cluster, order, answer.result, now, answer.clock_ms
            )
        case StartNotSent(order, code):
            ORDERS.labels("start", code).inc()
            log_failure(order, code)
            return apply_start_answer(cluster, order, StartResult.REFUSED, now)
        case StartUnanswered(order, code):
            ORDERS.labels("start", code).inc()
            log_failure(order, code)
            return apply_unanswered_start(cluster, order, now)


def has_confirmed_epoch(message: StartMessage) -> bool:
    """Tell whether a worker refused a start because of a higher epoch."""
    match message:
        case StartAnswered(_, answer):
            return answer.result is StartResult.STALE_EPOCH
    return False


def log_failure(order: StartTask, code: str) -> None:
    """Write the line of a start that did not start anything."""
    EVENT_LOG.write(
        "start_failed",
        job=order.id.job,
        step=format_step_id(order.id),
        run=order.run,
        on=order.worker,
        code=code,
    )
