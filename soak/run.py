"""One run of the soak test: starts processes, injects faults and checks invariants."""

import json
from dataclasses import dataclass
from math import inf
from pathlib import Path
from queue import Empty, SimpleQueue
from random import Random
from time import monotonic, sleep

from geraniumwell.const import (
    JOB_PARTITIONS,
    PARTITION_SCHEDULE,
    TABLE_JOBS,
    TABLE_PROGRESS,
)
from soak.callers import POLL_TIMEOUT_SECONDS, Caller, KeyProber
from soak.events import Event, JobShape, RunSeen
from soak.faults import PlannedFault, draw_schedule
from soak.injector import Injector
from soak.invariants import InvariantChecker, JobHistory
from tests.support.batch_processes import Installation, start_installation

TASK_SECONDS = 0.6
LOOP_INTERVAL_SECONDS = 0.05
# Allows for leases of 10 s and for stalled tasks, which are given up after 6 s.
SETTLE_TIMEOUT_SECONDS = 90.0
DEFAULT_RESULT_SECONDS = 120.0
# Added to twice the retention time; a failed removal is repeated after 5 s.
REMOVAL_TIMEOUT_SECONDS = 20.0


@dataclass(slots=True, frozen=True)
class SoakConfig:
    """Size and duration of a run.

    Parameters
    ----------
    seconds : float
        Time during which faults are injected.
    result_seconds : float
        Retention time of results. Less than the default makes the daemons remove jobs
        during the run; callers then ask for a job until they know its end, and the rows
        of all jobs have to be gone in the end.
    """

    seed: int
    seconds: float
    daemons: int = 3
    workers: int = 4
    callers: int = 4
    result_seconds: float = DEFAULT_RESULT_SECONDS

    @property
    def has_removals(self) -> bool:
        """Whether jobs are removed during the run."""
        return self.result_seconds < DEFAULT_RESULT_SECONDS


class SoakRun:
    """One run of the soak test, with its callers, fault injector and checker."""

    __slots__ = (
        "_callers",
        "_cfg",
        "_injector",
        "_inbox",
        "_key_prober",
        "_record_offset",
        "_installation",
        "checker",
    )

    def __init__(self, installation: Installation, cfg: SoakConfig) -> None:
        self._installation = installation
        self._cfg = cfg
        self._inbox: SimpleQueue[Event | JobShape] = SimpleQueue()
        self._record_offset = 0
        self.checker = InvariantChecker()
        self._key_prober = KeyProber(installation, self._inbox)
        self._injector = Injector(installation, self._inbox.put, self._key_prober.add)
        poll_seconds = inf if cfg.has_removals else POLL_TIMEOUT_SECONDS
        self._callers = [
            Caller(installation, number, cfg.seed, self._inbox, poll_seconds)
            for number in range(cfg.callers)
        ]

    def run(self, schedule: list[PlannedFault], seconds: float) -> None:
        """Inject the faults of a schedule while callers submit jobs."""
        for thread in (self._key_prober, *self._callers):
            thread.start()
        begin = monotonic()
        ends: list[tuple[float, PlannedFault]] = []
        remaining = list(schedule)
        while (now := monotonic() - begin) < seconds or ends:
            while remaining and remaining[0].at <= now:
                item = remaining.pop(0)
                print(f"{now:7.2f} s  {item.fault}", flush=True)
                self._injector.begin(item.fault)
                ends.append((item.at + item.seconds, item))
            for end in [pair for pair in ends if pair[0] <= now]:
                ends.remove(end)
                self._injector.end(end[1].fault)
            self._apply_events()
            sleep(LOOP_INTERVAL_SECONDS)
        self._settle()

    def _settle(self) -> None:
        """Wait, without faults, until all accepted jobs have ended."""
        for thread in (self._key_prober, *self._callers):
            thread.stop()
        caller = self._callers[0]
        deadline = monotonic() + SETTLE_TIMEOUT_SECONDS
        self._apply_events()
        while (
            unfinished := self.checker.list_unfinished_jobs()
        ) and monotonic() < deadline:
            for job in unfinished:
                caller.query_state(job)
            sleep(LOOP_INTERVAL_SECONDS)
            self._apply_events()
        self.checker.check_at_end()
        if self._cfg.has_removals:
            self._check_removals()

    def _check_removals(self) -> None:
        """Wait until the rows of all jobs are removed."""
        wait_seconds = 2 * self._cfg.result_seconds + REMOVAL_TIMEOUT_SECONDS
        deadline = monotonic() + wait_seconds
        while (keys := self._list_job_rows()) and monotonic() < deadline:
            sleep(LOOP_INTERVAL_SECONDS)
        self.checker.check_rows(keys)

    def _list_job_rows(self) -> list[str]:
        tables = [(TABLE_JOBS, part) for part in JOB_PARTITIONS]
        tables.append((TABLE_PROGRESS, PARTITION_SCHEDULE))
        return [
            row["Key"]
            for table, part in tables
            for row in self._installation.list_rows(table, part)
        ]

    def _apply_events(self) -> None:
        """Apply the observed events so that causes precede their effects.

        The shapes of jobs come first, because starts refer to them. What callers saw
        before the workers' record was read comes after that record; what they saw
        later is left for the next call.
        """
        first_events = self._drain()
        run_events = self._read_record()
        later_events = self._drain()
        for event in first_events + later_events:
            if isinstance(event, JobShape):
                self.checker.jobs.setdefault(event.job, JobHistory(event))
        for event in run_events:
            self.checker.apply(event)
        for event in first_events:
            if not isinstance(event, JobShape):
                self.checker.apply(event)
        for event in later_events:
            if not isinstance(event, JobShape):
                self._inbox.put(event)

    def _drain(self) -> list[Event | JobShape]:
        found: list[Event | JobShape] = []
        while True:
            try:
                found.append(self._inbox.get_nowait())
            except Empty:
                return found

    def _read_record(self) -> list[RunSeen]:
        path = self._installation.record_path
        if not path.exists():
            return []
        with path.open() as file:
            file.seek(self._record_offset)
            text = file.read()
        # The last line may not be complete yet.
        complete = text[: text.rfind("\n") + 1]
        self._record_offset += len(complete.encode())
        lines = [json.loads(line) for line in complete.splitlines()]
        lines.sort(key=lambda line: line["at"])
        return [
            RunSeen(ln["at"], ln["what"], ln["task"], ln["run"], ln["worker"])
            for ln in lines
        ]


def run_soak(cfg: SoakConfig, folder: Path) -> InvariantChecker:
    """Run the soak test with one seed; logs of the daemons stay in ``folder``."""
    settings = {"result_seconds": cfg.result_seconds}
    installation = start_installation(
        cfg.daemons,
        cfg.workers,
        TASK_SECONDS,
        is_proxied=True,
        folder=folder,
        settings=settings,
    )
    try:
        schedule = draw_schedule(
            Random(cfg.seed),
            cfg.seconds,
            list(installation.daemons),
            list(installation.workers),
        )
        soak = SoakRun(installation, cfg)
        soak.run(schedule, cfg.seconds)
        return soak.checker
    finally:
        installation.close()
