"""Invariants from the users' pages, checked on what callers and workers observed."""

from collections import Counter
from dataclasses import dataclass, field

from soak.events import (
    Cancelled,
    Event,
    JobShape,
    KeySeen,
    RunSeen,
    StateSeen,
    Submitted,
    WorkerEnded,
)

WORKER_ACCELERATORS = 8
ENDED_STATES = ("done", "failed", "cancelled")
STATUS_OK = 200
STATUS_NOT_FOUND = 410
# Statuses of a job that was not accepted and must never run.
REFUSAL_STATUSES = (401, 404, 429, 503)
ENDS = ("done", "failed", "stopped", "lapsed")


@dataclass(slots=True)
class JobHistory:
    """Observations of one job.

    Parameters
    ----------
    submit_statuses : Counter
        Statuses of the attempts to submit it.
    last_state : str
        Last state that a query returned.
    is_cancelled : bool
        Whether an attempt to cancel it may have taken effect.
    not_found_at : float or None
        When a caller that cancelled it was told that there is no such job.
    last_start_at : float
        When a worker started one of its tasks last; 0 before the first start.
    """

    shape: JobShape
    submit_statuses: Counter[int] = field(default_factory=Counter)
    last_state: str = ""
    is_cancelled: bool = False
    not_found_at: float | None = None
    last_start_at: float = 0.0


@dataclass(slots=True, frozen=True)
class Run:
    """A run of a task, as its worker recorded it."""

    task: str
    run: int
    worker: str


@dataclass(slots=True)
class InvariantChecker:
    """Applies events and collects violations of the invariants.

    Parameters
    ----------
    restarts : list
        Starts of tasks that had already been done, with the runs that were done.
    acknowledged_runs : set of Run
        Runs whose end was acknowledged to the worker.
    accepted_keys, refused_keys : set
        Keys, with daemon and process, that a process accepted, and that it refused
        after that. A process may refuse a new key before it has accepted it.
    """

    jobs: dict[str, JobHistory] = field(default_factory=dict)
    running: dict[str, list[Run]] = field(default_factory=dict)
    done_runs: dict[str, set[Run]] = field(default_factory=dict)
    acknowledged_runs: set[Run] = field(default_factory=set)
    restarts: list[tuple[Run, frozenset[Run]]] = field(default_factory=list)
    accepted_keys: set[tuple[str, int, int]] = field(default_factory=set)
    refused_keys: set[tuple[str, int, int]] = field(default_factory=set)
    failures: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def apply(self, event: Event) -> None:
        """Record an event and check the invariants that it can violate."""
        self.counts[type(event).__name__] += 1
        match event:
            case Submitted(shape, status):
                history = self.jobs.setdefault(shape.job, JobHistory(shape))
                history.submit_statuses[status] += 1
            case Cancelled():
                self._apply_cancellation(event)
            case StateSeen():
                self._apply_state(event)
            case KeySeen():
                self._apply_key(event)
            case RunSeen(what="start"):
                self._apply_start(event)
            case RunSeen(what="noted"):
                self.acknowledged_runs.add(Run(event.task, event.run, event.worker))
            case RunSeen():
                self._apply_end(event)
            case WorkerEnded(worker):
                for runs in self.running.values():
                    runs[:] = [run for run in runs if run.worker != worker]

    def _apply_cancellation(self, event: Cancelled) -> None:
        history = self.jobs[event.job]
        # Without a response it may have taken effect. With 410 it cancels a job that is
        # stored later.
        history.is_cancelled |= event.status in (0, 200, 410, 504)
        if event.status == STATUS_NOT_FOUND and history.not_found_at is None:
            history.not_found_at = event.answered_at

    def _apply_state(self, event: StateSeen) -> None:
        history = self.jobs[event.job]
        if event.status == 410 and history.submit_statuses[STATUS_OK]:
            self._report(f"LOST: {event.job} was accepted but is unknown")
        if event.status != STATUS_OK:
            return
        if history.last_state in ENDED_STATES and event.state != history.last_state:
            self._report(
                f"{event.job} was {history.last_state} and is now {event.state}"
            )
        history.last_state = event.state
        if event.state == "done":
            missing = [t for t in list_tasks(history.shape) if not self._is_done(t)]
            if missing:
                self._report(f"MIXED: {event.job} is shown as done without {missing}")
        if event.state == "failed" and not self._has_failed(history):
            self._report(f"LOST: {event.job} is shown as failed without cause")
        if event.state == "cancelled" and not history.is_cancelled:
            self._report(f"LOST: {event.job} is shown as cancelled without cause")

    def _apply_key(self, event: KeySeen) -> None:
        key = (event.daemon, event.process, event.key_number)
        if event.status == STATUS_OK:
            self.accepted_keys.add(key)
            if key in self.refused_keys:
                text = f"CONFIG: {event.daemon} went back to key {event.key_number}"
                self._report(text)
        elif event.status == 401 and key in self.accepted_keys:
            self.refused_keys.add(key)

    def _apply_start(self, event: RunSeen) -> None:
        run = Run(event.task, event.run, event.worker)
        history = self.jobs.get(event.task.partition(".")[0])
        if history is None:
            self._report(f"UNASKED: {event.task} starts but was never submitted")
            return
        history.last_start_at = max(history.last_start_at, event.at)
        for other in self.running.setdefault(event.task, []):
            self._report(f"TWICE: {event.task} starts as {run} beside {other}")
        if earlier := self.done_runs.get(event.task):
            self.restarts.append((run, frozenset(earlier)))
        self._check_order(history.shape, event.task)
        self.running[event.task].append(run)
        self._check_accelerators(event.worker)

    def _check_order(self, shape: JobShape, task: str) -> None:
        step = int(task.split(".")[2])
        for earlier in list_tasks(shape):
            if int(earlier.split(".")[2]) < step and not self._is_done(earlier):
                self._report(f"ORDER: {task} starts before {earlier} is done")

    def _check_accelerators(self, worker: str) -> None:
        used = sum(
            self._find_accelerators(run.task)
            for runs in self.running.values()
            for run in runs
            if run.worker == worker
        )
        if used > WORKER_ACCELERATORS:
            self._report(f"LIMIT: {worker} uses {used} accelerators")

    def _apply_end(self, event: RunSeen) -> None:
        run = Run(event.task, event.run, event.worker)
        runs = self.running.get(event.task, [])
        if run in runs:
            runs.remove(run)
        if event.what == "done":
            self.done_runs.setdefault(event.task, set()).add(run)
        if event.what == "failed":
            self.failures[event.task] += 1

    def _is_done(self, task: str) -> bool:
        return bool(self.done_runs.get(task))

    def _has_failed(self, history: JobHistory) -> bool:
        return any(self.failures[task] >= 3 for task in list_tasks(history.shape))

    def _find_accelerators(self, task: str) -> int:
        job, _, step, _ = task.split(".")
        return self.jobs[job].shape.steps[int(step)][1]

    def _report(self, text: str) -> None:
        if text not in self.violations:
            self.violations.append(text)

    def list_unfinished_jobs(self) -> list[str]:
        """Return the accepted jobs that no query has shown as ended."""
        return [
            job
            for job, history in self.jobs.items()
            if history.submit_statuses[STATUS_OK]
            and history.last_state not in ENDED_STATES
        ]

    def check_rows(self, keys: list[str]) -> None:
        """Check that no rows of jobs are left after their retention time."""
        if keys:
            self._report(f"LEAK: the rows {sorted(keys)[:10]} of jobs were not removed")

    def check_at_end(self) -> None:
        """Check the invariants that can be decided only at the end."""
        for job in self.list_unfinished_jobs():
            self._report(f"LOST: {job} was accepted but has not ended")
        for run, earlier in self.restarts:
            # An end that was not acknowledged may have been lost with its worker.
            if earlier & self.acknowledged_runs:
                self._report(f"TWICE: {run} starts after it was done")
        for job, history in self.jobs.items():
            cancelled_at = history.not_found_at
            if cancelled_at is not None and history.last_start_at > cancelled_at:
                self._report(f"UNASKED: {job} starts after a cancellation got 410")
            tasks = list_tasks(history.shape)
            is_refused = all(
                status in REFUSAL_STATUSES for status in history.submit_statuses
            )
            if is_refused and any(task in self.running for task in tasks):
                self._report(
                    f"REFUSED: {job} runs although each submission was refused"
                )


def list_tasks(shape: JobShape) -> list[str]:
    """Return the names of all tasks of a job."""
    return [
        f"{shape.job}.0.{step}.{index}"
        for step, (count, _) in enumerate(shape.steps)
        for index in range(count)
    ]
