"""Whole workers that are kept free for urgent work."""

from geraniumwell.commands.batch.reclaim import URGENT_PRIORITY
from geraniumwell.commands.batch.room import Room
from geraniumwell.model.batch.cluster import Unit
from geraniumwell.model.batch.worker import WorkerState

# Share of a service's workers that other work leaves free. Reclaiming takes up to a
# second, which is a third of the objective of a short urgent job.
HEADROOM_SHARE = 0.16


def find_held(rooms: list[Room], service: str) -> frozenset[str]:
    """Return the idle workers that only urgent work may use.

    They are taken from the racks with most idle workers, because urgent gangs want to
    run inside one rack.
    """
    own = [room for room in rooms if room.worker.entry.service == service]
    wanted = int(len(own) * HEADROOM_SHARE)
    by_rack: dict[str, list[str]] = {}
    for room in own:
        if not room.worker.tasks and room.worker.state is WorkerState.READY:
            by_rack.setdefault(room.worker.entry.rack, []).append(room.worker.entry.id)
    held: list[str] = []
    for _, names in sorted(by_rack.items(), key=lambda item: (-len(item[1]), item[0])):
        held += sorted(names)[: wanted - len(held)]
    return frozenset(held)


def leave_headroom(rooms: list[Room], unit: Unit, held: frozenset[str]) -> list[Room]:
    """Return the workers that a unit may use."""
    if unit.priority == URGENT_PRIORITY or not held:
        return rooms
    return [room for room in rooms if room.worker.entry.id not in held]
