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
    """Return the fields of one line for each step and run among orders to workers."""
    groups: dict[tuple[str, str, int], Counter[str]] = {}
    for order in orders:
        key = (order.id.job, format_step_id(order.id), order.run)
        groups.setdefault(key, Counter())[order.worker] += 1
    return [
        {
            "job": job,
            "step": step,
            "run": run,
            "tasks": tasks_by_worker.total(),
            "on": " ".join(sorted(tasks_by_worker)),
        }
        for (job, step, run), tasks_by_worker in groups.items()
    ]


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
