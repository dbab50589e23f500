"""Feeds of the tables that a scheduler watches."""

from pykka import ActorRef

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.batch.table_feed import TableFeed
from geraniumwell.const import JOB_PARTITIONS, TABLE_JOBS
from geraniumwell.messages.batch import WatchTable

# A dead connection is noticed only after this time.
FEED_WAIT_SECONDS = 0.8
# Jobs that are submitted within this time are read in one call.
FEED_GAP_SECONDS = 0.02
# Each worker writes its entry about once a second; a leaving worker may get tasks for
# about two more seconds.
REGISTRY_GAP_SECONDS = 0.25


def start_feeds(
    deps: SchedulerDependencies,
    owner: ActorRef,
    jobs_after: int,
    registry_after: int,
) -> list[ActorRef]:
    """Start the feeds of the job and worker tables from the given versions."""
    feeds: list[ActorRef] = []
    for table, gap, partitions, after in (
        (TABLE_JOBS, FEED_GAP_SECONDS, JOB_PARTITIONS, jobs_after),
        (deps.registry, REGISTRY_GAP_SECONDS, ("",), registry_after),
    ):
        feed = TableFeed.start(
            deps.make_store(),
            table,
            owner,
            deps.ticker,
            FEED_WAIT_SECONDS,
            gap,
            partitions,
        )
        tell(feed, WatchTable(after))
        feeds.append(feed)
    return feeds
