"""Real daemons of the batch service, with stand-ins for store and workers."""

import json
import tempfile
from base64 import b64encode
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from urllib3.exceptions import HTTPError

from tests.support.processes import Process, call, find_free_port, wait_until
from tests.support.tcp_proxy import TcpProxy

KEY = "key-1"
HEADERS = {"Host": "desk.example", "Api-Key": KEY, "Content-Type": "application/json"}
# The slowest clock of a worker that the specification allows.
SLOW_CLOCK_RATE = 0.98
STEP = {"Count": 2, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "EstRuntimeMs": 500}


@dataclass(slots=True)
class Installation:
    """Processes of one installation on the loopback address.

    ``stores`` holds the address of the store for daemons that reach it by a relay.
    """

    folder: Path
    store: Process
    store_address: str
    daemons: dict[str, Process] = field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    workers: dict[str, Process] = field(default_factory=dict)
    stores: dict[str, str] = field(default_factory=dict)
    proxies: dict[str, TcpProxy] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    extra_settings: dict[str, Any] = field(default_factory=dict)
    is_proxied: bool = False
    version: int = 0

    def close(self) -> None:
        """End all processes."""
        for process in (*self.daemons.values(), *self.workers.values(), self.store):
            process.close()

    def write_config(self, keys: tuple[str, ...] = (KEY,)) -> None:
        """Write the next version of the configuration, as an operator does."""
        self.version += 1
        self.put("op", "config", make_config(self.version, keys))

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row of the store with a JSON value."""
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a row of the store."""
        data = b64encode(value).decode()
        body = json.dumps({"Writes": [{"Table": table, "Key": key, "Value": data}]})
        assert call("POST", self.store.address, "/rows-tx", body=body).status == 200

    def remove(self, table: str, key: str) -> None:
        """Remove a row of the store."""
        body = json.dumps({"Remove": [{"Table": table, "Key": key}]})
        assert call("POST", self.store.address, "/rows-tx", body=body).status == 200

    def read_metric(self, name: str, metric: str) -> float:
        """Return the value of a metric without labels; 0 if the daemon is down."""
        address = self.settings[name]["metrics"]
        try:
            lines = call("GET", address, "/metrics").data.decode().splitlines()
        except HTTPError:
            return 0.0
        return next(
            (float(ln.split()[1]) for ln in lines if ln.split()[0] == metric), 0
        )

    def set_store_fault(self, **fault: Any) -> None:
        """Set the fault of the store."""
        set_fault(self.store, **fault)

    def list_rows(self, table: str, part: str = "") -> list[dict[str, Any]]:
        """Return the rows of a partition of a table of the store."""
        path = f"/rows-get?Table={table}&part={part}"
        return call("GET", self.store.address, path).json()["rows"]

    def knows_peers(self, name: str) -> bool:
        """Return whether a daemon has read the addresses of its peers."""
        data = call("GET", self.settings[name]["metrics"], "/metrics").data
        return f"geraniumwell_batch_peers {len(self.daemons) - 1}.0".encode() in data

    def compact(self) -> None:
        """Make the store drop its change history."""
        call("POST", self.store.address, "/compact")

    def start_daemon(self, name: str) -> None:
        """Start a daemon, or restart it with its former settings."""
        cfg = self.settings.setdefault(name, self._make_settings(name))
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(cfg))
        args = ["-m", "geraniumwell", "serve-platform", str(path)]
        log = self.folder / f"{name}.log" if self.is_proxied else None
        self.daemons[name] = Process(args, cfg["callers"], log)

    def _make_settings(self, name: str) -> dict[str, Any]:
        kinds = ("callers", "readiness", "metrics", "relay")
        addresses = {kind: f"127.0.0.1:{find_free_port()}" for kind in kinds}
        return {
            "vm": name,
            "data_centre": "dc-1",
            "store": self.stores.get(name, self.store_address),
            **addresses,
            **self.extra_settings,
        }

    def start_worker(self, name: str, seconds: float = 0.6) -> None:
        """Start a worker that registers itself."""
        port = self.ports.setdefault(name, find_free_port())
        args = [str(port), self.store.address, name, "pool", "r1", str(seconds)]
        module = ["-m", "stand_ins.task_worker"]
        address = f"127.0.0.1:{port}"
        if self.is_proxied and name not in self.proxies:
            self.proxies[name] = TcpProxy(address)
        public = self.proxies[name].address if name in self.proxies else address
        rate = SLOW_CLOCK_RATE if self.is_proxied else 1.0
        options = [str(self.record_path), public, str(rate)]
        process = Process(module + args + options)
        process.address = address
        self.workers[name] = process

    @property
    def record_path(self) -> Path:
        """File in which all workers record the starts and ends of runs."""
        return self.folder / "record.jsonl"

    def read_record(self) -> list[dict[str, Any]]:
        """Return the recorded starts and ends in the order of time."""
        if not self.record_path.exists():
            return []
        lines = self.record_path.read_text().splitlines()
        return sorted((json.loads(ln) for ln in lines), key=lambda item: item["at"])

    def is_ready(self, name: str) -> bool:
        """Return whether a daemon reports that it is ready."""
        address = self.settings[name]["readiness"]
        try:
            return call("GET", address, "/ready").status == 200
        except HTTPError:
            return False

    def find_scheduler(self) -> str:
        """Return the name of the scheduling daemon, or an empty string."""
        return self.find_scheduler_among(tuple(self.daemons))

    def find_scheduler_among(self, names: tuple[str, ...]) -> str:
        """Return which of the named daemons schedules, or an empty string."""
        for name in names:
            if self.daemons[name].exit_status is not None:
                continue
            try:
                data = call("GET", self.settings[name]["metrics"], "/metrics").data
            except HTTPError:
                continue
            if b"geraniumwell_batch_is_scheduling 1.0" in data:
                return name
        return ""

    def ask(self, name: str, method: str, job_id: str = "", **kwargs: Any) -> Any:
        """Send a client's request to a daemon and return the response."""
        headers = kwargs.pop("headers", HEADERS)
        address = self.settings[name]["callers"]
        return call(method, address, f"/desk/{job_id}", headers=headers, **kwargs)

    def submit(self, name: str, job_id: str, **step: Any) -> int:
        """Submit a job of one step; return the status of the response."""
        body = json.dumps({"Spec": job_id, "Steps": [STEP | step]})
        return self.ask(name, "POST", job_id, body=body).status

    def find_state(self, name: str, job_id: str) -> str:
        """Return the state of a job, or the status of an error response."""
        resp = self.ask(name, "GET", job_id)
        return resp.json()["State"] if resp.status == 200 else str(resp.status)


def set_fault(process: Process, **fault: Any) -> None:
    """Set the fault of a stand-in."""
    call("POST", process.address, "/faults", body=json.dumps(fault))


def make_config(version: int, keys: tuple[str, ...]) -> dict[str, Any]:
    """Return a configuration with one queue and one organisation."""
    route = {
        "Name": "desk",
        "Host": "desk.example",
        "PathPrefix": "/desk/",
        "RouteKind": "unsafe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "Service": "pool",
        "MaxAttempts": 3,
        "Stretch": 3.0,
    }
    return {
        "Version": version,
        "Routes": [route],
        "Services": [{"Name": "pool", "EnforcesCapacity": False}],
        "Limits": {"MaxBodyBytes": 262144},
        "Tenants": [{"Name": "desks", "ApiKeys": list(keys), "Guaranteed": {"Gpu": 4}}],
    }


def start_installation(
    daemons: int,
    workers: int,
    seconds: float,
    proxied: tuple[str, ...] = (),
    is_proxied: bool = False,
    folder: Path | None = None,
    settings: dict[str, Any] | None = None,
) -> Installation:
    """Start store, workers and daemons, and wait until jobs are accepted.

    The ``proxied`` daemons reach the store through a proxy that can be cut. With
    ``is_proxied`` all daemons do; workers also have proxies, and slow clocks, and the
    daemons write their logs to files. ``settings`` are added to those of each daemon.
    """
    folder = folder or Path(tempfile.mkdtemp(prefix="geraniumwell-"))
    port = find_free_port()
    store = Process(["-m", "stand_ins.table_store", str(port), "1"])
    installation = Installation(folder, store, store.address, is_proxied=is_proxied)
    installation.extra_settings = settings or {}
    if is_proxied:
        proxied = tuple(f"d{number}" for number in range(1, daemons + 1))
    for name in proxied:
        installation.proxies[name] = TcpProxy(store.address)
        installation.stores[name] = installation.proxies[name].address
    installation.write_config()
    for number in range(1, workers + 1):
        installation.start_worker(f"w{number}", seconds)
    for number in range(1, daemons + 1):
        installation.start_daemon(f"d{number}")
    for name in installation.daemons:
        wait_until(
            lambda name=name: installation.is_ready(name), f"readiness of {name}"
        )
    wait_until(
        lambda: bool(installation.find_scheduler()), "election of a scheduling daemon"
    )
    for name in installation.daemons:
        wait_until(
            lambda name=name: installation.knows_peers(name),
            f"discovery of the peers of {name}",
        )
    return installation
