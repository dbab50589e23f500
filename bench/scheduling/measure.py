"""Time the decisions of one version of the package; prints JSON.

The parent runs it once for each version, with the version's folder on the path.
"""

import sys
from statistics import median
from time import perf_counter

from msgspec.json import encode

from bench.fleet import WALL_OFFSET_SECONDS
from bench.scheduling.world import make_world
from geraniumwell.commands.batch.planning import plan

ROUND_SECONDS = 0.02
WARM_UP_ROUNDS = 100
SEED = 1


def measure(size: int, rounds: int) -> dict[str, float]:
    """Return milliseconds of a round and of a look, as medians."""
    world = make_world(size, SEED)
    round_times: list[float] = []
    look_times: list[float] = []
    for number in range(WARM_UP_ROUNDS + rounds):
        world.now += ROUND_SECONDS
        world.refill()
        for name in world.find_due():
            report = world.make_report(name)
            begin = perf_counter()
            world.apply(name, report)
            look_times.append(perf_counter() - begin)
        begin = perf_counter()
        orders = plan(world.cluster, world.now, WALL_OFFSET_SECONDS + world.now)
        round_times.append(perf_counter() - begin)
        world.carry_out(orders)
        if number == WARM_UP_ROUNDS:
            round_times.clear()
            look_times.clear()
    ordered = sorted(round_times)
    return {
        "round": median(round_times) * 1000,
        "round_p95": ordered[int(len(ordered) * 0.95)] * 1000,
        "look": median(look_times) * 1000,
    }


if __name__ == "__main__":
    sizes = [int(text) for text in sys.argv[2].split(",")]
    found = {str(size): measure(size, int(sys.argv[1])) for size in sizes}
    sys.stdout.buffer.write(encode(found))
