"""Time of one decision with 640 accelerators and 10,000 tasks, on one core."""

from dataclasses import replace

from bench.gangs.figures import percentile
from bench.gangs.simulation import Simulation
from bench.gangs.sizes import TWO_YEARS
from geraniumwell.commands.gangs.policy import Policy

MIN_RUNNING_TASKS = 9_000
FILLER_GANGS = 155
SEEDS = 2


def format_decision_times() -> list[str]:
    """Return a line on the decisions that were made with enough tasks running."""
    times: list[float] = []
    peak_tasks = 0
    size = replace(TWO_YEARS, filler_gangs=FILLER_GANGS, hours=2.0)
    for seed in range(SEEDS):
        sim = Simulation(size, 1000 + seed, Policy())
        workers = sim.workers
        while workers.events and sim.now < sim.end:
            sim.step()
            if len(workers.leases) >= MIN_RUNNING_TASKS:
                times.append(sim.result.decision_seconds[-1])
        peak_tasks = max(peak_tasks, sim.result.peak_tasks)
    p50, p99, longest = (percentile(times, s) * 1000 for s in (0.5, 0.99, 1.0))
    return [
        "decisions alone, 540 workers, 640 accelerators, "
        f"{MIN_RUNNING_TASKS}-{peak_tasks} tasks: p50 {p50:.1f} ms, p99 {p99:.1f} ms, "
        f"max {longest:.1f} ms, {len(times)} decisions"
    ]
