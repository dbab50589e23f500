"""Decides from reported progress whether work stands still, and who is at fault.

Loads: gangs whose members finish at different times, long tasks on slow workers, and
jobs that stand still wherever they run.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from geraniumwell.commands.batch.headroom import is_mostly_idle
from geraniumwell.commands.batch.health import record_stall, record_suspected_stall
from geraniumwell.commands.batch.lifecycle import (
    find_step,
    list_gang,
    mark_job_unsaved,
    stop_gang,
)
from geraniumwell.commands.batch.priorities import find_step_spec
from geraniumwell.model.batch.capacity import Pool
from geraniumwell.model.batch.cluster import Cluster, Order
from geraniumwell.model.batch.job import Phase, StepRun, StopReason, Task
from geraniumwell.model.batch.unit import StepKey, Unit
from geraniumwell.model.batch.worker import Worker

# Time without progress after which a task stands still. Progress is reported in whole
# percent, and workers are polled every second. The time is measured on the worker's
# clock, because a report that is processed late, by a daemon that was paused or busy,
# describes an earlier state.
STALL_MS = 6_000
# Number of percent, at the rate so far or else by the estimate, that a task may take
# longer than that for. A long task on a slow worker takes seconds for one percent.
STALL_PERCENTS = 3
FINISHED_PERCENT = 100
# Gangs on more workers than this name no suspects; their rows would become too large.
SUSPECT_LIMIT = 32
# Time after which the stalls of a step no longer count.
STALL_MEMORY_SECONDS = 120.0
# Number of stalls from which a step waits before it takes capacity again. The first may
# be the fault of a worker.
MIN_STALLS_FOR_PAUSE = 2
# The wait after that number of stalls; it doubles with each further one.
PAUSE_SECONDS = 2.0
PAUSE_LIMIT_SECONDS = 30.0
# The same in a mostly idle fleet, where a job that fits may have nothing running for
# 3 s at most, and for guaranteed work.
IDLE_PAUSE_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Stall:
    """Tasks of a gang, or a single task, that stand still.

    Parameters
    ----------
    tasks : tuple of Task
        Tasks that stand still; finished gang members are left out if others are not
        finished.
    stalled_ms : int
        Longest time without progress among them.
    """

    step: StepRun
    tasks: tuple[Task, ...]
    stalled_ms: int


def find_stalled_ms(worker: Worker, task: Task) -> int:
    """Return the time without progress by the latest report, in milliseconds."""
    if task.progressed_clock_ms is None:
        return 0
    return worker.clock_ms - task.progressed_clock_ms


def find_percent_ms(task: Task) -> float | None:
    """Return the milliseconds that one percent has taken so far, if that is known."""
    if task.base_clock_ms is None or task.progressed_clock_ms is None:
        return None
    percent = task.progress - task.base_progress
    elapsed_ms = task.progressed_clock_ms - task.base_clock_ms
    if percent <= 0 or elapsed_ms <= 0:
        return None
    return elapsed_ms / percent


def has_stalled(cluster: Cluster, worker: Worker, task: Task) -> bool:
    """Return whether a running task has made no progress for too long."""
    stalled_ms = find_stalled_ms(worker, task)
    if task.phase is not Phase.RUNNING or stalled_ms < STALL_MS:
        return False
    percent_ms = find_percent_ms(task)
    if percent_ms is None:
        percent_ms = find_step_spec(cluster, task.id).estimate_seconds * 1000 / 100
    return stalled_ms >= STALL_PERCENTS * percent_ms


def find_stall(cluster: Cluster, task: Task) -> Stall | None:
    """Return the stall that a task is part of, or None if its gang makes progress.

    Gang members end together, so a finished one stands still until the slowest is
    through. A gang therefore stands still only if each member does, apart from finished
    members beside unfinished ones.
    """
    worker = cluster.workers.get(task.worker)
    if worker is None or not has_stalled(cluster, worker, task):
        return None
    step = find_step(cluster.jobs[task.id.job], task.id)
    if step is None or step.spec.is_long_running:
        return None
    members = list_gang(cluster, task)
    unfinished = [m for m in members if m.progress < FINISHED_PERCENT]
    judged = unfinished or members
    stalled_ms = 0
    for member in judged:
        worker = cluster.workers.get(member.worker)
        if worker is None or not has_stalled(cluster, worker, member):
            return None
        stalled_ms = max(stalled_ms, find_stalled_ms(worker, member))
    return Stall(step, tuple(judged), stalled_ms)


def stop_stalled(cluster: Cluster, now: float) -> list[Order]:
    """Stop tasks and gangs that stand still although their workers report them.

    Only changed workers are checked, because each report marks its worker as changed.
    """
    stalls: dict[StepKey, list[Stall]] = {}
    orders: list[Order] = []
    for name in sorted(cluster.changed_workers):
        worker = cluster.workers.get(name)
        for task in list(worker.tasks.values()) if worker else ():
            if (stall := find_stall(cluster, task)) is None:
                continue
            key = (task.id.job, task.id.occurrence, task.id.step)
            stalls.setdefault(key, []).append(stall)
            orders += stop_gang(
                cluster, task, StopReason.STALLED, now, stall.stalled_ms
            )
    for key, found in sorted(stalls.items()):
        record_blame(cluster, found[0].step, [t for s in found for t in s.tasks], now)
        mark_job_unsaved(cluster, key[0])
    return orders


def record_blame(
    cluster: Cluster, step: StepRun, stalled: list[Task], now: float
) -> None:
    """Avoid the workers at fault for stalled tasks, and count a stall of their step.

    A worker on which another task moves works. Only workers that took part in every
    stall of a step can be at fault; if there is none, the step is. Runs that began
    before the last stall belong to it.
    """
    if step.stalled_at and now - step.stalled_at > STALL_MEMORY_SECONDS:
        clear_stalls(cluster, step)
    names = {task.worker for task in stalled}
    suspects = [
        name
        for name in sorted(names)
        if may_be_at_fault(cluster.workers[name], stalled)
    ]
    is_first = not step.stalls
    is_same = not is_first and all(t.started_at < step.stalled_at for t in stalled)
    if not is_first and not is_same:
        suspects = [name for name in suspects if name in step.stall_suspects]
    avoid_suspects(cluster, suspects, step.spec.is_gang, is_first or is_same, now)
    known = {*suspects, *step.stall_suspects} if is_same else suspects
    step.stall_suspects = tuple(sorted(known)) if len(known) <= SUSPECT_LIMIT else ()
    if not is_same:
        step.stalls += 1
        step.stalled_at = now
    cluster.unsaved_stalls.add(step.tasks[0].id.job)


def avoid_suspects(
    cluster: Cluster, suspects: list[str], is_gang: bool, is_first: bool, now: float
) -> None:
    """Avoid the workers that may be at fault for a stall of a step."""
    for name in suspects:
        worker = cluster.workers[name]
        if len(suspects) == 1 or (is_first and not is_gang):
            record_stall(worker, now)
        elif is_first:
            # One slow member holds up its whole gang, so most of these are healthy.
            record_suspected_stall(worker, now)
        cluster.mark_worker_changed(name)


def clear_stalls(cluster: Cluster, step: StepRun) -> None:
    """Forget the stalls of a step that works, or that stood still long ago."""
    if not step.stalls:
        return
    step.stalls, step.stall_suspects, step.stalled_at = 0, (), 0.0
    cluster.unsaved_stalls.add(step.tasks[0].id.job)


def may_be_at_fault(worker: Worker, stalled: Iterable[Task]) -> bool:
    """Return whether a worker may be at fault, because no other task moves there."""
    ids = {task.id for task in stalled}
    return not any(
        task.phase is Phase.RUNNING
        and task.id not in ids
        and task.progress < FINISHED_PERCENT
        and task.base_clock_ms is not None
        and find_stalled_ms(worker, task) < STALL_MS
        for task in worker.tasks.values()
    )


def find_pause_seconds(step: StepRun) -> float:
    """Return how long a step waits after its latest stall."""
    if step.stalls < MIN_STALLS_FOR_PAUSE or not step.stalled_at:
        return 0.0
    doublings = min(step.stalls - MIN_STALLS_FOR_PAUSE, 10)
    return min(PAUSE_SECONDS * 2**doublings, PAUSE_LIMIT_SECONDS)


def is_paused(pool: Pool, unit: Unit, is_guaranteed: bool, now: float) -> bool:
    """Return whether a unit waits because its step stood still repeatedly."""
    seconds = unit.pause_seconds
    if not seconds:
        return False
    if is_guaranteed or is_mostly_idle(pool):
        seconds = min(seconds, IDLE_PAUSE_SECONDS)
    return now < unit.paused_since + seconds
