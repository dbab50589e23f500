"""Decides at which pace fillers may work beside tasks with a latency target.

Load: workers on which fillers and serving tasks run together, for example after a
takeover from a version that allowed it; placement keeps them apart. The load of the
serving tasks and the effect of the fillers change within seconds.

The pace is lowered by halves and raised in small steps. Each decrease doubles the calm
time before the next increase, so the pace does not swing. On a worker that no longer
has serving tasks, fillers work at full pace.
"""

from geraniumwell.commands.batch.lifecycle import stop_gang
from geraniumwell.commands.batch.priorities import find_step_spec
from geraniumwell.commands.batch.progress import (
    FULL_PACE_PERCENT,
    has_full_pace,
    restart_progress_clocks,
)
from geraniumwell.model.batch.cluster import Cluster, Order, PaceChange, PaceTask
from geraniumwell.model.batch.interference import PaceState
from geraniumwell.model.batch.job import Phase, StopReason, Task
from geraniumwell.model.batch.worker import Worker, WorkerReport

# Share of its target from which a tail is near it, and below which it is calm.
NEAR_SHARE = 0.8
CALM_SHARE = 0.6
# Pace of fillers whose pace is not known, until the tails have been seen for a while.
RESUMED_PERCENT = 20
RAISE_PERCENT = 10
RAISE_SECONDS = 3.0
RAISE_LIMIT_SECONDS = 30.0
# Time without a decrease after which the wait before an increase is short again.
FORGET_SECONDS = 60.0
# No task may exceed its target for 4.5 s because of fillers that keep working. A stop
# takes up to a second, and reports arrive once a second.
OVER_LIMIT_SECONDS = 1.5
# A filler that stands still for longer gets more done elsewhere, from its checkpoint.
HALT_LIMIT_SECONDS = 20.0


def decide_pace(
    cluster: Cluster, worker: Worker, report: WorkerReport, now: float
) -> list[Order]:
    """Return the orders that follow from an applied report of a worker.

    An order that the worker has not confirmed is repeated. So is pace 0 while a target
    is exceeded, because an earlier increase without an answer may take effect late.
    """
    paces, name = cluster.interference.paces, worker.entry.id
    capacity = cluster.fleet.capacities.get(name)
    if capacity is None or not capacity.has_fillers:
        paces.pop(name, None)
        return []
    if not capacity.has_serving_tasks:
        paces.pop(name, None)
        return release_fillers(worker, report)
    fillers, shares = find_mixed_tasks(cluster, worker, report)
    state = paces.setdefault(name, PaceState(wait_seconds=RAISE_SECONDS))
    share = max(shares, default=None)
    update_state(state, share, now)
    if not fillers:
        return []
    wanted = find_pace(state, share, fillers, now)
    if wanted > 0:
        state.halted_since = None
    elif state.halted_since is None:
        state.halted_since = now
    if stuck := find_stuck(state, fillers, now):
        return [
            order
            for task in stuck
            for order in stop_gang(cluster, task, StopReason.DISTURBING, now)
        ]
    is_repeated = wanted == 0 and state.over_since is not None
    return [
        _set_pace(worker, task, wanted, share)
        for task in fillers
        if is_repeated or task.pace != wanted or not task.is_pace_confirmed
    ]


def release_fillers(worker: Worker, report: WorkerReport) -> list[Order]:
    """Return orders of full pace for the fillers of a worker without serving tasks.

    Only fillers ever have another pace.
    """
    if all(has_full_pace(task) for task in worker.tasks.values()):
        return []
    return [
        _set_pace(worker, task, FULL_PACE_PERCENT, None)
        for task in list_running(worker, report)
        if not has_full_pace(task)
    ]


def list_running(worker: Worker, report: WorkerReport) -> list[Task]:
    """Return the running tasks that a report lists; the runs of others may have ended.

    A report that does not contain all ends leaves such tasks placed.
    """
    found = (
        task
        for item in report.running
        if (task := worker.tasks.get(item.id)) is not None and task.run == item.run
    )
    return [task for task in found if task.phase is Phase.RUNNING]


def find_mixed_tasks(
    cluster: Cluster, worker: Worker, report: WorkerReport
) -> tuple[list[Task], list[float]]:
    """Return the running fillers, and the tails of serving tasks by target."""
    fillers: list[Task] = []
    shares: list[float] = []
    for task in list_running(worker, report):
        spec = find_step_spec(cluster, task.id)
        if spec.target_ms:
            if task.usage is not None:
                shares.append(task.usage / spec.target_ms)
        elif spec.is_filler:
            fillers.append(task)
    return fillers, shares


def update_state(state: PaceState, share: float | None, now: float) -> None:
    """Record how long the worst tail has been over its target, or well below it."""
    if share is None:
        # Without a figure the pace is not raised, and the target counts as it did.
        state.calm_since = None
        return
    if share < 1.0:
        state.over_since = None
    elif state.over_since is None:
        state.over_since = now
    if share >= CALM_SHARE:
        state.calm_since = None
    elif state.calm_since is None:
        state.calm_since = now


def find_pace(
    state: PaceState, share: float | None, fillers: list[Task], now: float
) -> int:
    """Return the percentage at which the fillers of a worker should work."""
    current = min(
        RESUMED_PERCENT if task.pace is None else task.pace for task in fillers
    )
    if share is not None and share >= NEAR_SHARE:
        if current == 0:
            return 0
        record_decrease(state, now)
        return 0 if share >= 1.0 else current // 2
    if current == FULL_PACE_PERCENT or state.calm_since is None:
        return current
    if not all(task.is_pace_confirmed for task in fillers):
        # The worker may apply an earlier order late, after the increase.
        return current
    if now - state.lowered_at > FORGET_SECONDS:
        state.wait_seconds = RAISE_SECONDS
    if now - state.calm_since < state.wait_seconds:
        return current
    state.calm_since = state.raised_at = now
    return min(FULL_PACE_PERCENT, current + RAISE_PERCENT)


def record_decrease(state: PaceState, now: float) -> None:
    """Record a decrease; the first one after an increase doubles the next wait."""
    if state.raised_at > state.lowered_at:
        state.wait_seconds = min(2 * state.wait_seconds, RAISE_LIMIT_SECONDS)
    state.lowered_at = now


def find_stuck(state: PaceState, fillers: list[Task], now: float) -> list[Task]:
    """Return the fillers to stop, because their pace does not help.

    Those are fillers that may still work although a target has been exceeded for too
    long, and all of them once they have stood still for long.
    """
    if (
        state.halted_since is not None
        and now - state.halted_since >= HALT_LIMIT_SECONDS
    ):
        return fillers
    if state.over_since is None or now - state.over_since < OVER_LIMIT_SECONDS:
        return []
    return [task for task in fillers if task.pace != 0 or not task.is_pace_confirmed]


def _set_pace(
    worker: Worker, task: Task, percent: int, share: float | None
) -> PaceTask:
    # An unknown pace is in most cases the full one.
    before = FULL_PACE_PERCENT if task.pace is None else task.pace
    change = PaceChange.REPEAT
    if percent < before:
        change = PaceChange.LOWER
    elif percent > before:
        change = PaceChange.RAISE
    if change is not PaceChange.LOWER:
        restart_progress_clocks(worker, task)
    if percent != task.pace:
        task.pace, task.is_pace_confirmed = percent, False
    return PaceTask(task.worker, task.id, task.run, percent, change, share)
