"""Fields of log lines about many tasks: one line for each step and run."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from geraniumwell.model.batch.cluster import StartTask, StopTask
from geraniumwell.model.batch.job import TaskId
from geraniumwell.model.batch.worker import EndedTask


def format_step_id(task_id: TaskId) -> str:
    """Return the occurrence and step of a task as a short text."""
    return f"{task_id.occurrence}.{task_id.step}"


def group_order_fields(orders: Iterable[StartTask | StopTask]) -> list[dict[str, Any]]:
    """Return the fields of one line for each step and run that orders are about."""
    groups: dict[tuple[str, str, int], Counter[str]] = {}
    for order in orders:
        key = (order.id.job, format_step_id(order.id), order.run)
        groups.setdefault(key, Counter())[order.worker] += 1
    return [
        {
            "job": job,
            "step": step,
            "run": run,
            "tasks": places.total(),
            "on": " ".join(sorted(places)),
        }
        for (job, step, run), places in groups.items()
    ]


def group_end_fields(worker: str, ends: Iterable[EndedTask]) -> list[dict[str, Any]]:
    """Return the fields of one line for each step and kind of end on a worker."""
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
