"""A small deployment on the loopback address: a store, workers and daemons.

The daemons are started with the command of ``deploy/system.toml`` and with settings as
the template fills them in for ``sites/saltway-prod.toml``.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from base64 import b64encode
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from signal import SIGTERM, signal
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_SECONDS = 40.0
CLIENT_SECONDS = 3.0
ROUTES = {"desk": 1, "urgent": 0}
HOST = "desk.example"


class CannotRunError(Exception):
    """The case could not run, so it shows nothing."""


class Ports:
    """Free ports, which stay reserved until they are released."""

    def __init__(self) -> None:
        self._reserved: list[socket] = []

    def take(self) -> str:
        """Return the address of a free port and keep it reserved."""
        sock = socket(AF_INET, SOCK_STREAM)
        sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        self._reserved.append(sock)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def close(self) -> None:
        """Release all ports."""
        for sock in self._reserved:
            sock.close()


class Record:
    """The record of a case: one line for each thing that happened."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = open(path, "w")  # noqa: SIM115
        self._begin = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._begin

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Installation:
    """Processes of one deployment; ``close`` ends all of them."""

    def __init__(
        self,
        record: Record,
        daemons: int = 6,
        workers: int = 24,
        task_seconds: float = 0.5,
        **settings: Any,
    ) -> None:
        if not DEPENDENCIES.is_dir():
            raise CannotRunError("run the build of deploy/system.toml first")
        self.record = record
        self._ports = Ports()
        self._folder = Path(tempfile.mkdtemp(prefix="geraniumwell-review-"))
        self.runs_path = self._folder / "runs.jsonl"
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.store = self._ports.take()
        self.settings: dict[str, dict[str, Any]] = {}
        self._worker_args: dict[str, list[str]] = {}
        try:
            self._start(daemons, workers, task_seconds, settings)
        except BaseException:
            self.close()
            raise

    def _start(
        self, daemons: int, workers: int, task_seconds: float, extra: dict[str, Any]
    ) -> None:
        port = self.store.partition(":")[2]
        self._spawn("store", ["-m", "review.support_3.store", port, "1"])
        self._wait(lambda: self.write_config(1, ("key-1", "key-2")), "the store")
        for number in range(workers):
            address = self._ports.take()
            args = [address.partition(":")[2], self.store, f"worker-{number:02d}"]
            args += ["booking", f"rack-{number // 8}", str(task_seconds)]
            args.append(str(self.runs_path))
            name = f"worker-{number:02d}"
            self._worker_args[name] = args
            self.start_worker(name)
        for number in range(daemons):
            name = f"front-{'abc'[number % 3]}-{number // 3 + 1}"
            kinds = ("callers", "readiness", "metrics", "relay")
            self.settings[name] = {
                "vm": name,
                "data_centre": f"zone-{'abc'[number % 3]}",
                "store": self.store,
                "lease_limit_ms": 10_000,
                "result_seconds": 120,
                "far_factor": 3,
                "processor_share": 0.537,
                "core_speed": 2,
                "descriptors": 4_100,
                "memory_mb": 300,
                **{kind: self._ports.take() for kind in kinds},
                **extra,
            }
            self.start_daemon(name)
        self._wait(lambda: all(map(self.is_ready, self.settings)), "all daemons")
        self._wait(lambda: bool(self.find_leader()), "a leader")
        self._wait(lambda: self._count_workers() == workers, "all workers")
        # The leader polls each worker once before it uses it.
        time.sleep(2.0)

    def start_daemon(self, name: str) -> None:
        """Start a daemon, or start it again with the same settings."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        self._spawn(name, ["-m", "geraniumwell", "serve-platform", str(path)])

    def start_worker(self, name: str, kind: str = "a", cpu: int = 16_000) -> None:
        """Start a worker, or start it again under its id, perhaps of another kind."""
        module = ["-m", "review.support_3.worker"]
        self._spawn(name, [*module, *self._worker_args[name], kind, str(cpu)])

    def set_store_fault(self, **fault: Any) -> None:
        """Set the fault of the store, as ``stand_ins.table_store`` describes it."""
        call(self.store, "POST", "/faults", fault)

    def _spawn(self, name: str, args: list[str]) -> None:
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {"LANG": "C.UTF-8", "PYTHONPATH": f"{DEPENDENCIES}{os.pathsep}{ROOT}"}
        with open(self._folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *args], cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def _wait(self, condition: Callable[[], bool], what: str) -> None:
        limit = time.monotonic() + START_SECONDS
        while not condition():
            if time.monotonic() > limit:
                raise CannotRunError(f"{what} did not start")
            time.sleep(0.1)

    def _put(self, table: str, key: str, value: Any) -> bool:
        data = b64encode(json.dumps(value).encode()).decode()
        body = {"Writes": [{"Table": table, "Key": key, "Value": data}]}
        return call(self.store, "POST", "/rows-tx", body)[0] == 200

    def write_config(self, version: int, keys: tuple[str, ...]) -> bool:
        """Write a manifest as the operator; return whether the store took it."""
        return self._put("op", "config", make_config(version, keys))

    def _count_workers(self) -> int:
        status, data = call(self.store, "GET", "/rows-get?Table=servers&part=")
        return len(json.loads(data)["rows"]) if status == 200 else 0

    def is_ready(self, name: str) -> bool:
        """Return whether a daemon reports itself as ready."""
        return call(self.settings[name]["readiness"], "GET", "/ready")[0] == 200

    def find_leader(self) -> str:
        """Return the name of the daemon that schedules, or an empty string."""
        for name, cfg in self.settings.items():
            _, data = call(cfg["metrics"], "GET", "/metrics", seconds=1.0)
            if b"geraniumwell_batch_is_scheduling 1.0" in data:
                return name
        return ""

    def kill(self, name: str) -> None:
        """Kill a process that this installation started."""
        self._processes[name].kill()
        self._processes[name].wait()

    def ask(
        self,
        name: str,
        method: str,
        job: str,
        body: Any = None,
        queue: str = "desk",
        key: str = "key-1",
    ) -> int:
        """Make a client's call and record it; return the status, 0 for no answer."""
        path = f"/{queue}/{job}"
        headers = {"Host": HOST, "Api-Key": key}
        status, data = call(
            self.settings[name]["callers"], method, path, body, headers=headers
        )
        answer = data.decode(errors="replace")[:60] if status else "no answer"
        self.record.write(f"{method} {path} at {name}: {status or ''} {answer}")
        return status

    def find_state(self, name: str, job: str, queue: str = "desk") -> str:
        """Return the state of a job, or the status of another answer."""
        headers = {"Host": HOST, "Api-Key": "key-1"}
        address = self.settings[name]["callers"]
        status, data = call(address, "GET", f"/{queue}/{job}", headers=headers)
        return json.loads(data)["State"] if status == 200 else str(status)

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what the workers recorded: starts and ends of runs."""
        if not self.runs_path.exists():
            return []
        lines = self.runs_path.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.endswith("}")]
        return sorted(found, key=lambda item: item["at"])

    def read_output(self, name: str) -> str:
        """Return what a process has printed."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def count_events(self, event: str) -> int:
        """Return how often the daemons logged an event."""
        return sum(
            path.read_text(errors="replace").count(f'"event":"{event}"')
            for path in self._folder.glob("front-*.log")
        )

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._ports.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self._folder, ignore_errors=True)


def make_config(version: int, keys: tuple[str, ...]) -> dict[str, Any]:
    """Return a configuration with two queues for one service and one tenant."""
    routes = [
        {
            "Name": name,
            "Host": HOST,
            "PathPrefix": f"/{name}/",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 1000,
            "Priority": priority,
            "Service": "booking",
            "MaxAttempts": 4,
            "Stretch": 3.0,
        }
        for name, priority in ROUTES.items()
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "booking", "EnforcesCapacity": False}],
        "Limits": {"MaxBodyBytes": 262_144},
        "Tenants": [
            {"Name": "desks", "ApiKeys": list(keys), "Guaranteed": {"Gpu": 96}}
        ],
    }


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    seconds: float = CLIENT_SECONDS,
) -> tuple[int, bytes]:
    """Make one HTTP call; return status 0 if there is no complete answer."""
    conn = HTTPConnection(address, timeout=seconds)
    data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
    try:
        all_headers = {"Content-Type": "application/json"} | (headers or {})
        conn.request(method, path, data, all_headers)
        resp = conn.getresponse()
        return resp.status, resp.read()
    except (OSError, HTTPException):
        return 0, b""
    finally:
        conn.close()


def run_case(case: Callable[[Record, bool], int], has_trouble: bool, path: Path) -> int:
    """Run a case and write its record to ``path``; return the exit status."""
    # Also ends the processes of the case if the script itself is stopped.
    signal(SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(path)
    try:
        status = case(record, has_trouble)
    except CannotRunError as exc:
        record.write(f"could not run: {exc}")
        status = NOT_RUN
    record.write(f"exit status {status}")
    record.close()
    return status
