"""Resource use of one daemon over a time window."""

from dataclasses import dataclass
from pathlib import Path
from threading import Event

from bench.capacity.cluster import Cluster, make_change
from geraniumwell.util.clock import monotonic_seconds

# schedstat counts in nanoseconds; the clock ticks of /proc/PID/stat are 10 ms.
NANOSECONDS_PER_SECOND = 1e9
BYTES_PER_KIB = 1024


@dataclass(slots=True, frozen=True)
class Reading:
    """Resource use of one daemon; all but the memory are per second."""

    cpu_percent: float
    memory_mb: float
    sent_bytes: float
    received_bytes: float
    calls: float
    platform_reads: float
    platform_writes: float


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time of all threads of a process."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / NANOSECONDS_PER_SECOND


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KIB / 1e6
    return 0.0


def measure(cluster: Cluster, vm: str, seconds: float) -> Reading:
    """Return what a daemon uses while nothing happens but configuration changes."""
    pid = cluster.daemons[vm].pid
    before = cluster.read_metrics(vm)
    cpu_before = read_cpu_seconds(pid)
    started_at = monotonic_seconds()
    _apply_changes(cluster, started_at, seconds)
    elapsed = monotonic_seconds() - started_at
    cpu = read_cpu_seconds(pid) - cpu_before
    after = cluster.read_metrics(vm)
    increases = {name: after[name] - before.get(name, 0.0) for name in after}

    def sum_rates(prefix: str, *labels: str) -> float:
        matching = [
            value
            for name, value in increases.items()
            if name.startswith(prefix) and all(label in name for label in labels)
        ]
        return sum(matching) / elapsed

    calls = "geraniumwell_control_calls_total"
    sizes = "geraniumwell_control_bytes_total"
    return Reading(
        cpu_percent=100 * cpu / elapsed,
        memory_mb=read_memory_mb(pid),
        sent_bytes=sum_rates(sizes, '"sent"'),
        received_bytes=sum_rates(sizes, '"received"'),
        calls=sum_rates(calls),
        platform_reads=sum_rates(calls, '"platform"', '"read"'),
        platform_writes=sum_rates(calls, '"platform"', '"write"'),
    )


def _apply_changes(cluster: Cluster, started_at: float, seconds: float) -> None:
    rate = cluster.size.changes_per_second
    if not rate:
        Event().wait(seconds)
        return
    for number in range(round(seconds * rate)):
        due = started_at + number / rate
        Event().wait(max(0.0, due - monotonic_seconds()))
        cluster.run_statements(make_change())
    Event().wait(max(0.0, started_at + seconds - monotonic_seconds()))
