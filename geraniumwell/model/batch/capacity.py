"""Room of workers, kept up to date as tasks come and go."""

from dataclasses import dataclass, field

from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.worker import Worker


@dataclass(slots=True)
class WorkerCapacity:
    """Room of one worker.

    Parameters
    ----------
    free : Resources
        What can be taken at once.
    free_after_stops : Resources
        What will be free when the tasks that are being stopped have ended.
    free_after_preemption : Resources
        What would be free if all tasks that may be stopped for urgent work ended.
    accelerators : int
        Accelerators of the worker, in use or not.
    urgent : dict
        Accelerators in urgent use, by organisation.
    has_fillers, has_servers : bool
        Whether steps that take unused capacity, or that serve users, run there.
    counts : dict
        Tasks of steps with a limit for each worker, by job, occurrence and step.
    is_headroom : bool
        Whether only urgent work may use it.
    """

    worker: Worker
    free: Resources
    free_after_stops: Resources
    free_after_preemption: Resources
    accelerators: int = 0
    urgent: dict[str, int] = field(default_factory=dict)
    has_fillers: bool = False
    has_servers: bool = False
    counts: dict[tuple[str, int, int], int] = field(default_factory=dict)
    is_headroom: bool = False


# Rooms by the number of their free accelerators, then by worker.
Shelves = dict[int, dict[str, WorkerCapacity]]


@dataclass(slots=True)
class Pool:
    """Workers of one service that may be given new tasks.

    Parameters
    ----------
    general, headroom : dict
        Rooms for all work, and rooms that are kept for urgent work.
    idle : dict
        Names of the workers without any task, by rack.
    headroom_workers : frozenset of str
        The workers whose rooms are held.
    is_stale : bool
        Whether the choice of held workers has to be made anew.
    accelerators, free : int
        Accelerators of all these workers, in use or not, and those that are free.
    """

    rooms: dict[str, WorkerCapacity] = field(default_factory=dict)
    general: Shelves = field(default_factory=dict)
    headroom: Shelves = field(default_factory=dict)
    idle: dict[str, set[str]] = field(default_factory=dict)
    headroom_workers: frozenset[str] = frozenset()
    is_stale: bool = False
    accelerators: int = 0
    free: int = 0


@dataclass(slots=True)
class FleetIndex:
    """Room of all workers by service, and what has to be looked at again.

    Parameters
    ----------
    pools : dict
        Usable workers by service.
    rooms : dict
        Room of every worker, usable or not, by its name.
    urgent_use : dict
        Accelerators in urgent use by organisation, on all workers.
    silent : set of str
        Workers that got a call without an answer since they were last heard.
    silent_data_centres : frozenset of str
        Data centres that seem to be cut off.
    evacuated_data_centres : frozenset of str
        Data centres that the rooms were last counted as evacuated.
    wake_ups : list
        Heap of the times at which avoided workers are usable again, and their names.
    catalog_version : int or None
        Version of the configuration that the rooms were made with.
    """

    pools: dict[str, Pool] = field(default_factory=dict)
    rooms: dict[str, WorkerCapacity] = field(default_factory=dict)
    urgent_use: dict[str, int] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    silent_data_centres: frozenset[str] = frozenset()
    evacuated_data_centres: frozenset[str] = frozenset()
    wake_ups: list[tuple[float, str]] = field(default_factory=list)
    catalog_version: int | None = None
