"""Logs and counts the results of polls and applies them to the scheduler's state."""

from geraniumwell.actors.batch.worker_caller import (
    UNACKNOWLEDGED_RETRY_SECONDS,
    UNKNOWN_RUN_RETRY_SECONDS,
    UNRESPONSIVE_RETRY_SECONDS,
)
from geraniumwell.clients.task_worker import OtherIncarnationError
from geraniumwell.commands.batch.ends import apply_report
from geraniumwell.commands.batch.health import record_unanswered_call
from geraniumwell.commands.batch.interference import observe_report
from geraniumwell.commands.batch.pacing import decide_pace
from geraniumwell.helpers.batch_log_fields import group_end_fields
from geraniumwell.helpers.batch_metrics import RUN_ENDS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import PollAnswered, PollFailed
from geraniumwell.model.batch.cluster import Cluster, Order
from geraniumwell.model.batch.worker import Worker

# A restarted worker appears in the registry within this time.
OTHER_INCARNATION_RETRY_SECONDS = 1.0


def apply_poll_result(
    cluster: Cluster, message: PollAnswered | PollFailed, now: float, wall_now: float
) -> list[Order]:
    """Apply the result of a poll; return the resulting orders."""
    worker = cluster.workers.get(message.worker)
    if worker is None:
        return []
    worker.is_poll_pending = False
    match message:
        case PollFailed(_, code):
            record_failed_poll(cluster, worker, code, now)
            return []
        case PollAnswered(_, poll, report, sent_at):
            if worker.is_unresponsive:
                EVENT_LOG.write("worker_heard", worker=message.worker)
            log_ends(worker, message)
            orders = apply_report(cluster, worker, report, sent_at, now, wall_now)
            observe_report(cluster, worker, report, now)
            orders += decide_pace(cluster, worker, report, now)
            if worker.has_unknown_runs:
                worker.poll_after = now + UNKNOWN_RUN_RETRY_SECONDS
            elif poll.acknowledged_end < worker.last_saved_end:
                worker.poll_after = now + UNACKNOWLEDGED_RETRY_SECONDS
            return orders


def record_failed_poll(cluster: Cluster, worker: Worker, code: str, now: float) -> None:
    """Record a failed poll and set the time of the next one."""
    if not worker.is_unresponsive:
        EVENT_LOG.write("worker_silent", worker=worker.entry.id, code=code)
    record_unanswered_call(worker, now)
    is_other = code == OtherIncarnationError.code
    wait = OTHER_INCARNATION_RETRY_SECONDS if is_other else UNRESPONSIVE_RETRY_SECONDS
    worker.poll_after = now + wait
    cluster.mark_worker_changed(worker.entry.id)


def log_ends(worker: Worker, message: PollAnswered) -> None:
    """Count and log the ends that were not reported before."""
    new = [end for end in message.report.ended if end.number > worker.last_applied_end]
    for end in new:
        RUN_ENDS.labels(end.kind.value).inc()
    for fields in group_end_fields(message.worker, new):
        EVENT_LOG.write("end", **fields)
