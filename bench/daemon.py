"""Throughput, added latency, memory and idle CPU of entry daemons.

``python -m bench.daemon`` starts real processes and writes
``bench/results/daemon.txt``. The daemon under test is pinned to one core.
"""

import os
import sys
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass
from datetime import UTC, datetime
from http.client import HTTPConnection
from multiprocessing import get_context
from pathlib import Path
from statistics import quantiles
from time import monotonic, sleep
from types import SimpleNamespace

from defopt import run

from tests.support.processes import Process
from tests.support.serving import System

RESULTS = Path(__file__).parent / "results" / "daemon.txt"
ENDPOINTS = 4
SLOTS = 8
DRIVER_PROCESSES = 2
BODY = b"x" * 200
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
GROUP_SIZE = 6


@dataclass(slots=True, frozen=True)
class Load:
    """Load of one driver process; without a rate, as fast as possible."""

    addresses: tuple[str, ...]
    path: str
    connections: int
    seconds: float
    rate: float | None


@dataclass(slots=True, frozen=True)
class LoadResult:
    """Latencies in milliseconds of correct responses, and the number of others."""

    latencies: list[float]
    failed: int


def run_load(load: Load) -> LoadResult:
    """Send requests over several connections, each with a thread of its own.

    With a rate, latency is measured from the planned time of a request, so that a slow
    response also adds to the latency of the requests delayed by it.
    """
    start = monotonic() + 0.2
    with ThreadPoolExecutor(load.connections) as pool:
        parts = list(
            pool.map(lambda n: run_connection(load, n, start), range(load.connections))
        )
    return LoadResult(
        [ms for p in parts for ms in p.latencies], sum(p.failed for p in parts)
    )


def run_connection(load: Load, number: int, start: float) -> LoadResult:
    """Send requests over one connection."""
    host, _, port = load.addresses[number % len(load.addresses)].rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=30)
    latencies: list[float] = []
    failed = count = 0
    interval = load.connections / load.rate if load.rate else 0.0
    offset = number / load.rate if load.rate else 0.0
    while True:
        planned_at = start + offset + count * interval if load.rate else monotonic()
        if planned_at >= start + load.seconds:
            return LoadResult(latencies, failed)
        sleep(max(0.0, planned_at - monotonic()))
        count += 1
        headers = {
            "Authorization": "Bearer desk-token",
            "Geraniumwell-Class": "quote",
            "Request-Id": f"d-{os.getpid()}-{number}-{count}",
            "Attempt-Id": "a",
        }
        conn.request("POST", load.path, BODY, headers)
        resp = conn.getresponse()
        if resp.read() == BODY and resp.status == 200:
            latencies.append((monotonic() - planned_at) * 1000)
        else:
            failed += 1


def read_cpu_seconds(process: Process) -> float:
    """Return the CPU time that a process has used, user and system."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def read_memory_mb(process: Process) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def find_idle_core() -> int:
    """Return the least busy core; other processes share the machine."""

    def read_idle() -> dict[int, int]:
        lines = Path("/proc/stat").read_text().splitlines()
        rows = [ln.split() for ln in lines if ln.startswith("cpu") and ln[3] != " "]
        return {int(row[0][3:]): int(row[4]) for row in rows}

    before = read_idle()
    sleep(1.0)
    after = read_idle()
    return max(os.sched_getaffinity(0), key=lambda core: after[core] - before[core])


def summarise_load(
    name: str, result: LoadResult, seconds: float
) -> tuple[str, float, float]:
    """Return a line with the result of a load, its p50 and its p99."""
    cuts = quantiles(result.latencies, n=100)
    p50, p99 = cuts[49], cuts[98]
    rate = len(result.latencies) / seconds
    line = (
        f"{name:32} {rate:8.1f}/s  p50 {p50:7.2f} ms  p99 {p99:7.2f} ms"
        f"  refused {result.failed}"
    )
    return line, p50, p99


class Bench:
    """Processes and result lines of one run."""

    __slots__ = ("_pool", "_system", "lines")

    def __init__(self, system: System, pool: ProcessPoolExecutor) -> None:
        self._system = system
        self._pool = pool
        self.lines: list[str] = []

    def start(self) -> None:
        """Start the endpoints and one daemon, pinned to one core."""
        self._system.add_endpoints(ENDPOINTS)
        self._system.configure(slots=SLOTS)
        daemon = self._system.start()
        core = find_idle_core()
        for task in os.listdir(f"/proc/{daemon.pid}/task"):
            os.sched_setaffinity(int(task), {core})

    def run_load(
        self, direct: bool, connections: int, seconds: float, rate: float | None
    ) -> LoadResult:
        """Run a load, divided among the driver processes.

        A direct load goes to the endpoints, any other to the daemon.
        """
        addresses = [self._system.daemons[0].address]
        if direct:
            addresses = [ep.address for ep in self._system.endpoints]
        path = "/run" if direct else "/v1/requests/booking"
        load = Load(
            tuple(addresses),
            path,
            connections // DRIVER_PROCESSES,
            seconds,
            rate / DRIVER_PROCESSES if rate else None,
        )
        parts = list(self._pool.map(run_load, [load] * DRIVER_PROCESSES))
        latencies = [ms for p in parts for ms in p.latencies]
        return LoadResult(latencies, sum(p.failed for p in parts))

    def measure_latency(self, rate: float, seconds: float) -> None:
        """Compare requests through the daemon with direct ones at the same rate."""
        daemon = self._system.daemons[0]
        direct = self.run_load(True, 16, seconds, rate)
        cpu = read_cpu_seconds(daemon)
        proxied = self.run_load(False, 16, seconds, rate)
        cpu = read_cpu_seconds(daemon) - cpu
        line, p50, p99 = summarise_load(f"direct at {rate:g}/s", direct, seconds)
        self.lines.append(line)
        line, p50_daemon, p99_daemon = summarise_load(
            "through the daemon", proxied, seconds
        )
        count = len(proxied.latencies) + proxied.failed
        self.lines += [
            line,
            f"{'  added':32} p50 {p50_daemon - p50:.2f} ms, p99 "
            f"{p99_daemon - p99:.2f} ms; CPU {cpu / count * 1000:.2f} ms/request, "
            f"{cpu / seconds * 100:.1f}% of a core",
        ]

    def measure_throughput(self, seconds: float) -> None:
        """Measure the rate and CPU cost of callers that never pause."""
        daemon = self._system.daemons[0]
        cpu = read_cpu_seconds(daemon)
        result = self.run_load(False, 24, seconds, None)
        cpu = read_cpu_seconds(daemon) - cpu
        line, _, _ = summarise_load("24 callers without pause", result, seconds)
        count = len(result.latencies) + result.failed
        self.lines += [
            line,
            f"{'  cost':32} CPU {cpu / count * 1000:.2f} ms/request; resident "
            f"{read_memory_mb(daemon):.1f} MB",
        ]

    def measure_idle(self, seconds: float) -> None:
        """Measure CPU and memory of an idle daemon, alone and in a group."""
        self._measure_idle_daemon("one idle daemon", self._system.daemons[0], seconds)
        self._system.daemons[0].close()
        self._system.start_group(GROUP_SIZE)
        sleep(5.0)
        name = f"one of {GROUP_SIZE} idle daemons"
        self._measure_idle_daemon(name, self._system.daemons[-1], seconds)

    def _measure_idle_daemon(self, name: str, daemon: Process, seconds: float) -> None:
        cpu = read_cpu_seconds(daemon)
        sleep(seconds)
        cpu_percent = (read_cpu_seconds(daemon) - cpu) / seconds * 100
        memory = read_memory_mb(daemon)
        self.lines.append(
            f"{name:32} {cpu_percent:.2f}% of a core, resident {memory:.1f} MB"
        )


def run_bench(*, seconds: float = 10.0, idle_seconds: float = 20.0) -> None:
    """Run all measurements; print and write the results.

    Parameters
    ----------
    seconds : float
        Length of each load.
    idle_seconds : float
        Length of each idle measurement.
    """
    context = SimpleNamespace(processes=[])
    date = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
    command = f"python -m bench.daemon {' '.join(sys.argv[1:])}".strip()
    try:
        with ProcessPoolExecutor(
            DRIVER_PROCESSES, mp_context=get_context("spawn")
        ) as pool:
            bench = Bench(System(context), pool)
            bench.start()
            bench.run_load(False, 16, 3.0, 100.0)
            for rate in (100.0, 400.0):
                bench.measure_latency(rate, seconds)
            bench.measure_throughput(seconds)
            bench.measure_idle(idle_seconds)
    finally:
        for process in reversed(context.processes):
            process.close()
    text = "\n".join([f"{date}, {command}", *bench.lines]) + "\n"
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(text)
    print(text, end="")


if __name__ == "__main__":
    run(run_bench)
