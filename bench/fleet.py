"""Simulated workers on virtual time, shared by the planning benchmarks."""

from math import inf

from geraniumwell.commands.batch.answers import apply_start_answer
from geraniumwell.commands.batch.ends import apply_report
from geraniumwell.commands.batch.lifecycle import find_task
from geraniumwell.commands.batch.registry import apply_entry
from geraniumwell.model.batch.cluster import Cluster, StartTask
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.worker import StartResult, WorkerEntry, WorkerReport

# Wall time at the virtual time 0.
WALL_OFFSET_SECONDS = 1_000_000.0
SERVICE = "pool"


def add_workers(
    cluster: Cluster,
    count: int,
    capacity: Resources,
    workers_per_rack: int,
    data_centres: int = 1,
) -> list[str]:
    """Add idle workers that have answered a poll; return their names."""
    names: list[str] = []
    for number in range(count):
        rack_number = number // workers_per_rack
        name, rack = f"w{number:04}", f"r{rack_number}"
        data_centre = f"dc{rack_number % data_centres}"
        labels = frozenset({"kind", rack})
        entry = WorkerEntry(
            name,
            SERVICE,
            "127.0.0.1:1",
            data_centre,
            capacity.copy(),
            labels,
            rack,
            False,
            1,
        )
        apply_entry(cluster, entry, 0.0)
        report = WorkerReport(1000, (), (), 1)
        apply_report(
            cluster, cluster.workers[name], report, 0.0, 0.0, WALL_OFFSET_SECONDS
        )
        names.append(name)
    return names


def apply_started_run(cluster: Cluster, order: StartTask, now: float) -> None:
    """Record that a start was sent and succeeded at once."""
    task = find_task(cluster, order.id)
    assert task is not None
    task.is_start_sent = True
    # Polls renew leases; the benchmarks leave polls out.
    cluster.workers[order.worker].lease_until = inf
    apply_start_answer(cluster, order, StartResult.STARTED, now)
