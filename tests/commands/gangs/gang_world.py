"""A data centre for scenarios of gang decisions, built step by step."""

from dataclasses import dataclass, field

from geraniumwell.commands.gangs.policy import Policy
from geraniumwell.commands.gangs.scheduler import plan
from geraniumwell.model.config import Configuration, Organisation, PlannedStop
from geraniumwell.model.gang_view import (
    GangPlanEffect,
    GangView,
    HealthState,
    LeaseTable,
)
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import (
    Checkpointable,
    Interruption,
    Job,
    JobRecord,
    JobState,
    SameDataCentre,
    SameRack,
    SameWorker,
    Shape,
    Spread,
    Stoppable,
    Uninterruptible,
)
from geraniumwell.model.worker import TaskLease, TaskReport, TaskState, Worker

SPREADS: dict[str, Spread] = {
    "anywhere": SameDataCentre(),
    "one rack": SameRack(),
    "one worker": SameWorker(),
}
INTERRUPTIONS: dict[str, Interruption] = {
    "saves in 1 s": Checkpointable(1.0),
    "saves in 30 s": Checkpointable(30.0),
    "stoppable": Stoppable(1.0),
    "uninterruptible": Uninterruptible(),
}


@dataclass(slots=True)
class GangWorld:
    """Mutable parts of a view; ``now`` is Unix seconds."""

    workers: dict[str, Worker] = field(default_factory=dict)
    guarantees: dict[str, Guarantee] = field(default_factory=dict)
    quotas: dict[str, int | None] = field(default_factory=dict)
    stops: dict[str, PlannedStop] = field(default_factory=dict)
    jobs: dict[str, JobRecord] = field(default_factory=dict)
    leases: LeaseTable = field(default_factory=LeaseTable)
    started_at: dict[str, float] = field(default_factory=dict)
    unreachable: frozenset[str] = frozenset()
    health: HealthState = field(default_factory=HealthState)
    now: float = 1000.0
    effects: list[GangPlanEffect] = field(default_factory=list)

    def view(self) -> GangView:
        """Return the view that the decisions read."""
        organisations = {n: Organisation(n, 1.0, q) for n, q in self.quotas.items()}
        cfg = Configuration(
            1,
            organisations=organisations,
            workers=self.workers,
            guarantees=self.guarantees,
            stops=self.stops,
        )
        return GangView(
            "dc",
            cfg,
            self.jobs,
            self.leases,
            self.unreachable,
            self.health,
            self.started_at,
        )

    def plan(self) -> list[GangPlanEffect]:
        """Return what the default policy does now."""
        return plan(self.view(), Policy(), self.now)

    def make_job(self, row: dict[str, str]) -> Job:
        """Return the job of a table row and register its organisation."""
        self.quotas.setdefault(row["organisation"], None)
        return Job(
            row["job"],
            row["organisation"],
            "dc",
            parse_shape(row["shape"]),
            float(row.get("declared") or 100),
            INTERRUPTIONS[row.get("interruption") or "stoppable"],
            float(row.get("submitted") or 900),
            urgent=row.get("kind") == "urgent",
            guaranteed=row.get("kind") == "claim",
        )

    def add_waiting(self, row: dict[str, str]) -> None:
        """Add an accepted job."""
        job = self.make_job(row)
        self.jobs[job.job_id] = JobRecord(job, JobState.ACCEPTED)

    def add_running(self, row: dict[str, str]) -> None:
        """Add a running job whose members are at ``worker/first`` places."""
        job = self.make_job(row)
        self.jobs[job.job_id] = JobRecord(job, JobState.RUNNING, attempt=1)
        self.started_at[job.job_id] = float(row.get("started") or 900)
        for member, place in enumerate(row["places"].split()):
            worker, first = place.split("/")
            lease = TaskLease(
                f"{job.job_id}/1/{member}",
                job.job_id,
                1,
                member,
                worker,
                int(first),
                job.shape.accelerators,
                job.shape.cores,
                job.shape.memory_gb,
            )
            self.leases.put(TaskReport(lease, TaskState.RUNNING, 0.0))


def parse_shape(text: str) -> Shape:
    """Return the shape of ``2x8 one rack``: members, accelerators and spread."""
    counts, spread = text.split(" ", 1)
    members, accelerators = counts.split("x")
    return Shape(int(members), int(accelerators), 1, 1, SPREADS[spread])


def make_workers(count: int, accelerators: int, in_rack: int) -> dict[str, Worker]:
    """Return equal workers ``w0``, ``w1`` and so on, with 16 cores and 64 GB."""
    return {
        f"w{i}": Worker(f"w{i}", "dc", f"r{i // in_rack}", "", accelerators, 16, 64)
        for i in range(count)
    }
