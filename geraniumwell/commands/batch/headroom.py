"""Whole workers that are kept free for urgent work."""

from geraniumwell.commands.batch.priorities import URGENT_PRIORITY
from geraniumwell.model.batch.capacity import Pool
from geraniumwell.model.batch.unit import Unit

# Share of a service's workers that other work leaves free. Reclaiming takes up to a
# second, which is a third of the objective of a short urgent job.
HEADROOM_SHARE = 0.16
# A job that fits may wait no longer than some 3 s while the fleet is mostly idle.
HEADROOM_YIELD_SECONDS = 1.5
# Share of accelerators in use below which urgent work finds room elsewhere.
MOSTLY_IDLE_SHARE = 0.5


def choose_headroom(pool: Pool) -> frozenset[str]:
    """Return the idle workers that only urgent work may use.

    They are taken from the racks with most idle workers, because urgent gangs want to
    run inside one rack.
    """
    wanted = int(len(pool.rooms) * HEADROOM_SHARE)
    held: list[str] = []
    racks = sorted(pool.idle.items(), key=lambda item: (-len(item[1]), item[0]))
    for _, names in racks:
        if len(held) >= wanted:
            break
        held += sorted(names)[: wanted - len(held)]
    return frozenset(held)


def may_use_headroom(pool: Pool, unit: Unit, now: float) -> bool:
    """Tell whether a unit may use the held workers.

    Small tasks on many workers can leave so few whole ones that a large gang would
    wait for ever beside those that are held.
    """
    if unit.priority == URGENT_PRIORITY:
        return True
    if now - unit.waiting_since < HEADROOM_YIELD_SECONDS:
        return False
    return pool.free > (1.0 - MOSTLY_IDLE_SHARE) * pool.accelerators
