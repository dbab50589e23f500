"""Policies that one benchmark run compares."""

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
WHOLE = "whole policy"

EASY_LEARNED = replace(FIFO_FIRST_FIT, backfill=EasyBackfill())

# Each step on its own, added to the first baseline; moves need backfill's estimate
# of when the head of the queue would start without them.
STEPS: dict[str, Policy] = {
    "+ buddy cells": replace(FIFO_FIRST_FIT, packing=BuddyCells()),
    "+ ageing": replace(FIFO_FIRST_FIT, order=AgedOrder()),
    "+ easy, corrected times": EASY_LEARNED,
    "+ easy and moves": replace(EASY_LEARNED, defragmentation=MoveForGain()),
    "+ guarantees": replace(
        FIFO_FIRST_FIT, guard=KeepReclaimable(), preemption=LeastLostWork()
    ),
}

# The whole policy without one part, which shows what the part adds at the end.
WITHOUT: dict[str, Policy] = {
    "whole - buddy cells": replace(Policy(), packing=FirstFit()),
    "whole - ageing": replace(Policy(), order=FifoOrder()),
    "whole - corrected times": replace(
        Policy(), backfill=EasyBackfill(trust_declared=True)
    ),
    "whole - moves": replace(Policy(), defragmentation=NoDefragmentation()),
}

MAIN: dict[str, Policy] = {
    BASE: FIFO_FIRST_FIT,
    BEST_FIT: FIFO_BEST_FIT,
    "easy, declared times": EASY_DECLARED,
    WHOLE: Policy(),
}


def list_variants(size: str) -> dict[str, Policy]:
    """Return the variants of a size; steps are compared on one size only."""
    return MAIN | STEPS | WITHOUT if size == "chifre" else MAIN
