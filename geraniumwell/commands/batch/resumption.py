"""Keeps capacity for gangs that had to stop and will start again.

Load: wide gangs on a busy fleet whose workers come and go. When one member fails or its
worker leaves, all members stop, and their ends arrive one by one. Independent tasks
would take each freed worker at once, and the gang would wait until the load falls.
"""

from collections import Counter

from geraniumwell.commands.batch.capacity import (
    count_fitting,
    find_reserved_resources,
)
from geraniumwell.commands.batch.indexing import allocate
from geraniumwell.model.batch.capacity import Pool
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.unit import Unit

# Time for which the capacity of a stopped gang is kept. Members may take 0.8 s to end
# by themselves, a stop up to 0.9 s, and each of two planning rounds up to 0.25 s.
KEEP_SECONDS = 2.5


def is_resuming(unit: Unit, now: float) -> bool:
    """Return whether the capacity of a stopped gang is still kept for it."""
    return bool(unit.former_workers) and now < unit.resumed_since + KEEP_SECONDS


def keep_former_workers(cluster: Cluster, pool: Pool, unit: Unit) -> None:
    """Keep other work off the capacity that a stopped gang had used."""
    needs = find_reserved_resources(unit.spec)
    for name, count in Counter(unit.former_workers).items():
        capacity = pool.capacities.get(name)
        if capacity is None:
            continue
        fitting = count_fitting(capacity.free, needs, count)
        if fitting:
            allocate(cluster, capacity, unit, fitting)
