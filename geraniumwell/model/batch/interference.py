"""Evidence of how much tasks of one kind slow down tasks of another on one worker."""

from collections import deque
from dataclasses import dataclass, field

from geraniumwell.model.batch.speed import RateSample

# Limits of the table, which is stored in one row.
KIND_LIMIT = 64
PAIR_LIMIT = 512
# Number of workers whose evidence a pair keeps. A majority of them has to agree, so a
# single worker that is slowed or reports wrong figures decides nothing.
WORKER_LIMIT = 5
# Samples that wait for the next evaluation. The limits bound its time.
TAIL_LIMIT = 1_000
# Tails that are kept of the tasks of one kind on one worker.
TAILS_PER_WORKER = 20
NEW_RATE_LIMIT = 128
CHANGE_LIMIT = 64

# Kind of a task, kind of a neighbour that may slow it down, and whether the evidence is
# about tails: rates and tails of one kind aren't comparable.
KindPair = tuple[str, str, bool]


@dataclass(slots=True, frozen=True)
class TailSample:
    """Reported tail of the response times of a task with a latency target.

    Parameters
    ----------
    log_share : float
        Natural logarithm of the tail as a share of the target.
    """

    kind: str
    worker: str
    neighbours: frozenset[str]
    log_share: float
    measured_at: float


# Recent tails by kind and worker, the oldest first. The worker with the latest one is
# the last.
Tails = dict[str, dict[str, deque[TailSample]]]


@dataclass(slots=True)
class WorkerEvidence:
    """Evidence of one worker about a pair.

    Parameters
    ----------
    effect : float
        Mean logarithm of the slowdown.
    weight : float
        Number of samples, in which earlier ones count less.
    updated_at : float
        Monotonic time of the last sample.
    """

    effect: float
    weight: float
    updated_at: float


@dataclass(slots=True)
class PairEvidence:
    """What is known of a pair of kinds.

    Parameters
    ----------
    workers : dict
        Evidence by worker.
    is_known : bool
        Whether the pair counts as disturbing.
    """

    workers: dict[str, WorkerEvidence] = field(default_factory=dict)
    is_known: bool = False


@dataclass(slots=True, frozen=True)
class Slowdown:
    """Estimated slowdown of one kind by another.

    Parameters
    ----------
    factor : float
        How many times as long the tasks take, or their tail latency is.
    confidence : float
        Probability that the slowdown matters.
    weight : float
        Number of samples, in which earlier ones count less.
    workers : int
        Number of workers with evidence.
    age_seconds : float
        Time since the last sample.
    """

    factor: float = 1.0
    confidence: float = 0.0
    weight: float = 0.0
    workers: int = 0
    age_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class PairChange:
    """A pair became known as disturbing, or is no longer."""

    pair: KindPair
    is_known: bool
    slowdown: Slowdown


@dataclass(slots=True)
class PaceState:
    """Control of the pace of the fillers on one worker with serving tasks.

    Parameters
    ----------
    over_since, halted_since : float or None
        Time since which a target is exceeded, and since which the fillers stand still
        by order; None if that is not so.
    calm_since : float or None
        Time since which all tails are well below their targets.
    wait_seconds : float
        Calm time before the next increase.
    lowered_at, raised_at : float
        Time of the last decrease, and of the last increase.
    """

    over_since: float | None = None
    halted_since: float | None = None
    calm_since: float | None = None
    wait_seconds: float = 0.0
    lowered_at: float = 0.0
    raised_at: float = 0.0


@dataclass(slots=True)
class InterferenceTable:
    """Evidence about pairs of kinds, and what the scheduler derives from it.

    Parameters
    ----------
    pairs : dict
        Evidence by slowed kind and neighbour.
    opponents : dict
        For each kind of a known pair, the kinds to keep it apart from.
    new_rates, new_tails : deque
        Samples that were not evaluated yet.
    tails : dict
        Recent tails by kind and worker, the references of new ones.
    tail_clocks : dict
        Clock of each worker at its last sampled tails.
    paces : dict
        Control state of the workers that run both fillers and serving tasks.
    changes : deque
        Changes that were not logged yet.
    has_unsaved_changes : bool
        Whether the evidence has changed since it was last stored.
    is_stored : bool
        Whether the stored row contains any pairs.
    is_tail_turn : bool
        Whether the next evaluation is of tails.
    evaluated_at, saved_at : float
        Time of the last evaluation, and of the last transaction with the row.
    """

    pairs: dict[KindPair, PairEvidence] = field(default_factory=dict)
    opponents: dict[str, frozenset[str]] = field(default_factory=dict)
    new_rates: deque[RateSample] = field(
        default_factory=lambda: deque(maxlen=NEW_RATE_LIMIT)
    )
    new_tails: deque[TailSample] = field(
        default_factory=lambda: deque(maxlen=TAIL_LIMIT)
    )
    tails: Tails = field(default_factory=dict)
    tail_clocks: dict[str, int] = field(default_factory=dict)
    paces: dict[str, PaceState] = field(default_factory=dict)
    changes: deque[PairChange] = field(
        default_factory=lambda: deque(maxlen=CHANGE_LIMIT)
    )
    has_unsaved_changes: bool = False
    is_stored: bool = False
    is_tail_turn: bool = False
    evaluated_at: float = 0.0
    saved_at: float = 0.0
