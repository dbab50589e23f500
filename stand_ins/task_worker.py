"""Simulated worker of the platform: runs tasks under leases, checks no capacity.

Arguments: port, store address, id, service, rack, run time of a task in seconds, file
to which each start, end and acknowledged end is appended as a JSON line; optionally
the address that it registers and the rate of its clock. ``POST /faults`` with
``{"mode": "up" | "fail" | "shed" | "hang" | "silent" | "late"}`` changes how later
starts behave: they fail, are refused, never end, get no answer, or get none and are
executed seconds later. ``silent`` leaves all calls unanswered.
"""

import json
import sys
import time
from base64 import b64encode
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler
from threading import Condition, Thread, Timer
from typing import Any

from urllib3 import PoolManager, Retry
from urllib3.exceptions import HTTPError

from stand_ins.server import run_server, send, send_json

LATE_START_SECONDS = 2.0
NO_ANSWER_SECONDS = 5.0
STOP_DURATION_SECONDS = 0.1
HEARTBEAT_SECONDS = 0.5
LEASE_LIMIT_MS = 10_000
CAPACITY = {"Cpu": 16_000, "MemMb": 64_000, "Gpu": 8}
ENDS_PER_RESPONSE = 500


@dataclass(slots=True)
class Run:
    """One run of a task."""

    task: str
    run: int
    ends_at: float
    started_at: float
    stop_at: float | None = None
    will_fail: bool = False
    never_ends: bool = False


@dataclass(slots=True)
class WorkerArgs:
    """Arguments of the process."""

    port: int
    store: str
    id: str
    service: str
    rack: str
    seconds: float
    record: str
    address: str
    clock_rate: float = 1.0


@dataclass(slots=True)
class TaskWorker:
    """State of the worker: its runs, their ends and the lease."""

    args: WorkerArgs
    changed: Condition = field(default_factory=Condition)
    runs: dict[str, Run] = field(default_factory=dict)
    highest_runs: dict[str, int] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    end_count: int = 0
    fence: int = 0
    deadline_ms: int = 0
    mode: str = "up"
    born_ms: int = 0

    def handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Answer one call."""
        call = json.loads(body or b"{}")
        if handler.path == "/faults":
            self.mode = call["mode"]
            send_json(handler, 200, {})
            return
        if self.mode == "silent":
            time.sleep(NO_ANSWER_SECONDS)
            handler.close_connection = True
            return
        expected = handler.headers.get("X-Geraniumwell-Expect-Instance")
        if expected not in (None, self.args.id):
            send_json(handler, 421, {})
            return
        match handler.path:
            case "/run-start":
                self._start(handler, call)
            case "/run-stop":
                self._stop(handler, call)
            case "/hold":
                self._poll(handler, call)
            case _:
                send(handler, 404)

    def clock_ms(self) -> int:
        """Return the time of the worker's monotonic clock."""
        return int(time.monotonic() * 1000 * self.args.clock_rate)

    def _send_refusal(self, handler: BaseHTTPRequestHandler, reason: str) -> None:
        send_json(handler, 409, {"ClockMs": self.clock_ms(), "Reason": reason})

    def _start(self, handler: BaseHTTPRequestHandler, call: dict[str, Any]) -> None:
        if self.mode == "shed":
            send(handler, 503)
            return
        if self.mode == "late":
            timer = Timer(LATE_START_SECONDS, self._execute_start, (call,))
            timer.daemon = True
            timer.start()
            time.sleep(NO_ANSWER_SECONDS)
            handler.close_connection = True
            return
        reason = self._execute_start(call)
        if reason:
            self._send_refusal(handler, reason)
        else:
            send_json(handler, 200, {"ClockMs": self.clock_ms()})

    def _execute_start(self, call: dict[str, Any]) -> str:
        with self.changed:
            if call["Fence"] < self.fence:
                return "fence"
            self.fence = call["Fence"]
            self._extend_lease(call)
            name, run = call["Task"], call["Run"]
            if name in self.runs and self.runs[name].run == run:
                return ""
            if run <= self.highest_runs.get(name, 0):
                return "old"
            if call["DeadlineMs"] <= self.clock_ms():
                return "late"
            now = time.monotonic()
            self.highest_runs[name] = run
            self.runs[name] = Run(
                name,
                run,
                now + self.args.seconds,
                now,
                will_fail=self.mode == "fail",
                never_ends=self.mode == "hang",
            )
            self._record("start", name, run, call.get("Checkpoint", ""))
            self.changed.notify_all()
            return ""

    def _extend_lease(self, call: dict[str, Any]) -> None:
        wanted = min(call.get("DeadlineMs", 0), self.clock_ms() + LEASE_LIMIT_MS)
        self.deadline_ms = max(self.deadline_ms, wanted)

    def _stop(self, handler: BaseHTTPRequestHandler, call: dict[str, Any]) -> None:
        with self.changed:
            if call["Fence"] < self.fence:
                self._send_refusal(handler, "fence")
                return
            self.fence = call["Fence"]
            name, run = call["Task"], call["Run"]
            self.highest_runs[name] = max(self.highest_runs.get(name, 0), run)
            current = self.runs.get(name)
            if current is not None and current.run <= run and current.stop_at is None:
                current.stop_at = time.monotonic() + STOP_DURATION_SECONDS
                self.changed.notify_all()
        send_json(handler, 200, {"ClockMs": self.clock_ms()})

    def _poll(self, handler: BaseHTTPRequestHandler, call: dict[str, Any]) -> None:
        limit = time.monotonic() + call.get("WaitMs", 0) / 1000
        with self.changed:
            if call["Fence"] < self.fence:
                self._send_refusal(handler, "fence")
                return
            self.fence = call["Fence"]
            self._extend_lease(call)
            for row in self.ended:
                if row[0] <= call["LastSeen"]:
                    self._record("noted", row[1], row[2], row[3])
            self.ended = [row for row in self.ended if row[0] > call["LastSeen"]]
            while not self.ended and time.monotonic() < limit:
                self.changed.wait(limit - time.monotonic())
            response = {
                "ClockMs": self.clock_ms(),
                "Running": [self._describe_run(run) for run in self.runs.values()],
                "Ended": self.ended[:ENDS_PER_RESPONSE],
                "born": self.born_ms,
            }
        send_json(handler, 200, response)

    def _describe_run(self, run: Run) -> list[Any]:
        if run.never_ends:
            return [run.task, run.run, "", 1, 0]
        share = (time.monotonic() - run.started_at) / self.args.seconds
        return [run.task, run.run, "", min(99, int(share * 100)), 0]

    def _record(self, what: str, task: str, run: int, detail: str) -> None:
        line = {
            "at": time.monotonic(),
            "what": what,
            "task": task,
            "run": run,
            "detail": detail,
            "worker": self.args.id,
            "fence": self.fence,
        }
        with open(self.args.record, "a") as out:
            out.write(json.dumps(line) + "\n")

    def end_due_runs(self) -> None:
        """End runs that are done or stopped, or whose lease has expired."""
        with self.changed:
            while True:
                now = time.monotonic()
                for run in list(self.runs.values()):
                    kind = self._find_end_kind(run, now)
                    if kind:
                        self._end(run, kind)
                self.changed.wait(0.02 if self.runs else None)

    def _find_end_kind(self, run: Run, now: float) -> str:
        if self.clock_ms() >= self.deadline_ms:
            return "lapsed"
        if run.stop_at is not None and now >= run.stop_at:
            return "stopped"
        if now >= run.ends_at and not run.never_ends:
            return "failed" if run.will_fail else "done"
        return ""

    def _end(self, run: Run, kind: str) -> None:
        del self.runs[run.task]
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.run, kind, ""])
        self._record(kind, run.task, run.run, "")
        self.changed.notify_all()

    def register(self) -> None:
        """Write the worker's entry to the store; retry until it is written."""
        http = PoolManager(retries=Retry(total=False), timeout=2.0)
        entry = {
            "Service": self.args.service,
            "Address": self.args.address,
            "Zone": "dc-1",
            "State": "ready",
            "Capacity": CAPACITY,
            "Labels": ["a", self.args.rack],
            "born": self.born_ms,
        }
        row = {
            "Table": "servers",
            "Key": self.args.id,
            "Value": b64encode(json.dumps(entry).encode()).decode(),
        }
        is_written = False
        while not is_written:
            try:
                url = f"http://{self.args.store}/rows-tx"
                body = json.dumps({"Writes": [row]})
                is_written = http.request("POST", url, body=body).status == 200
            except HTTPError as exc:
                print(f"not registered: {exc}", file=sys.stderr)
            time.sleep(HEARTBEAT_SECONDS)


def main() -> None:
    """Run the worker."""
    port, store, name, service, rack, seconds, record = sys.argv[1:8]
    rest = sys.argv[8:]
    address = rest[0] if rest else f"127.0.0.1:{port}"
    rate = float(rest[1]) if len(rest) > 1 else 1.0
    args = WorkerArgs(
        int(port), store, name, service, rack, float(seconds), record, address, rate
    )
    worker = TaskWorker(args, born_ms=int(time.time() * 1000))
    Thread(target=worker.end_due_runs, daemon=True).start()
    Thread(target=worker.register, daemon=True).start()
    run_server(args.port, worker.handle)


if __name__ == "__main__":
    main()
