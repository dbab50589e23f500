"""Task leases of workers: deadlines on their clocks, and upper bounds on ours."""

from geraniumwell.model.batch.cluster import BatchPolicy, Cluster
from geraniumwell.model.batch.worker import Worker

# Workers' clocks may run up to 2% slow on the platform.
SLOWEST_CLOCK_RATE = 0.98
# Leases are shorter than the platform's limit by this time, which the call may take.
LEASE_MARGIN_SECONDS = 0.5
# Allowance for timers that fire late on the worker.
EXPIRY_SLACK_SECONDS = 0.3


def estimate_clock_ms(worker: Worker, now: float) -> int:
    """Return a worker's estimated clock at time ``now``, from its last report."""
    return worker.clock_ms + int((now - worker.clock_at) * 1000)


def extend_lease(worker: Worker, policy: BatchPolicy, now: float) -> int:
    """Return a new deadline on the worker's clock, and record its upper bound on ours.

    The bound counts from sending the call, because a call may take effect although no
    response arrives. It assumes the longest lease that the worker grants: after its
    clock has restarted, any deadline on the old clock is too late.
    """
    lease = policy.lease_limit - LEASE_MARGIN_SECONDS
    worker.lease_until = max(worker.lease_until, find_lease_bound(policy, now))
    return estimate_clock_ms(worker, now) + int(lease * 1000)


def find_lease_bound(policy: BatchPolicy, now: float) -> float:
    """Return the latest time at which a lease that is granted by now expires."""
    return now + policy.lease_limit / SLOWEST_CLOCK_RATE + EXPIRY_SLACK_SECONDS


def find_expired_workers(cluster: Cluster, now: float) -> list[Worker]:
    """Return the workers with tasks whose leases must all have expired."""
    return [
        worker
        for worker in cluster.workers.values()
        if worker.tasks and now >= worker.lease_until
    ]
