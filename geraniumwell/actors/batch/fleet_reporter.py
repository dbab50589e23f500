"""Reports the scheduler's view of the fleet in logs and metrics."""

from geraniumwell.helpers.batch_metrics import (
    AVOIDED_WORKERS,
    PLACED_TASKS,
    SLOW_WORKERS,
)
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.model.batch.cluster import Cluster


class FleetReporter:
    """Sets gauges, and logs each change of the slow and the avoided workers once."""

    __slots__ = ("_avoided_until", "_slow")

    def __init__(self) -> None:
        self._avoided_until: dict[str, float] = {}
        self._slow: dict[str, frozenset[str]] = {}

    def report(self, cluster: Cluster, now: float) -> None:
        """Report the current state; called about once a second."""
        PLACED_TASKS.set(sum(len(worker.tasks) for worker in cluster.workers.values()))
        self._report_slow(cluster)
        self._report_avoided(cluster, now)

    def _report_slow(self, cluster: Cluster) -> None:
        slow = {
            service: pool.slow_workers
            for service, pool in cluster.fleet.pools.items()
            if pool.slow_workers
        }
        SLOW_WORKERS.set(sum(map(len, slow.values())))
        for service in sorted(slow.keys() | self._slow.keys()):
            names = slow.get(service, frozenset())
            if names == self._slow.get(service, frozenset()):
                continue
            factor = cluster.fleet.pools[service].slow_factor
            EVENT_LOG.write(
                "slow_workers",
                service=service,
                count=len(names),
                factor=round(factor, 2),
                on=" ".join(sorted(names)),
            )
        self._slow = slow

    def _report_avoided(self, cluster: Cluster, now: float) -> None:
        avoided = {
            name: worker.avoid_until
            for name, worker in cluster.workers.items()
            if worker.avoid_until > now
        }
        AVOIDED_WORKERS.set(len(avoided))
        for name, until in sorted(avoided.items()):
            if self._avoided_until.get(name) == until:
                continue
            worker = cluster.workers[name]
            EVENT_LOG.write(
                "worker_avoided",
                worker=name,
                seconds=round(until - now, 1),
                failures=worker.failures,
                refusals=worker.refusals,
            )
        self._avoided_until = avoided
