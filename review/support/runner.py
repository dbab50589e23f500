"""Stand-in of a runner, written from PROTOCOL.md ("Running subtasks").

The argument is a JSON object: ``port``, ``store``, ``id``, ``record`` and optionally
``service``, ``kind``, ``cpu``, ``mem_mb``, ``gpu``, ``heartbeat_ms`` and ``public``,
the address that it registers.

A job's ``Spec`` names the work of its subtasks. ``{"ms": m, "spread_ms": s}`` is work
of ``m`` milliseconds and, by the index of the subtask, up to ``s`` more. ``{"lasts":
true}`` is work that goes on until it is stopped; ``"ends": {"3": [4000, "done"]}``
ends the first run of the subtask with index 3 by itself, as done, after 4 s.

``POST /faults`` with ``{"mode": "shed"}`` makes the runner refuse starts with 503, as
an unhealthy runner does, until ``{"mode": "up"}``; with ``{"mode": "drain"}`` it
reports ``draining`` at once, and leaves 2.5 s later. Every start, end and end taken
note of is appended to the record as one JSON line.
"""

import json
import os
import sys
import time
from base64 import b64encode
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler
from threading import Condition, Thread
from typing import Any

from stand_ins.server import run_server, send_json

# Figures of the sites: MaxHoldMs, StopTimeoutMs (900 at most), HeartbeatMs.
LEASE_LIMIT_MS = 10_000
STOP_SECONDS = 0.1
HEARTBEAT_MS = 1_500
# "The others are returned again (500 at a time)."
ENDS_PER_ANSWER = 500
SPREAD_STEPS = 101
STARTUP_SECONDS = 0.2
# DrainMs of the sites, "and a little longer".
LEAVE_SECONDS = 2.5


@dataclass(slots=True)
class Run:
    """One run of a subtask; it ends by itself at ``ends_at``, if that is set."""

    task: str
    run: int
    began_at: float
    ends_at: float | None
    how: str
    stop_at: float | None = None


@dataclass(slots=True)
class End:
    """The end of a run; ``has_lapsed`` is whether the lease lapsed since then."""

    number: int
    task: str
    run: int
    how: str
    has_lapsed: bool = False


@dataclass(slots=True)
class Runner:
    """Runs, ends and lease of one life of a runner."""

    args: dict[str, Any]
    changed: Condition = field(default_factory=Condition)
    runs: dict[str, Run] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    ended: list[End] = field(default_factory=list)
    end_count: int = 0
    fence: int = 0
    deadline_ms: int = 0
    born_ms: int = 0
    mode: str = "up"
    seq: int = 0

    def handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Answer one call."""
        if handler.path == "/faults":
            with self.changed:
                self.mode = json.loads(body)["mode"]
                self.changed.notify_all()
            send_json(handler, 200, {})
            return
        expected = handler.headers.get("X-Geraniumwell-Expect-Instance")
        if expected not in (None, self.args["id"]):
            send_json(handler, 421, {})
            return
        call = json.loads(body or b"{}")
        with self.changed:
            if handler.path == "/run-start" and self.mode == "shed":
                self.write("refused with 503", call["Task"], call["Run"])
                status, answer = 503, {}
            elif call.get("Fence", 0) < self.fence:
                status, answer = 409, {"Reason": "fence"}
            else:
                self.fence = call.get("Fence", 0)
                status, answer = self.execute(handler.path, call)
            answer |= {"ClockMs": clock_ms(), "born": self.born_ms}
        send_json(handler, status, answer)

    def execute(self, path: str, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out one order; the lock is held."""
        match path:
            case "/run-start":
                return self.start(call)
            case "/run-stop":
                return self.stop(call)
            case "/hold":
                return self.hold(call)
        return 404, {}

    def extend(self, call: dict[str, Any]) -> None:
        """Extend the lease; it never shortens and is cut to the limit."""
        now = clock_ms()
        if now >= self.deadline_ms:
            for end in self.ended:
                end.has_lapsed = True
        wanted = min(call.get("DeadlineMs", 0), now + LEASE_LIMIT_MS)
        self.deadline_ms = max(self.deadline_ms, wanted)

    def start(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Begin a run."""
        name, run = call["Task"], call["Run"]
        current = self.runs.get(name)
        if current is not None and current.run == run:
            return 200, {}
        if run <= self.highest.get(name, 0):
            self.extend(call)
            return 409, {"Reason": "old"}
        if call["DeadlineMs"] <= clock_ms():
            return 409, {"Reason": "late"}
        self.extend(call)
        self.highest[name] = run
        now = time.monotonic()
        seconds, how = find_work(call["Spec"], name, run)
        ends_at = None if seconds is None else now + seconds
        self.runs[name] = Run(name, run, now, ends_at, how)
        self.write("start", name, run)
        self.changed.notify_all()
        return 200, {}

    def stop(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stop a run, or refuse it for the future."""
        name, run = call["Task"], call["Run"]
        self.highest[name] = max(self.highest.get(name, 0), run)
        current = self.runs.get(name)
        if current is not None and current.run <= run and current.stop_at is None:
            current.stop_at = time.monotonic() + STOP_SECONDS
            self.write("stop ordered", name, current.run)
            self.changed.notify_all()
        return 200, {}

    def hold(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Extend the lease, forget ends, and list the runs."""
        limit = time.monotonic() + min(call.get("WaitMs", 0), 2_000) / 1_000
        self.extend(call)
        seen = call["LastSeen"]
        for end in self.ended:
            if end.number <= seen:
                what = "forgotten after a lapse" if end.has_lapsed else "noted"
                self.write(what, end.task, end.run, end.how)
        self.ended = [end for end in self.ended if end.number > seen]
        while not self.ended and time.monotonic() < limit:
            self.changed.wait(limit - time.monotonic())
        return 200, {
            "Running": [describe(run) for run in self.runs.values()],
            "Ended": [
                [end.number, end.task, end.run, end.how, ""]
                for end in self.ended[:ENDS_PER_ANSWER]
            ],
        }

    def end_due_runs(self) -> None:
        """End runs that are over or stopped, or whose lease has run out."""
        with self.changed:
            while True:
                now = time.monotonic()
                for run in list(self.runs.values()):
                    if how := self.find_end(run, now):
                        self.end(run, how)
                self.changed.wait(0.01 if self.runs else None)

    def find_end(self, run: Run, now: float) -> str:
        """Return how a run ends now; empty if it goes on."""
        if clock_ms() >= self.deadline_ms:
            return "lapsed"
        if run.stop_at is not None and now >= run.stop_at:
            return "stopped"
        return run.how if run.ends_at is not None and now >= run.ends_at else ""

    def end(self, run: Run, how: str) -> None:
        """List the end of a run."""
        del self.runs[run.task]
        self.end_count += 1
        self.ended.append(End(self.end_count, run.task, run.run, how))
        self.write(how, run.task, run.run)
        self.changed.notify_all()

    def is_draining(self) -> bool:
        """Return whether the runner has been asked to leave."""
        return self.mode == "drain"

    def write(self, what: str, task: str, run: int, detail: str = "") -> None:
        """Append a line to the record."""
        line = {
            "at": time.monotonic(),
            "runner": self.args["id"],
            "kind": self.args.get("kind", "a"),
            "what": what,
            "task": task,
            "run": run,
            "detail": detail,
            "fence": self.fence,
        }
        with open(self.args["record"], "a") as out:
            out.write(json.dumps(line) + "\n")

    def register(self) -> None:
        """Write the runner's entry every ``HeartbeatMs`` until the runner has left."""
        entry = {
            "Service": self.args.get("service", "pool"),
            "Address": self.args.get("public", f"127.0.0.1:{self.args['port']}"),
            "Zone": "zone-1",
            "Version": "1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {
                "Cpu": self.args.get("cpu", 128_000),
                "MemMb": self.args.get("mem_mb", 524_288),
                "Gpu": self.args.get("gpu", 8),
            },
            "Labels": [self.args.get("kind", "a"), "rack-1"],
            "born": self.born_ms,
        }
        seconds = self.args.get("heartbeat_ms", HEARTBEAT_MS) / 1_000
        is_draining = False
        while not is_draining:
            self.check_in(entry)
            with self.changed:
                is_draining = self.changed.wait_for(self.is_draining, seconds)
        leaves_at = time.monotonic() + LEAVE_SECONDS
        while (left := leaves_at - time.monotonic()) > 0:
            entry |= {"State": "draining", "RemainingMs": int(left * 1_000)}
            self.check_in(entry)
            time.sleep(min(seconds, left))
        self.write("left", "", 0)
        commit(self.args["store"], {"Remove": [self.find_row()]})
        os._exit(0)

    def find_row(self) -> dict[str, str]:
        """Return the key of the runner's row."""
        return {"Table": "servers", "Key": self.args["id"]}

    def check_in(self, entry: dict[str, Any]) -> None:
        """Write the runner's row."""
        self.seq += 1
        data = json.dumps(entry | {"Seq": self.seq}).encode()
        value = {"Value": b64encode(data).decode()}
        commit(self.args["store"], {"Writes": [self.find_row() | value]})


def clock_ms() -> int:
    """Return the runner's steady clock."""
    return int(time.monotonic() * 1_000)


def describe(run: Run) -> list[Any]:
    """Return the row of a run."""
    worked = time.monotonic() - run.began_at
    if run.ends_at is None:
        percent = 100 if worked >= STARTUP_SECONDS else 1
    else:
        percent = min(99, int(100 * worked / (run.ends_at - run.began_at)))
    return [run.task, run.run, "", percent, 0]


def find_work(spec: str, name: str, run: int) -> tuple[float | None, str]:
    """Return how many seconds a run works and how it ends; None if it lasts."""
    work = json.loads(spec)
    index = int(name.rpartition(".")[2])
    if run == 1 and str(index) in work.get("ends", {}):
        ms, how = work["ends"][str(index)]
        return ms / 1_000, how
    if work.get("lasts"):
        return None, ""
    spread = work.get("spread_ms", 0) * (index * 37 % SPREAD_STEPS) / SPREAD_STEPS
    return (work["ms"] + spread) / 1_000, "done"


def commit(store: str, transaction: dict[str, Any]) -> None:
    """Change the runner's row; the next check-in makes up for a failed one."""
    host, _, port = store.rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=2.0)
    try:
        conn.request("POST", "/rows-tx", json.dumps(transaction))
        conn.getresponse().read()
    except (OSError, HTTPException) as exc:
        print(f"check-in failed: {exc}", file=sys.stderr)
    finally:
        conn.close()


def main() -> None:
    """Run one life of the runner."""
    args = json.loads(sys.argv[1])
    runner = Runner(args, born_ms=int(time.time() * 1_000))
    Thread(target=runner.end_due_runs, daemon=True).start()
    Thread(target=runner.register, daemon=True).start()
    run_server(args["port"], runner.handle)


if __name__ == "__main__":
    main()
