"""Leases of workers: deadlines on their clocks and bounds on ours."""

from geraniumwell.model.batch.cluster import BatchPolicy, Cluster
from geraniumwell.model.batch.worker import Worker

# The platform lets a worker's clock run up to 2% slow.
SLOWEST_CLOCK_RATE = 0.98
# Below the limit of the platform, so that the bound covers the time of the call.
LEASE_MARGIN_SECONDS = 0.5
# Allows for timers that fire late on the worker.
LAPSE_SLACK_SECONDS = 0.3


def estimate_clock_ms(worker: Worker, now: float) -> int:
    """Return a worker's clock at time ``now``, by its last answer."""
    return worker.clock_ms + int((now - worker.clock_at) * 1000)


def extend_lease(worker: Worker, policy: BatchPolicy, now: float) -> int:
    """Return a deadline on the worker's clock and note until when it may last.

    The bound counts from the moment of sending, because a call may take effect
    although no answer comes. It is that of the longest lease that the worker grants,
    because after a new start of its clock every deadline by the old one is too late.
    """
    lease = policy.lease_limit - LEASE_MARGIN_SECONDS
    worker.lease_until = max(worker.lease_until, bound_unknown_lease(policy, now))
    return estimate_clock_ms(worker, now) + int(lease * 1000)


def bound_unknown_lease(policy: BatchPolicy, now: float) -> float:
    """Return when a lease that was granted until now has surely lapsed."""
    return now + policy.lease_limit / SLOWEST_CLOCK_RATE + LAPSE_SLACK_SECONDS


def find_lapsed(cluster: Cluster, now: float) -> list[Worker]:
    """Return the workers whose tasks have all lapsed."""
    return [
        worker
        for worker in cluster.workers.values()
        if worker.tasks and now >= worker.lease_until
    ]
