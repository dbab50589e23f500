"""Policies for the scheduling of gang jobs; each aspect is chosen on its own."""

from dataclasses import dataclass, field, replace


@dataclass(slots=True, frozen=True)
class FifoOrder:
    """Try waiting jobs in the order of their submission."""


@dataclass(slots=True, frozen=True)
class AgedOrder:
    """Try short jobs first, but move jobs up as they wait.

    The larger ``age_factor`` is, the more the time that a job has waited counts against
    its size.
    """

    age_factor: float = 1.0


Order = FifoOrder | AgedOrder


@dataclass(slots=True, frozen=True)
class FirstFit:
    """Choose the first worker that fits, by rack and name."""


@dataclass(slots=True, frozen=True)
class BestFit:
    """Choose the worker with the fewest free accelerators that fits."""


@dataclass(slots=True, frozen=True)
class BuddyCells:
    """Choose the smallest free aligned block, in the fullest rack."""


Packing = FirstFit | BestFit | BuddyCells


@dataclass(slots=True, frozen=True)
class NoBackfill:
    """Start no job behind one that does not fit."""


@dataclass(slots=True, frozen=True)
class EasyBackfill:
    """Start later jobs if they don't delay the first job that does not fit.

    That job gets a reservation. With ``trust_declared`` the declared run times are used
    as they are, also for jobs that have exceeded them.
    """

    trust_declared: bool = False


Backfill = NoBackfill | EasyBackfill


@dataclass(slots=True, frozen=True)
class NoPreemption:
    """Never stop a running job for another one."""


@dataclass(slots=True, frozen=True)
class LeastLostWork:
    """Stop the jobs that lose the least work, for guarantee claims and urgent jobs."""


Preemption = NoPreemption | LeastLostWork


@dataclass(slots=True, frozen=True)
class IgnoreGuarantees:
    """Place jobs without regard to guarantees, as the baseline policies do."""


@dataclass(slots=True, frozen=True)
class KeepReclaimable:
    """Place a job only if every guarantee stays reclaimable."""


Guard = IgnoreGuarantees | KeepReclaimable


@dataclass(slots=True, frozen=True)
class NoDefragmentation:
    """Never move running jobs."""


@dataclass(slots=True, frozen=True)
class MoveForGain:
    """Move running jobs when the gain is at least ``ratio`` times the cost.

    Gain and cost are in accelerator seconds.
    """

    ratio: float = 2.0


Defragmentation = NoDefragmentation | MoveForGain


@dataclass(slots=True, frozen=True)
class Policy:
    """One choice for each aspect; the daemons use the defaults."""

    order: Order = field(default_factory=AgedOrder)
    packing: Packing = field(default_factory=BuddyCells)
    backfill: Backfill = field(default_factory=EasyBackfill)
    preemption: Preemption = field(default_factory=LeastLostWork)
    guard: Guard = field(default_factory=KeepReclaimable)
    defragmentation: Defragmentation = field(default_factory=MoveForGain)


FIFO_FIRST_FIT = Policy(
    FifoOrder(),
    FirstFit(),
    NoBackfill(),
    NoPreemption(),
    IgnoreGuarantees(),
    NoDefragmentation(),
)
FIFO_BEST_FIT = replace(FIFO_FIRST_FIT, packing=BestFit())
EASY_DECLARED = replace(FIFO_FIRST_FIT, backfill=EasyBackfill(trust_declared=True))
