"""Faults that the soak test injects, and their random schedule."""

from dataclasses import dataclass
from random import Random

STORE_FAULTS = ("busy", "silent", "slow", "lose_answers", "lose_answers_late")
WORKER_FAULTS = ("fail", "shed", "hang", "silent", "late")
# Kinds of requests that clients begin and don't end.
LOAD_KINDS = (
    "a whole body",
    "chunks of 64 KiB",
    "chunks of one byte",
    "a long header line",
    "a body without a key",
)
LOAD_INTERVAL_SECONDS = 8.0
PATH_FAULTS = ("both", "to_server", "to_client", "silence", "reset")
# Shorter than most faults last, so that faults overlap.
MEAN_INTERVAL_SECONDS = 1.5
MIN_FAULT_SECONDS = 0.5
MAX_FAULT_SECONDS = 6.0
# Longest delay after which an order may still be executed, from the users' pages.
LATE_EXECUTION_SECONDS = 3.0


@dataclass(slots=True, frozen=True)
class KillDaemon:
    """Kill a daemon and start it again."""

    daemon: str


@dataclass(slots=True, frozen=True)
class StopDaemon:
    """Send SIGTERM to a daemon and start it again later."""

    daemon: str


@dataclass(slots=True, frozen=True)
class PauseDaemon:
    """Suspend a daemon for a while."""

    daemon: str


@dataclass(slots=True, frozen=True)
class SignalReload:
    """Send SIGHUP to a daemon."""

    daemon: str


@dataclass(slots=True, frozen=True)
class CutPath:
    """Cut, silence or reset the path from a daemon to the store, or to a worker."""

    name: str
    how: str


@dataclass(slots=True, frozen=True)
class KillWorker:
    """Kill a worker with all its tasks; it starts again under the same id."""

    worker: str


@dataclass(slots=True, frozen=True)
class BreakWorker:
    """Let a worker misbehave in a given mode for a while."""

    worker: str
    mode: str


@dataclass(slots=True, frozen=True)
class BreakStore:
    """Let the store misbehave in a given mode for a while."""

    mode: str


@dataclass(slots=True, frozen=True)
class CompactStore:
    """Let the store compact its history."""


@dataclass(slots=True, frozen=True)
class ChangeKeys:
    """Let the operator replace the callers' second key with a new one."""


@dataclass(slots=True, frozen=True)
class LoadDaemon:
    """Let clients begin requests to a daemon, never end them and stay connected."""

    daemon: str
    kind: str


Fault = (
    KillDaemon
    | StopDaemon
    | PauseDaemon
    | SignalReload
    | CutPath
    | KillWorker
    | BreakWorker
    | BreakStore
    | CompactStore
    | ChangeKeys
    | LoadDaemon
)


@dataclass(slots=True, frozen=True)
class PlannedFault:
    """A fault, with its time after the start of the soak test and its duration."""

    at: float
    seconds: float
    fault: Fault


def draw_schedule(
    random: Random, seconds: float, daemons: list[str], workers: list[str]
) -> list[PlannedFault]:
    """Return the faults of a soak test of ``seconds``, sorted by time.

    Each target has at most one fault at a time; faults of different targets overlap.
    """
    planned: list[PlannedFault] = []
    free_at: dict[str, float] = {}
    now = 0.0
    while (now := now + random.expovariate(1 / MEAN_INTERVAL_SECONDS)) < seconds:
        duration = random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        target, fault = draw_fault(random, daemons, workers)
        if free_at.get(target, 0.0) > now:
            continue
        free_at[target] = now + duration
        planned.append(PlannedFault(now, duration, fault))
    # Drawn after the others, so that the seeds of earlier runs still give their faults.
    planned += draw_client_loads(random, seconds, daemons)
    return sorted(planned, key=lambda item: item.at)


def draw_client_loads(
    random: Random, seconds: float, daemons: list[str]
) -> list[PlannedFault]:
    """Return client loads, one at a time."""
    planned: list[PlannedFault] = []
    now = random.uniform(0, LOAD_INTERVAL_SECONDS)
    while now < seconds:
        duration = random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        fault = LoadDaemon(random.choice(daemons), random.choice(LOAD_KINDS))
        planned.append(PlannedFault(now, duration, fault))
        now += LOAD_INTERVAL_SECONDS
    return planned


def draw_fault(
    random: Random, daemons: list[str], workers: list[str]
) -> tuple[str, Fault]:
    """Return the name of a random target and a fault for it."""
    daemon, worker = random.choice(daemons), random.choice(workers)
    path = random.choice(daemons + workers)
    cut = CutPath(path, random.choice(PATH_FAULTS))
    candidates: list[tuple[str, Fault]] = [
        (daemon, KillDaemon(daemon)),
        (daemon, StopDaemon(daemon)),
        (daemon, PauseDaemon(daemon)),
        (daemon, SignalReload(daemon)),
        (f"path of {path}", cut),
        (worker, KillWorker(worker)),
        (worker, BreakWorker(worker, random.choice(WORKER_FAULTS))),
        ("store", BreakStore(random.choice(STORE_FAULTS))),
        ("history", CompactStore()),
        ("keys", ChangeKeys()),
    ]
    return random.choice(candidates)
