"""Tentative state of one plan: what is free now, and what will be soon."""

from geraniumwell.commands.gangs.estimates import job_weight
from geraniumwell.commands.gangs.guard import GuaranteeGuard
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot, intersect
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.policy import (
    IgnoreGuarantees,
    KeepReclaimable,
    Policy,
)
from geraniumwell.commands.gangs.reclaim import is_reclaimable, usable_workers
from geraniumwell.commands.gangs.stops import find_stopping, list_stops
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
    """Effects so far and the resources that they leave.

    ``occ`` is what is free now; ``soon`` also counts what is being stopped. Slots
    held for a job that waits for a stop are taken from both.
    """

    __slots__ = (
        "_guard",
        "effects",
        "now",
        "occ",
        "policy",
        "soon",
        "started",
        "stopped",
        "stops",
        "used",
        "view",
        "workers",
    )

    def __init__(self, view: GangView, policy: Policy, now: float) -> None:
        self.view = view
        self.policy = policy
        self.now = now
        self.workers = usable_workers(view, now)
        self.stops = list_stops(view, now)
        self.occ = Occupancy(self.workers, view.leases)
        self.soon = self.occ.copy()
        self.effects: list[GangPlanEffect] = []
        self.started: list[StartGang] = []
        self.stopped: dict[str, StopGang] = {}
        self.used: dict[str, int] = {}
        self._guard: GuaranteeGuard | None = None
        for job_id in view.leases.job_ids():
            record = view.jobs.get(job_id)
            if record is None:
                continue
            if record.state is JobState.STOPPING:
                self.release_soon(job_id)
            elif not record.job.guaranteed:
                self.charge_quota(record.job)

    @property
    def guard(self) -> GuaranteeGuard:
        """Return the guard of the guarantees, built when first needed."""
        if self._guard is None:
            self._guard = GuaranteeGuard(self.view, self.workers, self.now)
        return self._guard

    @property
    def has_guard(self) -> bool:
        """Return whether this plan needed the guard."""
        return self._guard is not None

    def charge_quota(self, job: Job) -> None:
        """Count the accelerators of a job against its organisation's quota."""
        count = job.shape.members * job.shape.accelerators
        self.used[job.organisation] = self.used.get(job.organisation, 0) + count

    def find_quota_block(self, job: Job) -> str | None:
        """Return why the quota keeps a job from starting now."""
        organisation = self.view.cfg.organisations.get(job.organisation)
        quota = organisation.quota_accelerators if organisation else None
        if quota is None or job.guaranteed:
            return None
        wanted = job.shape.members * job.shape.accelerators
        used = self.used.get(job.organisation, 0)
        if used + wanted <= quota:
            return None
        return (
            f"{job.organisation} uses {used} of its quota of {quota} accelerators "
            f"and the job needs {wanted}"
        )

    def avoid_for(self, record: JobRecord) -> frozenset[str]:
        """Return the workers where a job failed or would meet a planned stop."""
        failed = self.view.health.failed_workers.get(record.job.job_id)
        stopping = find_stopping(record, self.stops, self.now)
        return failed | stopping if failed else stopping

    def find_slots(self, record: JobRecord, occ: Occupancy) -> tuple[Slot, ...] | None:
        """Return a place in ``occ`` that the guarantees allow a job that is no claim.

        When they forbid the first choice, the place is sought beside what the guard
        keeps for the guarantees.
        """
        job = record.job
        avoid = self.avoid_for(record)
        packing = self.policy.packing
        slots = place_gang(occ, job.shape, packing, avoid)
        if slots is None or self.allows(job, slots):
            return slots
        beside = intersect(occ, self.guard.spare)
        slots = place_gang(beside, job.shape, packing, avoid)
        return slots if slots is not None and self.allows(job, slots) else None

    def allows(self, job: Job, slots: tuple[Slot, ...]) -> bool:
        """Return whether the guarantees allow a job that is no claim on slots."""
        if isinstance(self.policy.guard, IgnoreGuarantees) or is_reclaimable(job):
            return True
        return self.guard.allows(job, slots)

    def start(self, record: JobRecord, slots: tuple[Slot, ...]) -> None:
        """Start a gang on slots that are free now."""
        effect = make_start(record, slots)
        self.effects.append(effect)
        self.started.append(effect)
        self.hold(record, slots)

    def hold(self, record: JobRecord, slots: tuple[Slot, ...]) -> None:
        """Take slots for a job, which starts now or as soon as they are free."""
        job = record.job
        self.occ.take(job.shape, slots)
        self.soon.take(job.shape, slots)
        if not job.guaranteed:
            self.charge_quota(job)
        keeps = isinstance(self.policy.guard, KeepReclaimable)
        if keeps and not is_reclaimable(job):
            self.guard.commit(job, slots)

    def stop(self, job_id: str, reason: str) -> None:
        """Stop a running gang and count its resources as free soon."""
        if job_id in self.stopped:
            return
        job = self.view.jobs[job_id].job
        by_checkpoint = isinstance(job.interruption, Checkpointable)
        self.add_stop(StopGang(job_id, reason, by_checkpoint))

    def add_stop(self, effect: StopGang) -> None:
        """Add the stop of a gang and count its resources as free soon."""
        self.stopped[effect.job_id] = effect
        self.effects.append(effect)
        self.release_soon(effect.job_id)

    def release_soon(self, job_id: str) -> None:
        """Count the leases of a job as free soon."""
        for report in self.view.leases.of_job(job_id):
            self.soon.give_lease(report.lease)

    def wait(self, job: Job, *lines: str) -> None:
        """Record why a job waits."""
        self.effects.append(RecordWaitReasons(job.job_id, lines))

    def describe_jobs(self, job_ids: tuple[str, ...]) -> str:
        """Return job names with their organisations, the largest first."""
        jobs = [self.view.jobs[j].job for j in job_ids if j in self.view.jobs]
        jobs.sort(key=lambda j: (-job_weight(j), j.job_id))
        shown = ", ".join(f"{j.job_id} of {j.organisation}" for j in jobs[:8])
        return f"{shown} and {len(jobs) - 8} more" if len(jobs) > 8 else shown


def make_start(record: JobRecord, slots: tuple[Slot, ...]) -> StartGang:
    """Return the start of a gang; its lease ids follow from job and attempt."""
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
