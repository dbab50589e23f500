"""Groups of waiting tasks that are placed together."""

from dataclasses import dataclass, field

from geraniumwell.model.batch.job import StepSpec, TaskId

# Job, occurrence and number of a step.
StepKey = tuple[str, int, int]


@dataclass(slots=True, frozen=True)
class PlacementShape:
    """Everything that decides on which workers a unit fits.

    Units with equal shapes fit on the same workers.

    Parameters
    ----------
    is_serving : bool
        Whether the tasks have a latency target.
    count : int
        Number of tasks that must fit at the same time; 1 unless the unit is a gang.
    """

    service: str
    label: str
    rack: str
    is_same_rack: bool
    is_filler: bool
    is_serving: bool
    is_urgent: bool
    cpu_millis: int
    memory_mb: int
    accelerators: int
    count: int


@dataclass(slots=True, frozen=True)
class Unit:
    """The waiting tasks of a step: a gang, or tasks that may start independently.

    Parameters
    ----------
    ids : tuple of TaskId
        The waiting tasks, sorted by index.
    objective : float
        Unix time by which the job should be done.
    expires_at : float
        Unix time after which the result has no value.
    sort_key : tuple
        Units with a lower key are more urgent.
    shape : PlacementShape or None
        None if the fit also depends on where other tasks of the step run.
    is_complete : bool
        Whether all tasks wait; False for a gang whose earlier run has not ended on all
        workers. Such a unit only keeps its capacity.
    former_workers, resumed_since : tuple of str, float
        Workers of the earlier run of a gang, and the time from which it waits to start
        again.
    paused_since, pause_seconds : float
        Time from which a step that stood still repeatedly waits, and how long; 0 if it
        does not.
    """

    key: StepKey
    spec: StepSpec
    ids: tuple[TaskId, ...]
    service: str
    priority: int
    organisation: str
    waiting_since: float
    objective: float
    expires_at: float
    sort_key: tuple[float, ...]
    shape: PlacementShape | None
    is_complete: bool = True
    former_workers: tuple[str, ...] = ()
    resumed_since: float = 0.0
    paused_since: float = 0.0
    pause_seconds: float = 0.0


@dataclass(slots=True)
class UnitQueue:
    """Waiting units, sorted by urgency.

    Parameters
    ----------
    keys : dict
        Keys of the steps with a waiting unit, by job id.
    expiries : list
        Heap of the times at which units expire, with their job ids.
    catalog_version : int or None
        Version of the configuration that the units were built with.
    """

    units: list[Unit] = field(default_factory=list)
    keys: dict[str, set[StepKey]] = field(default_factory=dict)
    expiries: list[tuple[float, str]] = field(default_factory=list)
    catalog_version: int | None = None
