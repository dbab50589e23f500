"""Choice of the running jobs to stop so that a gang fits and least work is lost."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from geraniumwell.commands.gangs.blocks import block_mask
from geraniumwell.commands.gangs.estimates import job_weight, lost_work
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot
from geraniumwell.model.gang_view import GangView, make_accelerator_mask
from geraniumwell.model.job import (
    Job,
    JobState,
    SameDataCentre,
    SameRack,
    SameWorker,
    Shape,
)
from geraniumwell.model.worker import TaskLease

# An urgent job is stopped for a guarantee claim only if other jobs would lose far more.
URGENT_COST_FACTOR = 10.0


@dataclass(slots=True, frozen=True)
class PreemptionChoice:
    """Slots that are free once the victims have stopped, and the work lost by that."""

    slots: tuple[Slot, ...]
    victims: tuple[str, ...]
    lost: float


@dataclass(slots=True, frozen=True)
class PreemptionOption:
    """One block on a worker, with the jobs to stop for it and their cost."""

    cost: float
    worker: str
    first: int
    victims: tuple[str, ...]


class PreemptionSearch:
    """Search for the running jobs that cost least to stop.

    The cost of a job is the work that it would lose, in accelerator seconds. A
    ``size_exponent`` above one lets the cost rise faster than the size of a job, so
    that several small jobs are preferred to one large job.
    """

    __slots__ = ("may_stop", "now", "size_exponent", "costs", "view")

    def __init__(
        self,
        view: GangView,
        now: float,
        may_stop: Callable[[Job], bool],
        size_exponent: float = 1.0,
    ) -> None:
        self.size_exponent = size_exponent
        self.view = view
        self.now = now
        self.may_stop = may_stop
        self.costs: dict[str, float | None] = {}

    def cost_of(self, job_id: str) -> float | None:
        """Return the cost of stopping a job, or ``None`` if it must not be stopped."""
        if job_id not in self.costs:
            self.costs[job_id] = self.compute_cost(job_id)
        return self.costs[job_id]

    def compute_cost(self, job_id: str) -> float | None:
        """Compute the cost of stopping a job, which ``cost_of`` caches."""
        record = self.view.jobs.get(job_id)
        if record is None:
            return None
        if record.state not in (JobState.RUNNING, JobState.STARTING):
            return None
        if not self.may_stop(record.job):
            return None
        lost = lost_work(self.view, record.job, self.now)
        lost *= job_weight(record.job) ** (self.size_exponent - 1.0)
        return lost * URGENT_COST_FACTOR if record.job.urgent else lost

    def find(
        self, occ: Occupancy, shape: Shape, avoid: frozenset[str]
    ) -> PreemptionChoice | None:
        """Return the cheapest preemption that frees slots for all gang members.

        ``occ`` must already count the resources of stopping jobs as free.
        """
        names = [n for n in occ.masks if n not in avoid]
        if shape.accelerators:
            names = [n for n in names if occ.workers[n].accelerators]
        found = self.list_groups(occ, shape, names)
        return min(found, key=lambda choice: choice.lost, default=None)

    def find_all(
        self, occ: Occupancy, shape: Shape, avoid: frozenset[str]
    ) -> list[PreemptionChoice]:
        """Return the cheapest preemption of each group of workers, sorted by cost."""
        names = [n for n, w in occ.workers.items() if w.accelerators and n not in avoid]
        return sorted(
            self.list_groups(occ, shape, names), key=lambda choice: choice.lost
        )

    def list_groups(
        self, occ: Occupancy, shape: Shape, names: list[str]
    ) -> list[PreemptionChoice]:
        """Return the cheapest preemption of each group that can hold a gang."""
        groups = self.group_workers(occ, shape, names)
        found = (self.choose_in_group(occ, shape, group) for group in groups)
        return [choice for choice in found if choice is not None]

    def group_workers(
        self, occ: Occupancy, shape: Shape, names: list[str]
    ) -> Iterable[list[str]]:
        """Return the groups of workers among which a gang may be spread."""
        match shape.spread:
            case SameWorker():
                return [[name] for name in names]
            case SameRack():
                racks: dict[str, list[str]] = {}
                for name in names:
                    racks.setdefault(occ.workers[name].rack, []).append(name)
                return racks.values()
            case SameDataCentre():
                return [names]

    def choose_in_group(
        self, occ: Occupancy, shape: Shape, group: list[str]
    ) -> PreemptionChoice | None:
        """Choose the cheapest option for each gang member in turn."""
        trial = occ.copy()
        victims: dict[str, float] = {}
        slots: list[Slot] = []
        options = {n: self.best_option(trial, shape, n, victims) for n in group}
        while len(slots) < shape.members:
            usable = [o for o in options.values() if o is not None]
            if not usable:
                return None
            best = min(usable, key=lambda o: (o.cost, o.worker, o.first))
            changed_workers = {best.worker}
            for job_id in best.victims:
                victims[job_id] = self.cost_of(job_id) or 0.0
                for report in self.view.leases.list_by_job(job_id):
                    trial.release_lease(report.lease)
                    changed_workers.add(report.lease.worker)
            slot = Slot((best.worker, best.first))
            trial.allocate(shape, (slot,))
            slots.append(slot)
            for name in changed_workers & options.keys():
                options[name] = self.best_option(trial, shape, name, victims)
        return PreemptionChoice(tuple(slots), tuple(victims), sum(victims.values()))

    def best_option(
        self, occ: Occupancy, shape: Shape, name: str, chosen: dict[str, float]
    ) -> PreemptionOption | None:
        """Return the cheapest option for one gang member on a worker."""
        preemptible: list[tuple[float, TaskLease]] = []
        for report in self.view.leases.list_by_worker(name):
            job_id = report.lease.job_id
            cost = None if job_id in chosen else self.cost_of(job_id)
            if cost is not None:
                preemptible.append((cost, report.lease))
        preemptible.sort(key=lambda pair: (pair[0], pair[1].lease_id))
        size = shape.accelerators
        starts = range(0, occ.workers[name].accelerators - size + 1, size or 1)
        options = [
            self.option_at(occ, shape, name, first, preemptible)
            for first in (starts if size else (0,))
        ]
        usable = [o for o in options if o is not None]
        return min(usable, key=lambda o: (o.cost, o.first), default=None)

    def option_at(
        self,
        occ: Occupancy,
        shape: Shape,
        name: str,
        first: int,
        preemptible: list[tuple[float, TaskLease]],
    ) -> PreemptionOption | None:
        """Return the option at one block, or ``None`` if it can't be freed."""
        bits = block_mask(first, shape.accelerators)
        mask, cores, memory = occ.masks[name], occ.cores[name], occ.memory[name]
        victims: dict[str, float] = {}
        for cost, lease in preemptible:
            if make_accelerator_mask(lease) & bits:
                victims[lease.job_id] = cost
        for _, lease in preemptible:
            if lease.job_id in victims:
                mask |= make_accelerator_mask(lease)
                cores += lease.cores
                memory += lease.memory_gb
        if mask & bits != bits:
            return None
        for cost, lease in preemptible:
            if cores >= shape.cores and memory >= shape.memory_gb:
                break
            if lease.job_id not in victims:
                victims[lease.job_id] = cost
                cores += lease.cores
                memory += lease.memory_gb
        if cores < shape.cores or memory < shape.memory_gb:
            return None
        return PreemptionOption(sum(victims.values()), name, first, tuple(victims))
