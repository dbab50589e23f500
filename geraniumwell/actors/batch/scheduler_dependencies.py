"""What a scheduler needs of its surroundings."""

from collections.abc import Callable
from dataclasses import dataclass

from pykka import ActorRef

from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import TableClient, TablePartition
from geraniumwell.const import (
    JOB_PARTITIONS,
    PARTITION_SCHEDULE,
    TABLE_JOBS,
    TABLE_PROGRESS,
)
from geraniumwell.model.batch.cluster import BatchPolicy
from geraniumwell.model.batch.worker import WorkerEntry


@dataclass(slots=True, frozen=True)
class SchedulerDependencies:
    """Policy, timer, and how clients are started and entries decoded.

    Parameters
    ----------
    start_connection_pool : callable
        Starts the actor that carries out calls to workers; takes the epoch and its
        owner.
    registry : str
        Table of the store in which workers register themselves.
    decode_entry : callable
        Returns the worker that a row of the registry names; raises CodecError.
    """

    policy: BatchPolicy
    ticker: Ticker
    make_store: Callable[[], TableClient]
    start_connection_pool: Callable[[int, ActorRef], ActorRef]
    registry: str
    decode_entry: Callable[[str, bytes], WorkerEntry]


def list_startup_tables(registry: str) -> tuple[TablePartition, ...]:
    """Return all that a new scheduler reads before it plans."""
    jobs = tuple(TablePartition(TABLE_JOBS, part) for part in JOB_PARTITIONS)
    return (
        TablePartition(TABLE_PROGRESS, PARTITION_SCHEDULE),
        TablePartition(registry, ""),
        *jobs,
    )
