"""Metrics of the batch service.

Label values come from bounded sets only, so the number of series is bounded too.
"""

from prometheus_client import Counter, Gauge, Histogram

CALLS = Counter(
    "geraniumwell_batch_calls",
    "Calls of callers by operation and outcome.",
    ("operation", "outcome"),
)
CALL_SECONDS = Histogram(
    "geraniumwell_batch_call_seconds",
    "Time of a caller's call, by operation.",
    ("operation",),
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0),
)
ORDERS = Counter(
    "geraniumwell_batch_orders",
    "Orders to workers by kind and result.",
    ("kind", "result"),
)
LATE_POLLS = Counter(
    "geraniumwell_batch_late_looks",
    "Looks that extended no lease, because the claim ran out before they were sent.",
)
STOPS = Counter(
    "geraniumwell_batch_stops",
    "Stop orders to workers, repeated ones included, by reason.",
    ("reason",),
)
SLOW_WORKERS = Gauge(
    "geraniumwell_batch_slow_workers",
    "Workers that are much slower than most others of their service.",
)
INTERFERING_PAIRS = Gauge(
    "geraniumwell_batch_interfering_pairs",
    "Pairs of kinds of tasks that are kept apart where capacity allows.",
)
PACES = Counter(
    "geraniumwell_batch_paces", "Pace orders to workers by direction.", ("direction",)
)
AVOIDED_WORKERS = Gauge(
    "geraniumwell_batch_avoided_workers",
    "Workers that get no new tasks after failures, refusals or stalls.",
)
RUN_ENDS = Counter("geraniumwell_batch_ends", "Ends of runs by kind.", ("kind",))
PLAN_SECONDS = Histogram(
    "geraniumwell_batch_plan_seconds",
    "Time of a round of planning.",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5),
)
WAITING_JOBS = Gauge("geraniumwell_batch_jobs_waiting", "Jobs that have not begun.")
PLACED_TASKS = Gauge("geraniumwell_batch_tasks_placed", "Tasks that hold a place.")
CLAIMS = Counter(
    "geraniumwell_batch_claims", "Claims of the schedule, by result.", ("result",)
)
IS_SCHEDULING = Gauge(
    "geraniumwell_batch_is_scheduling", "1 while this daemon schedules, else 0."
)
RELAYED_CALLS = Counter(
    "geraniumwell_batch_relayed_calls",
    "Calls to the store by way of another daemon, by method and result.",
    ("method", "result"),
)
KNOWN_PEERS = Gauge("geraniumwell_batch_peers", "Other daemons that are known.")
EVACUATED_DATA_CENTRES = Gauge(
    "geraniumwell_batch_evacuated_data_centres",
    "Data centres that get no new work at the operator's wish.",
)
ENDED_JOBS = Counter(
    "geraniumwell_batch_jobs", "Jobs that ended, by state.", ("state",)
)
JOB_SECONDS = Histogram(
    "geraniumwell_batch_job_seconds",
    "Time from acceptance to the end of a job, by the priority of its queue.",
    ("priority",),
    buckets=(0.5, 1, 2, 4, 8, 16, 32, 64, 128, 512),
)
MESSAGE_FAILURES = Counter(
    "geraniumwell_batch_message_failures",
    "Messages that ended in an unexpected error, by actor.",
    ("actor",),
)
JOB_REMOVALS = Counter(
    "geraniumwell_batch_job_removals",
    "Removals of the rows of ended jobs, by result.",
    ("result",),
)
UNREADABLE_ROWS = Counter(
    "geraniumwell_batch_rows_unreadable",
    "Rows of other writers that were left out, by what they should hold.",
    ("kind",),
)
WORKER_CONNECTIONS = Gauge(
    "geraniumwell_batch_worker_connections", "Open connections to workers."
)
