"""Policies that the benchmark compares."""

from dataclasses import replace

from geraniumwell.commands.gangs.policy import (
    EASY_DECLARED,
    FIFO_BEST_FIT,
    FIFO_FIRST_FIT,
    AgedOrder,
    BuddyCells,
    EasyBackfill,
    FifoOrder,
    FirstFit,
    KeepReclaimable,
    LeastLostWork,
    MoveForGain,
    NoDefragmentation,
    Policy,
)

BASE = "fifo first fit"
BEST_FIT = "fifo best fit"
WHOLE_POLICY = "whole policy"

EASY_LEARNED = replace(FIFO_FIRST_FIT, backfill=EasyBackfill())

# Each step on its own, added to the first baseline. Moves are combined with backfill,
# which estimates when the head of the queue would start without them.
SINGLE_STEPS: dict[str, Policy] = {
    "+ buddy cells": replace(FIFO_FIRST_FIT, packing=BuddyCells()),
    "+ ageing": replace(FIFO_FIRST_FIT, order=AgedOrder()),
    "+ easy, corrected times": EASY_LEARNED,
    "+ easy and moves": replace(EASY_LEARNED, defragmentation=MoveForGain()),
    "+ guarantees": replace(
        FIFO_FIRST_FIT, guard=KeepReclaimable(), preemption=LeastLostWork()
    ),
}

# The whole policy without one step, which shows what this step contributes.
ABLATIONS: dict[str, Policy] = {
    "whole - buddy cells": replace(Policy(), packing=FirstFit()),
    "whole - ageing": replace(Policy(), order=FifoOrder()),
    "whole - corrected times": replace(
        Policy(), backfill=EasyBackfill(trust_declared=True)
    ),
    "whole - moves": replace(Policy(), defragmentation=NoDefragmentation()),
}

MAIN_VARIANTS: dict[str, Policy] = {
    BASE: FIFO_FIRST_FIT,
    BEST_FIT: FIFO_BEST_FIT,
    "easy, declared times": EASY_DECLARED,
    WHOLE_POLICY: Policy(),
}


def list_variants(size: str) -> dict[str, Policy]:
    """Return the variants of a size; single steps are compared on one size only."""
    return (
        MAIN_VARIANTS | SINGLE_STEPS | ABLATIONS if size == "chifre" else MAIN_VARIANTS
    )
