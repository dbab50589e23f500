"""State of one plan: its effects, and the resources that are free after them."""

from geraniumwell.commands.gangs.estimates import job_weight
from geraniumwell.commands.gangs.guard import GuaranteeGuard
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot, intersect
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.planned_stops import (
    find_workers_stopping_soon,
    list_stops,
)
from geraniumwell.commands.gangs.policy import (
    IgnoreGuarantees,
    KeepReclaimable,
    Policy,
)
from geraniumwell.commands.gangs.reclaim import is_reclaimable, usable_workers
from geraniumwell.model.gang_view import (
    GangPlanEffect,
    GangView,
    RecordWaitReasons,
    StartGang,
    StopGang,
)
from geraniumwell.model.job import Checkpointable, Job, JobRecord, JobState
from geraniumwell.model.worker import TaskLease


class PlanState:
    """Effects of a plan so far, and the resources that are free after them.

    ``free_now`` holds the resources that are free now; ``occ_after_stops`` also counts
    those of jobs that are being stopped as free. Slots that are held for a job that
    waits for a stop are allocated in both.
    """

    __slots__ = (
        "_guard",
        "effects",
        "now",
        "free_now",
        "policy",
        "occ_after_stops",
        "started",
        "stopped",
        "stops",
        "quota_used",
        "view",
        "workers",
    )

    def __init__(self, view: GangView, policy: Policy, now: float) -> None:
        self.view = view
        self.policy = policy
        self.now = now
        self.workers = usable_workers(view, now)
        self.stops = list_stops(view, now)
        self.free_now = Occupancy(self.workers, view.leases)
        self.occ_after_stops = self.free_now.copy()
        self.effects: list[GangPlanEffect] = []
        self.started: list[StartGang] = []
        self.stopped: dict[str, StopGang] = {}
        self.quota_used: dict[str, int] = {}
        self._guard: GuaranteeGuard | None = None
        for job_id in view.leases.job_ids():
            record = view.jobs.get(job_id)
            if record is None:
                continue
            if record.state is JobState.STOPPING:
                self.release_after_stop(job_id)
            elif not record.job.guaranteed:
                self.charge_quota(record.job)

    @property
    def guard(self) -> GuaranteeGuard:
        """Return the guard of the guarantees, which is built on first use."""
        if self._guard is None:
            self._guard = GuaranteeGuard(self.view, self.workers, self.now)
        return self._guard

    @property
    def has_guard(self) -> bool:
        """Return whether this plan has used the guard."""
        return self._guard is not None

    def charge_quota(self, job: Job) -> None:
        """Count the accelerators of a job against its organisation's quota."""
        count = job.shape.members * job.shape.accelerators
        self.quota_used[job.organisation] = (
            self.quota_used.get(job.organisation, 0) + count
        )

    def explain_quota_wait(self, job: Job) -> str | None:
        """Return why the quota does not let a job start now, or ``None`` if it does."""
        organisation = self.view.cfg.organisations.get(job.organisation)
        quota = organisation.quota_accelerators if organisation else None
        if quota is None or job.guaranteed:
            return None
        wanted = job.shape.members * job.shape.accelerators
        used = self.quota_used.get(job.organisation, 0)
        if used + wanted <= quota:
            return None
        return (
            f"{job.organisation} uses {used} of its quota of {quota} accelerators "
            f"and the job needs {wanted}"
        )

    def list_workers_to_avoid(self, record: JobRecord) -> frozenset[str]:
        """Return the workers where a job failed or that stop too soon for it."""
        failed = self.view.health.failed_workers.get(record.job.job_id)
        stopping = find_workers_stopping_soon(record, self.stops, self.now)
        return failed | stopping if failed else stopping

    def find_slots(self, record: JobRecord, occ: Occupancy) -> tuple[Slot, ...] | None:
        """Return slots in ``occ`` that a job that is no guarantee claim may take.

        If the guarantees don't allow the first choice, search only the resources that
        the guard does not reserve for guarantees.
        """
        job = record.job
        avoid = self.list_workers_to_avoid(record)
        packing = self.policy.packing
        slots = place_gang(occ, job.shape, packing, avoid)
        if slots is None or self.allows(job, slots):
            return slots
        unreserved = intersect(occ, self.guard.unreserved)
        slots = place_gang(unreserved, job.shape, packing, avoid)
        return slots if slots is not None and self.allows(job, slots) else None

    def allows(self, job: Job, slots: tuple[Slot, ...]) -> bool:
        """Return whether the guarantees let a job that is no claim take slots."""
        if isinstance(self.policy.guard, IgnoreGuarantees) or is_reclaimable(job):
            return True
        return self.guard.allows(job, slots)

    def start(self, record: JobRecord, slots: tuple[Slot, ...]) -> None:
        """Start a gang on slots that are free now."""
        effect = make_start_effect(record, slots)
        self.effects.append(effect)
        self.started.append(effect)
        self.hold(record, slots)

    def hold(self, record: JobRecord, slots: tuple[Slot, ...]) -> None:
        """Hold slots for a job, which starts now or as soon as they are free."""
        job = record.job
        self.free_now.allocate(job.shape, slots)
        self.occ_after_stops.allocate(job.shape, slots)
        if not job.guaranteed:
            self.charge_quota(job)
        keeps_guarantees = isinstance(self.policy.guard, KeepReclaimable)
        if keeps_guarantees and not is_reclaimable(job):
            self.guard.commit(job, slots)

    def stop(self, job_id: str, reason: str) -> None:
        """Stop a running gang and count its resources as free after stops."""
        if job_id in self.stopped:
            return
        job = self.view.jobs[job_id].job
        by_checkpoint = isinstance(job.interruption, Checkpointable)
        self.add_stop(StopGang(job_id, reason, by_checkpoint))

    def add_stop(self, effect: StopGang) -> None:
        """Add the effect that stops a gang; its resources count as free after stops."""
        self.stopped[effect.job_id] = effect
        self.effects.append(effect)
        self.release_after_stop(effect.job_id)

    def release_after_stop(self, job_id: str) -> None:
        """Count the resources of a job as free after stops."""
        for report in self.view.leases.list_by_job(job_id):
            self.occ_after_stops.release_lease(report.lease)

    def record_wait(self, job: Job, *lines: str) -> None:
        """Record why a job waits."""
        self.effects.append(RecordWaitReasons(job.job_id, lines))

    def describe_jobs(self, job_ids: tuple[str, ...]) -> str:
        """Return up to 8 job ids with their organisations, the largest jobs first."""
        jobs = [self.view.jobs[j].job for j in job_ids if j in self.view.jobs]
        jobs.sort(key=lambda j: (-job_weight(j), j.job_id))
        shown = ", ".join(f"{j.job_id} of {j.organisation}" for j in jobs[:8])
        return f"{shown} and {len(jobs) - 8} more" if len(jobs) > 8 else shown


def make_start_effect(record: JobRecord, slots: tuple[Slot, ...]) -> StartGang:
    """Return the effect that starts a gang.

    The lease ids consist of job, attempt and gang member, so they are the same each
    time that the effect is computed.
    """
    job, attempt = record.job, record.attempt + 1
    leases = tuple(
        TaskLease(
            f"{job.job_id}/{attempt}/{member}",
            job.job_id,
            attempt,
            member,
            worker,
            first,
            job.shape.accelerators,
            job.shape.cores,
            job.shape.memory_gb,
        )
        for member, (worker, first) in enumerate(slots)
    )
    return StartGang(job.job_id, attempt, leases)
