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

# A longer answer of an endpoint is not taken, because it has to fit in memory.
ANSWER_LIMIT_BYTES: Final = 16_777_216

DEFAULT_BODY_LIMIT_BYTES: Final = 1_048_576
DEFAULT_CONNECTION_LIMIT: Final = 256
DEFAULT_REQUEST_TIMEOUT_MS: Final = 10_000
# A ticket presented at the end of its life must end before its issuer forgets it.
REQUEST_TIMEOUT_LIMIT_MS: Final = 240_000
REQUEST_ID_LIMIT_CHARS: Final = 200

# A heartbeat every second keeps a lease through two lost heartbeats.
HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
MEMBER_LEASE_SECONDS: Final = 4.0
# The observer waits longer than the holder, so the holder stops first even when
# both measure from the same heartbeat.
MEMBER_LAPSE_SECONDS: Final = 5.0

# An endpoint known as leaving must get no new work after this time.
LEAVING_GRACE_SECONDS: Final = 3.0

# Retries may add at most this share to the load, so an outage is not amplified.
RETRY_BUDGET_RATIO: Final = 0.1

TASK_LEASE_SECONDS: Final = 30.0
TASK_RENEWAL_SECONDS: Final = 10.0
# Ended tasks are learned from the answers to renewals, so checks come more often.
TASK_CHECK_SECONDS: Final = 5.0
# Repeats unanswered steps of a start four times a second within the claim bound.
TASK_REPEAT_SECONDS: Final = 0.25
# A call that waited longer behind a silent one is dropped instead of sent.
TASK_CALL_SECONDS: Final = 3.0
# A lease reserved for a gang that never starts is released after this time.
TASK_RESERVATION_SECONDS: Final = 5.0
CLAIM_BOUND_SECONDS: Final = 3.0
# The rest of the claim bound is left for reserving and starting the gang.
RECLAIM_BOUND_SECONDS: Final = 2.0

TICKET_LIFETIME_SECONDS: Final = 600.0
TICKET_BATCH_LIMIT: Final = 1000
# The issuer remembers used tickets longer than any of them can be presented.
TICKET_RETENTION_SECONDS: Final = 900.0
# A used ticket that was issued alone takes 213 bytes, one of a batch of 100 takes 86,
# so all tickets of the last 900 s take 43 MB at most.
TICKET_COUNT_LIMIT: Final = 200_000
OUTCOME_COPY_LIMIT: Final = 50_000
# Outcomes wait this long, so that one message carries many of them.
COPY_DELAY_SECONDS: Final = 0.2
COPY_BATCH_LIMIT: Final = 500
COPY_BACKLOG_LIMIT: Final = 5_000
PEER_CALL_SECONDS: Final = 1.0
# Peers are asked for their loads only while requests wait, at most this often. It is
# short against a swing of 2 s, and asking all the time cost 2% of a core when idle.
LOAD_INTERVAL_SECONDS: Final = 0.25
LOAD_CALL_SECONDS: Final = 0.5

# Time in which the balancer sees that a stopping daemon is not ready.
STOP_NOTICE_SECONDS: Final = 2.0
# Longer than any request may last.
STOP_LIMIT_SECONDS: Final = 300.0
# An endpoint gets no new work this long before its planned stop, so that most
# requests in flight, stragglers included, end before the stop.
PLANNED_STOP_LEAD_SECONDS: Final = 60.0

CONFIG_SNAPSHOT_INTERVAL: Final = 64
# A command repeated later than this many changes would no longer be recognised.
CONFIG_RECENT_COMMANDS: Final = 256
# Beyond this time an operator is told that the effect of a change is unknown.
CONFIG_SUBMIT_SECONDS: Final = 8.0

STATEMENT_PEER_SECONDS: Final = 3.0
STATEMENT_SECONDS: Final = 10.0

# Tables and keys of the batch service in the platform's store.
TABLE_CONTROL: Final = "gw-control"
TABLE_DAEMONS: Final = "gw-daemons"
TABLE_JOBS: Final = "gw-jobs"
TABLE_PROGRESS: Final = "gw-progress"
LEADER_KEY: Final = "leader"
# A part of the store carries its transactions out one after another. The schedule has
# a part of its own, and jobs are spread, so that a slow store still takes a burst.
PARTITION_DAEMONS: Final = "daemons"
PARTITION_SCHEDULE: Final = "schedule"
JOB_PARTITIONS: Final = tuple(f"jobs-{number:02}" for number in range(16))
