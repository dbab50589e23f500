"""Cluster of real daemons and stand-ins, configured for one measurement."""

from dataclasses import dataclass
from typing import Any
from uuid import uuid4

from geraniumwell.util.ids import make_token_hex
from tests.support.pair import make_peer_settings
from tests.support.processes import (
    Process,
    call,
    start_daemon,
    start_stand_in,
    wait_until,
)

OPERATOR = {"Authorization": "Bearer operator-token"}
DAEMONS_PER_DATA_CENTRE = 2
GANG_MEMBERS = 16
WORKERS_PER_RACK = 8


@dataclass(slots=True, frozen=True)
class ClusterSize:
    """Dimensions of a cluster; ``history`` counts changes made in advance."""

    data_centres: int = 1
    workers: int = 8
    tasks: int = 0
    organisations: int = 4
    history: int = 0
    changes_per_second: float = 0.0


class Cluster:
    """Processes of a cluster; ``worker_host`` serves all stand-in workers."""

    __slots__ = ("size", "platform", "worker_host", "daemons", "settings", "_processes")

    def __init__(self, size: ClusterSize) -> None:
        self.size = size
        self._processes: list[Process] = []
        self.platform = self._register(start_stand_in("platform"))
        self.worker_host: Process | None = None
        self.daemons: dict[str, Process] = {}
        self.settings: dict[str, dict[str, Any]] = {}

    def start(self) -> None:
        """Start all daemons, configure them and wait until all jobs run."""
        data_centres = {
            f"vm-{dc}-{number}": f"dc-{dc}"
            for dc in range(self.size.data_centres)
            for number in range(DAEMONS_PER_DATA_CENTRE)
        }
        platforms = dict.fromkeys(data_centres, self.platform.address)
        self.settings = make_peer_settings(platforms, data_centres)
        for vm, cfg in self.settings.items():
            self.daemons[vm] = self._register(start_daemon(cfg))
        self._configure()
        for process in self.daemons.values():
            wait_until(
                lambda p=process: call("GET", p.address, "/readyz").status == 200,
                "readiness",
            )
        self._submit_tasks()

    def send_statements(self, text: str) -> Any:
        """Send statements of an operator to the first daemon; return the response."""
        address = self.settings["vm-0-0"]["listen"]["operators"]
        headers = OPERATOR | {"Geraniumwell-Command-Id": make_token_hex()}
        return call("POST", address, "/v1/statements", headers=headers, body=text)

    def run_statements(self, text: str) -> dict[str, Any]:
        """Run statements, which must succeed, and return their results."""
        resp = self.send_statements(text)
        assert resp.status == 200, resp.data
        return resp.json()

    def read_metrics(self, vm: str) -> dict[str, float]:
        """Return the values of a daemon's metrics by name with labels."""
        address = self.settings[vm]["listen"]["operators"]
        text = call("GET", address, "/metrics", headers=OPERATOR).data.decode()
        lines = [ln for ln in text.splitlines() if ln and not ln.startswith("#")]
        pairs = [ln.rsplit(" ", 1) for ln in lines]
        return {name: float(value) for name, value in pairs}

    def close(self) -> None:
        """End all processes."""
        for process in reversed(self._processes):
            process.close()

    def _register(self, process: Process) -> Process:
        self._processes.append(process)
        return process

    def _configure(self) -> None:
        size = self.size
        lines = [
            f'set organisation org-{n} share 1 quota 64 because "bench"'
            for n in range(size.organisations)
        ]
        lines.append('set class quote rank 0 window 5s expected 50ms because "bench"')
        for text in lines:
            self.run_statements(text)
        for number, address in enumerate(self._start_workers()):
            self.run_statements(
                f"set worker w-{number} in dc-0 rack r-{number // WORKERS_PER_RACK} "
                f"at {address} accelerators 8 cores 1000 memory 4000 "
                'because "bench"'
            )
        for number in range(size.history):
            self.run_statements(
                f'set organisation org-0 share {number + 2} because "bench"'
            )

    def _start_workers(self) -> list[str]:
        if not self.size.workers:
            return []
        args = ["-m", "bench.capacity.workers", str(self.size.workers)]
        self.worker_host = self._register(Process(args))
        first_port = int(self.worker_host.address.rsplit(":", 1)[1])
        other_ports = [
            int(self.worker_host.read_line()) for _ in range(self.size.workers - 1)
        ]
        return [f"127.0.0.1:{port}" for port in (first_port, *other_ports)]

    def _submit_tasks(self) -> None:
        jobs = self.size.tasks // GANG_MEMBERS
        text = (
            f"submit job for org-0 in dc-0 members {GANG_MEMBERS} accelerators 0 "
            'lasting 1d stoppable because "bench"'
        )
        if jobs:
            # A new decider reads the workers' inventories before it accepts jobs.
            wait_until(lambda: self.send_statements(text).status == 200, "a decider")
        for _ in range(jobs - 1):
            self.run_statements(text)
        if jobs:
            wait_until(lambda: self._count_running() == jobs, "all jobs running", 240)

    def _count_running(self) -> int:
        rows = self.run_statements("show jobs")["results"][0]["table"]["rows"]
        return sum(1 for row in rows if row.get("state") == "running")


def make_change() -> str:
    """Return a statement that changes the configuration."""
    share = 1 + uuid4().int % 1000
    return f'set organisation org-0 share {share} because "bench"'
