"""Whole workers that are kept free for urgent work."""

from geraniumwell.model.batch.room import Pool

# Share of a service's workers that other work leaves free. Reclaiming takes up to a
# second, which is a third of the objective of a short urgent job.
HEADROOM_SHARE = 0.16


def choose_held(pool: Pool) -> frozenset[str]:
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
