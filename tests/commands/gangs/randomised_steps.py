"""Steps for the long simulation that checks the invariants of gang scheduling."""

from dataclasses import replace
from random import Random

from behave import then, when
from behave.runner import Context

from bench.gangs.simulation import Simulation
from bench.gangs.sizes import SALTWAY
from geraniumwell.commands.gangs.guarantees import (
    Infeasible,
    check_guarantees,
    local_guarantees,
)
from geraniumwell.commands.gangs.policy import Policy
from geraniumwell.commands.gangs.reclaim import (
    build_reclaimable,
    count_claims,
    usable_workers,
)
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.job import JobState

LOSS_PROBABILITY = 0.01


def count_missing(view: GangView, now: float) -> int:
    """Return how many guaranteed copies can't be reclaimed."""
    workers = usable_workers(view, now)
    guarantees = local_guarantees(view)
    claimed = count_claims(view, guarantees)
    occ = build_reclaimable(view, workers)
    match check_guarantees(workers, guarantees, claimed, occ):
        case Infeasible(missing=missing):
            return len(missing)
    return 0


def find_violations(view: GangView) -> list[str]:
    """Return what is leased twice, overcommitted or partly placed."""
    found: list[str] = []
    for worker in view.cfg.workers.values():
        leases = [r.lease for r in view.leases.list_by_worker(worker.name)]
        taken = [
            lease.first_accelerator + i
            for lease in leases
            for i in range(lease.accelerators)
        ]
        if len(taken) != len(set(taken)):
            found.append(f"accelerator of {worker.name} leased twice")
        if sum(lease.cores for lease in leases) > worker.cores:
            found.append(f"cores of {worker.name} exceeded")
        if sum(lease.memory_gb for lease in leases) > worker.memory_gb:
            found.append(f"memory of {worker.name} exceeded")
    for job_id, record in view.jobs.items():
        held = len(view.leases.list_by_job(job_id))
        if held not in (0, record.job.shape.members):
            found.append(f"{job_id} holds {held} leases")
        if record.state is JobState.NOT_RUN and record.attempt:
            found.append(f"{job_id} ran but is recorded as not run")
    return found


@when("a trace of {hours:d} hours runs with seed {seed:d} and random worker losses")
def step_run(context: Context, hours: int, seed: int) -> None:
    rng = Random(seed)
    size = replace(SALTWAY, hours=float(hours))
    sim = Simulation(size, seed, Policy())
    workers = sim.workers
    context.violations = []
    context.unfinished = 0
    while workers.events:
        lost = rng.random() < LOSS_PROBABILITY
        if lost:
            workers.lose_worker(rng.choice(sorted(workers.cfg.workers)))
        elif rng.random() < 0.1 and workers.unreachable:
            workers.unreachable = frozenset()
        missing = count_missing(workers.view(), sim.now)
        sim.step()
        context.violations += find_violations(workers.view())
        # Only a lost or stopped worker may make a guarantee unreclaimable.
        stopping = any(
            s.starts_at <= sim.now < s.ends_at for s in workers.cfg.stops.values()
        )
        if not stopping and count_missing(workers.view(), sim.now) > missing:
            context.violations.append(f"guarantees not reclaimable at {sim.now}")
    sim.collect()
    context.result = sim.result


@then("no invariant was violated")
def step_no_violation(context: Context) -> None:
    assert not context.violations, context.violations[:5]


@then("every accepted job ended")
def step_ended(context: Context) -> None:
    assert context.result.unfinished == 0, context.result.unfinished
    assert context.result.completions
