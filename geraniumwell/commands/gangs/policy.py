"""Policies of the gang decisions; each part varies on its own."""

from dataclasses import dataclass, field, replace


@dataclass(slots=True, frozen=True)
class FifoOrder:
    """Serve waiting jobs by submission time."""


@dataclass(slots=True, frozen=True)
class AgedOrder:
    """Serve short jobs first; waiting ``age_factor`` of its length moves a job up."""

    age_factor: float = 1.0


Order = FifoOrder | AgedOrder


@dataclass(slots=True, frozen=True)
class FirstFit:
    """Take the first worker, by name, that fits."""


@dataclass(slots=True, frozen=True)
class BestFit:
    """Take the worker with the fewest free accelerators that fits."""


@dataclass(slots=True, frozen=True)
class BuddyCells:
    """Split the smallest free aligned block, in the fullest rack."""


Packing = FirstFit | BestFit | BuddyCells


@dataclass(slots=True, frozen=True)
class NoBackfill:
    """Start nothing past a job that does not fit."""


@dataclass(slots=True, frozen=True)
class EasyBackfill:
    """Start jobs past the first that does not fit, around a reservation for it.

    With ``trust_declared`` the declared run times are taken as they are.
    """

    trust_declared: bool = False


Backfill = NoBackfill | EasyBackfill


@dataclass(slots=True, frozen=True)
class NoPreemption:
    """Never stop running work for other work."""


@dataclass(slots=True, frozen=True)
class LeastLostWork:
    """Stop the work that loses least for claims and urgent jobs."""


Preemption = NoPreemption | LeastLostWork


@dataclass(slots=True, frozen=True)
class IgnoreGuarantees:
    """Place work without regard to guarantees, as the baselines do."""


@dataclass(slots=True, frozen=True)
class KeepReclaimable:
    """Place only what keeps every guarantee reclaimable."""


Guard = IgnoreGuarantees | KeepReclaimable


@dataclass(slots=True, frozen=True)
class NoDefragmentation:
    """Never move running work."""


@dataclass(slots=True, frozen=True)
class MoveForGain:
    """Move work when the gain is at least ``ratio`` times the cost."""

    ratio: float = 2.0


Defragmentation = NoDefragmentation | MoveForGain


@dataclass(slots=True, frozen=True)
class Policy:
    """One choice for each part; the default is what the product runs."""

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
