"""The feeds of the tables that a scheduler follows."""

from pykka import ActorRef

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.batch.table_feed import TableFeed
from geraniumwell.const import JOB_PARTITIONS, TABLE_JOBS
from geraniumwell.messages.batch import WatchTable

# A connection that has gone silent shows only after this time.
FEED_WAIT_SECONDS = 0.8
# New jobs that come closer together are read in one call.
FEED_GAP_SECONDS = 0.02
# Each worker writes its entry every second or so; a leaving one may get tasks for some
# two seconds more.
REGISTRY_GAP_SECONDS = 0.25


def start_feeds(
    parts: SchedulerDependencies, owner: ActorRef, jobs_after: int, registry_after: int
) -> list[ActorRef]:
    """Follow the tables of jobs and of workers from their versions on."""
    feeds: list[ActorRef] = []
    for table, gap, table_parts, after in (
        (TABLE_JOBS, FEED_GAP_SECONDS, JOB_PARTITIONS, jobs_after),
        (parts.registry, REGISTRY_GAP_SECONDS, ("",), registry_after),
    ):
        feed = TableFeed.start(
            parts.make_store(),
            table,
            owner,
            parts.ticker,
            FEED_WAIT_SECONDS,
            gap,
            table_parts,
        )
        tell(feed, WatchTable(after))
        feeds.append(feed)
    return feeds
