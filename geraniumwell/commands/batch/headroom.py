"""Headroom: idle workers that are reserved for urgent work."""

from geraniumwell.commands.batch.priorities import URGENT_PRIORITY
from geraniumwell.model.batch.capacity import Pool
from geraniumwell.model.batch.unit import Unit

# Share of a service's workers that is reserved. Without it an urgent job would wait for
# a preemption. That takes up to a second, a third of the objective of a short urgent
# job.
HEADROOM_SHARE = 0.16
# Waiting time after which other work may use the headroom of a mostly idle fleet. A job
# that fits may wait no longer than about 3 s there.
HEADROOM_WAIT_SECONDS = 1.5
# Share of accelerators in use below which urgent work finds free capacity elsewhere.
MOSTLY_IDLE_SHARE = 0.5


def choose_headroom(pool: Pool) -> frozenset[str]:
    """Return the names of the idle workers to reserve for urgent work.

    The racks with the most idle workers come first, because urgent gangs run fastest
    inside one rack. Slow workers are chosen last.
    """
    wanted = int(len(pool.capacities) * HEADROOM_SHARE)
    slow = pool.slow_workers
    chosen: list[str] = []
    for is_slow in (False, True):
        usable = {
            rack: [name for name in names if (name in slow) is is_slow]
            for rack, names in pool.idle.items()
        }
        racks = sorted(usable.items(), key=lambda item: (-len(item[1]), item[0]))
        for _, names in racks:
            if len(chosen) >= wanted:
                break
            chosen += sorted(names)[: wanted - len(chosen)]
    return frozenset(chosen)


def is_mostly_idle(pool: Pool) -> bool:
    """Return whether most of the accelerators of a pool are free."""
    return pool.free > (1.0 - MOSTLY_IDLE_SHARE) * pool.accelerators


def may_use_headroom(pool: Pool, unit: Unit, now: float) -> bool:
    """Return whether a unit may use the headroom.

    Urgent work always may. Other work may after a waiting time in a mostly idle fleet:
    small tasks on many workers can leave so few idle workers that a large gang would
    wait forever beside the reserved ones.
    """
    if unit.priority == URGENT_PRIORITY:
        return True
    if now - unit.waiting_since < HEADROOM_WAIT_SECONDS:
        return False
    return is_mostly_idle(pool)
