"""Groups of waiting tasks that are placed together."""

from dataclasses import dataclass, field

from geraniumwell.model.batch.job import StepSpec, TaskId

# Job, occurrence and number of a step.
StepKey = tuple[str, int, int]


@dataclass(slots=True, frozen=True)
class PlacementShape:
    """All that decides on which workers a unit fits; equal for alike units.

    Parameters
    ----------
    count : int
        Tasks that must fit at the same time; 1 unless the unit is a gang.
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
    """A gang, or the tasks of a step that may start one by one.

    Parameters
    ----------
    ids : tuple of TaskId
        The waiting tasks, in the order of their indexes.
    worthless_at : float
        Unix time after which the result is worth nothing any more.
    order : tuple
        Units with a lower one are more urgent.
    shape : PlacementShape or None
        None if the fit depends on where other tasks of the step run.
    """

    key: StepKey
    spec: StepSpec
    ids: tuple[TaskId, ...]
    service: str
    priority: int
    organisation: str
    waiting_since: float
    worthless_at: float
    order: tuple[float, ...]
    shape: PlacementShape | None


@dataclass(slots=True)
class UnitQueue:
    """Waiting units, the most urgent first.

    Parameters
    ----------
    keys : dict
        Steps with a waiting unit, by job.
    expiries : list
        Heap of the times at which units become worthless, and their jobs.
    catalog_version : int or None
        Version of the configuration that the units were made with.
    """

    units: list[Unit] = field(default_factory=list)
    keys: dict[str, set[StepKey]] = field(default_factory=dict)
    expiries: list[tuple[float, str]] = field(default_factory=list)
    catalog_version: int | None = None
