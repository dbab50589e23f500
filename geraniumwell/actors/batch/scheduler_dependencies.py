"""Dependencies of a scheduler."""

from collections.abc import Callable
from dataclasses import dataclass

from pykka import ActorRef

from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import TableClient, TablePartition
from geraniumwell.const import (
    JOB_PARTITIONS,
    PARTITION_SCHEDULE,
    TABLE_CONTROL,
    TABLE_JOBS,
    TABLE_PROGRESS,
)
from geraniumwell.model.batch.cluster import BatchPolicy
from geraniumwell.model.batch.worker import WorkerEntry


@dataclass(slots=True, frozen=True)
class SchedulerDependencies:
    """Policy, timer and factories that a scheduler needs.

    Parameters
    ----------
    start_connection_pool : callable
        Starts the actor that makes the calls to workers; takes the epoch and the
        owner.
    registry : str
        Table of the store in which workers register themselves.
    decode_entry : callable
        Decodes a row of the worker registry; raises CodecError.
    """

    policy: BatchPolicy
    ticker: Ticker
    make_store: Callable[[], TableClient]
    start_connection_pool: Callable[[int, ActorRef], ActorRef]
    registry: str
    decode_entry: Callable[[str, bytes], WorkerEntry]


def list_startup_tables(registry: str) -> tuple[TablePartition, ...]:
    """Return the table partitions that a new scheduler loads before it plans."""
    jobs = tuple(TablePartition(TABLE_JOBS, partition) for partition in JOB_PARTITIONS)
    return (
        TablePartition(TABLE_PROGRESS, PARTITION_SCHEDULE),
        TablePartition(TABLE_CONTROL, PARTITION_SCHEDULE),
        TablePartition(registry, ""),
        *jobs,
    )
