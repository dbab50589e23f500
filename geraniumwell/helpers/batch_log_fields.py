"""Fields of log lines that cover many tasks of one step and run.

One line for each task would use up the budget of log lines when a large job starts or
ends.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from geraniumwell.model.batch.cluster import StartTask, StopTask
from geraniumwell.model.batch.job import TaskId
from geraniumwell.model.batch.worker import EndedTask


def format_step_id(task_id: TaskId) -> str:
    """Return the occurrence and step of a task, as in ``0.2``."""
    return f"{task_id.occurrence}.{task_id.step}"


def group_order_fields(orders: Iterable[StartTask | StopTask]) -> list[dict[str, Any]]:
    """Return the fields of one line for each step and run among orders to workers.

    Stops with different reasons get different lines.
    """
    groups: dict[tuple[str, str, int, str], Counter[str]] = {}
    stalled_ms: dict[tuple[str, str, int, str], int] = {}
    for order in orders:
        why = format_reason(order)
        key = (order.id.job, format_step_id(order.id), order.run, why)
        groups.setdefault(key, Counter())[order.worker] += 1
        if isinstance(order, StopTask) and order.stalled_ms is not None:
            stalled_ms[key] = max(order.stalled_ms, stalled_ms.get(key, 0))
    return [
        {
            "job": job,
            "step": step,
            "run": run,
            "tasks": tasks_by_worker.total(),
            "on": " ".join(sorted(tasks_by_worker)),
        }
        | ({"why": why} if why else {})
        | ({"since_ms": stalled_ms[key]} if key in stalled_ms else {})
        for key, tasks_by_worker in groups.items()
        for job, step, run, why in (key,)
    ]


def format_reason(order: StartTask | StopTask) -> str:
    """Return why a run is stopped; empty for starts."""
    if isinstance(order, StopTask) and order.reason is not None:
        return order.reason.value
    return ""


def group_end_fields(worker: str, ends: Iterable[EndedTask]) -> list[dict[str, Any]]:
    """Return the fields of one line for each step, run and kind of end on a worker."""
    groups = Counter(
        (end.id.job, format_step_id(end.id), end.run, end.kind.value) for end in ends
    )
    return [
        {
            "job": job,
            "step": step,
            "run": run,
            "tasks": count,
            "on": worker,
            "how": how,
        }
        for (job, step, run, how), count in groups.items()
    ]
