"""Constants shared by the whole package."""

from typing import Final

ATTR_ATTEMPT_ID: Final = "Attempt-Id"
ATTR_CLASS: Final = "Geraniumwell-Class"
ATTR_CODE: Final = "Geraniumwell-Code"
ATTR_COMMAND_ID: Final = "Geraniumwell-Command-Id"
ATTR_ENDPOINT_STATE: Final = "Endpoint-State"
ATTR_NOT_RUN: Final = "Not-Run"
ATTR_OUTCOME: Final = "Geraniumwell-Outcome"
ATTR_REQUEST_ID: Final = "Geraniumwell-Request-Id"
ATTR_TIMEOUT_MS: Final = "Geraniumwell-Timeout-Ms"

MAX_PORT: Final = 65_535

# Longer responses of endpoints are rejected, because a response must fit in memory.
RESPONSE_LIMIT_BYTES: Final = 16_777_216

DEFAULT_BODY_LIMIT_BYTES: Final = 1_048_576
DEFAULT_CONNECTION_LIMIT: Final = 256
DEFAULT_MEMORY_MB: Final = 512
DEFAULT_DESCRIPTORS: Final = 4_096
# Well above the time in which a caller with a slow link sends a body of 1 MiB.
DEFAULT_REQUEST_SECONDS: Final = 60.0
DEFAULT_REQUEST_TIMEOUT_MS: Final = 10_000
# A request whose ticket is presented just before it expires must end before the issuer
# forgets the ticket.
REQUEST_TIMEOUT_LIMIT_MS: Final = 240_000
REQUEST_ID_LIMIT_CHARS: Final = 200

# With a heartbeat every second a lease survives two lost heartbeats.
HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
MEMBER_LEASE_SECONDS: Final = 4.0
# Observers wait longer than the lease lasts for its holder, so that the holder stops
# first even if both measure from the same heartbeat.
MEMBER_EXPIRY_SECONDS: Final = 5.0

# An endpoint reported as leaving must get no new work after this time.
LEAVING_GRACE_SECONDS: Final = 3.0

# Retries may add at most this ratio of the load, so that they don't amplify an outage.
RETRY_BUDGET_RATIO: Final = 0.1

TASK_LEASE_SECONDS: Final = 30.0
TASK_RENEWAL_SECONDS: Final = 10.0
# Renewals also report ended tasks, so workers are called before renewals are due.
TASK_CHECK_SECONDS: Final = 5.0
# Unanswered steps of a start are retried four times a second, to meet the claim bound.
TASK_REPEAT_SECONDS: Final = 0.25
# A call that was queued longer, behind an unanswered one, is dropped instead of sent.
TASK_CALL_SECONDS: Final = 3.0
# A task lease reserved for a gang that never starts is released after this time.
TASK_RESERVATION_SECONDS: Final = 5.0
CLAIM_BOUND_SECONDS: Final = 3.0
# The remainder of CLAIM_BOUND_SECONDS is left to reserve and start the gang.
RECLAIM_BOUND_SECONDS: Final = 2.0

TICKET_LIFETIME_SECONDS: Final = 600.0
TICKET_BATCH_LIMIT: Final = 1000
# The issuer remembers used tickets longer than any of them can be presented.
TICKET_RETENTION_SECONDS: Final = 900.0
# A used ticket takes 213 bytes if issued alone and 86 in a batch of 100, so all tickets
# of the last 900 s take 43 MB at most.
TICKET_COUNT_LIMIT: Final = 200_000
OUTCOME_COPY_LIMIT: Final = 50_000
# Outcomes are collected this long, so that one message carries many of them.
COPY_DELAY_SECONDS: Final = 0.2
COPY_BATCH_LIMIT: Final = 500
COPY_BACKLOG_LIMIT: Final = 5_000
PEER_CALL_SECONDS: Final = 1.0
# Peers are asked for their loads only while requests wait, at most this often. This is
# short compared with load swings of 2 s; permanent polling cost 2% of a core when idle.
LOAD_INTERVAL_SECONDS: Final = 0.25
LOAD_CALL_SECONDS: Final = 0.5

# Time for load balancers to see that a stopping daemon is not ready.
STOP_NOTICE_SECONDS: Final = 2.0
# Longer than any request may last.
STOP_LIMIT_SECONDS: Final = 300.0
# An endpoint gets no new work this long before its planned stop, so that most
# requests in flight, even slow ones, end before the stop.
PLANNED_STOP_LEAD_SECONDS: Final = 60.0

CONFIG_SNAPSHOT_INTERVAL: Final = 64
# A command repeated after more changes than this is not recognised as a repeat.
CONFIG_RECENT_COMMANDS: Final = 256
# After this time an operator is told that the effect of a change is unknown.
CONFIG_SUBMIT_SECONDS: Final = 8.0

STATEMENT_PEER_SECONDS: Final = 3.0
STATEMENT_SECONDS: Final = 10.0

# Tables and keys of the batch service in the platform's store.
TABLE_CONTROL: Final = "gw-control"
TABLE_DAEMONS: Final = "gw-daemons"
TABLE_JOBS: Final = "gw-jobs"
TABLE_PROGRESS: Final = "gw-progress"
LEADER_KEY: Final = "leader"
INTERFERENCE_KEY: Final = "interference"
# The store runs the transactions of a partition one after another. The schedule has its
# own partition and jobs are spread over many, so that a slow store can absorb a burst.
PARTITION_DAEMONS: Final = "daemons"
PARTITION_SCHEDULE: Final = "schedule"
JOB_PARTITIONS: Final = tuple(f"jobs-{number:02}" for number in range(16))
