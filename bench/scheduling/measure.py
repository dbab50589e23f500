"""Measure the decisions of one version of the package; prints JSON.

``bench.scheduling`` runs it once per version, with the version's folder on the path.
"""

import sys
from statistics import median
from time import perf_counter

from msgspec.json import encode

from bench.fleet import WALL_OFFSET_SECONDS
from bench.scheduling.simulation import make_simulation
from geraniumwell.commands.batch.planning import plan

ROUND_SECONDS = 0.02
WARM_UP_ROUNDS = 100
SEED = 1


def measure(worker_count: int, rounds: int) -> dict[str, float]:
    """Return milliseconds of a round and of a poll."""
    simulation = make_simulation(worker_count, SEED)
    round_times: list[float] = []
    poll_times: list[float] = []
    for number in range(WARM_UP_ROUNDS + rounds):
        simulation.now += ROUND_SECONDS
        simulation.refill_backlog()
        for name in simulation.list_due_workers():
            report = simulation.make_report(name)
            started_at = perf_counter()
            simulation.apply_worker_report(name, report)
            poll_times.append(perf_counter() - started_at)
        started_at = perf_counter()
        orders = plan(
            simulation.cluster, simulation.now, WALL_OFFSET_SECONDS + simulation.now
        )
        round_times.append(perf_counter() - started_at)
        simulation.apply_orders(orders)
        if number == WARM_UP_ROUNDS:
            round_times.clear()
            poll_times.clear()
    ordered = sorted(round_times)
    return {
        "round": median(round_times) * 1000,
        "round_p95": ordered[int(len(ordered) * 0.95)] * 1000,
        "look": median(poll_times) * 1000,
    }


if __name__ == "__main__":
    counts = [int(text) for text in sys.argv[2].split(",")]
    figures = {str(n): measure(n, int(sys.argv[1])) for n in counts}
    sys.stdout.buffer.write(encode(figures))
