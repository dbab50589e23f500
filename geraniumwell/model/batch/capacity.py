"""Free capacity of workers, updated as tasks start and end."""

from dataclasses import dataclass, field

from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.worker import Worker


@dataclass(slots=True)
class WorkerCapacity:
    """Free capacity of one worker.

    Parameters
    ----------
    free : Resources
        Resources that new tasks can use now.
    free_after_stops : Resources
        Resources that are free once the stopping tasks have ended.
    free_after_preemption : Resources
        Resources that would be free if all preemptible tasks had ended.
    accelerators : int
        Total accelerators of the worker, including those in use.
    urgent : dict
        Accelerators used by urgent work, by organisation.
    has_fillers, has_serving_tasks : bool
        Whether the worker has tasks that use spare processor time, or tasks with a
        latency target.
    counts : dict
        Number of tasks of each step that has a limit per worker, by step key.
    is_headroom : bool
        Whether the worker is reserved for urgent work.
    """

    worker: Worker
    free: Resources
    free_after_stops: Resources
    free_after_preemption: Resources
    accelerators: int = 0
    urgent: dict[str, int] = field(default_factory=dict)
    has_fillers: bool = False
    has_serving_tasks: bool = False
    counts: dict[tuple[str, int, int], int] = field(default_factory=dict)
    is_headroom: bool = False


# Capacities by number of free accelerators, then by worker name.
CapacityBuckets = dict[int, dict[str, WorkerCapacity]]


@dataclass(slots=True)
class Pool:
    """Workers of one service that are eligible for new tasks.

    Parameters
    ----------
    capacities : dict
        Free capacity of each worker, by worker name.
    general, headroom : dict
        Capacities that any work may use, and those reserved for urgent work.
    idle : dict
        Names of the workers without tasks, by rack.
    headroom_workers : frozenset of str
        Names of the workers that are reserved for urgent work.
    is_stale : bool
        Whether the headroom workers have to be chosen again.
    accelerators, free : int
        Total and free accelerators of all these workers.
    slow_workers : frozenset of str
        Names of the workers that are much slower than most others.
    slow_factor : float
        How many times as long a task takes on a slow worker as on most others.
    """

    capacities: dict[str, WorkerCapacity] = field(default_factory=dict)
    general: CapacityBuckets = field(default_factory=dict)
    headroom: CapacityBuckets = field(default_factory=dict)
    idle: dict[str, set[str]] = field(default_factory=dict)
    headroom_workers: frozenset[str] = frozenset()
    is_stale: bool = False
    accelerators: int = 0
    free: int = 0
    slow_workers: frozenset[str] = frozenset()
    slow_factor: float = 1.0


@dataclass(slots=True)
class FleetIndex:
    """Free capacity of all workers by service, with the state to update it.

    Parameters
    ----------
    pools : dict
        Workers that are eligible for new tasks, by service.
    capacities : dict
        Free capacity of every worker, eligible or not, by worker name.
    urgent_use : dict
        Accelerators used by urgent work on all workers, by organisation.
    unresponsive : set of str
        Workers with an unanswered call since their last response.
    unresponsive_data_centres : frozenset of str
        Data centres that seem to be partitioned from this daemon.
    evacuated_data_centres : frozenset of str
        Data centres that were evacuated when the index was last refreshed.
    avoidance_ends : list
        Heap of the times from which avoided workers are eligible again, with their
        names.
    catalog_version : int or None
        Version of the configuration that the index was built with.
    """

    pools: dict[str, Pool] = field(default_factory=dict)
    capacities: dict[str, WorkerCapacity] = field(default_factory=dict)
    urgent_use: dict[str, int] = field(default_factory=dict)
    unresponsive: set[str] = field(default_factory=set)
    unresponsive_data_centres: frozenset[str] = frozenset()
    evacuated_data_centres: frozenset[str] = frozenset()
    avoidance_ends: list[tuple[float, str]] = field(default_factory=list)
    catalog_version: int | None = None
