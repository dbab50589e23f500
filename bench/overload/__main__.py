"""Print what share of the worth planning earns under several loads.

``python -m bench.overload [--seeds N] [--loads 0.8,1.0,1.3]`` plays traces of jobs on
sound workers. One row a load: share earned of the whole trace, of each queue, of the
two worst windows of two seconds, and core-seconds thrown away by stops.
"""

from argparse import ArgumentParser
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from statistics import mean

from bench.overload.kinds import KINDS, Arrival, make_trace
from bench.overload.world import ORGANISATIONS, World, make_world
from geraniumwell.commands.batch.units import EXPIRY_FACTOR

WINDOW_SECONDS = 2.0
WORST_WINDOWS = 2
# Share of the renders that count as the largest ones.
LARGE_SHARE = 0.1


@dataclass(slots=True, frozen=True)
class Result:
    """Shares earned in one run."""

    whole: float
    queues: tuple[float, ...]
    large: float
    windows: float
    wasted: float


def earn(world: World, arrival: Arrival) -> float:
    """Return what a job has earned."""
    seconds = world.find_done_at(arrival.spec.id) - arrival.at
    if seconds <= arrival.objective:
        return arrival.worth
    return arrival.late_worth if seconds <= EXPIRY_FACTOR * arrival.objective else 0.0


def share(world: World, arrivals: list[Arrival]) -> float:
    """Return the share of the worth that some jobs have earned."""
    owed = sum(item.worth for item in arrivals)
    return sum(earn(world, item) for item in arrivals) / owed if owed else 1.0


def measure(load: float, seed: int) -> Result:
    """Play one trace."""
    trace = make_trace(seed, load, ORGANISATIONS)
    world = make_world(trace)
    world.play(trace)
    windows: dict[int, list[Arrival]] = {}
    for item in trace:
        windows.setdefault(int(item.at / WINDOW_SECONDS), []).append(item)
    worst = sorted(share(world, items) for items in windows.values())
    queues = tuple(
        share(world, [item for item in trace if item.spec.queue == kind.queue])
        for kind in KINDS
    )
    renders = sorted(
        (item for item in trace if item.spec.queue == "renders"),
        key=lambda item: -item.worth,
    )
    large = renders[: max(1, int(len(renders) * LARGE_SHARE))]
    return Result(
        share(world, trace),
        queues,
        share(world, large),
        mean(worst[:WORST_WINDOWS]),
        world.wasted,
    )


def main() -> None:
    """Print the table."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=16)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--loads", default="0.8,1.0,1.3")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    names = " | ".join(kind.queue for kind in KINDS)
    print(f"| load | whole | {names} | largest renders | worst windows | wasted |")
    print("| --- " * (6 + len(KINDS)) + "|")
    seeds = range(args.first_seed, args.first_seed + args.seeds)
    with ProcessPoolExecutor(args.jobs) as pool:
        for load in map(float, args.loads.split(",")):
            found = list(pool.map(partial(measure, load), seeds))
            cells = [mean(item.whole for item in found)]
            cells += [mean(q) for q in zip(*(r.queues for r in found), strict=True)]
            cells += [mean(r.large for r in found), mean(r.windows for r in found)]
            text = " | ".join(f"{cell:.3f}" for cell in cells)
            wasted = mean(item.wasted for item in found)
            print(f"| {load} | {text} | {wasted:.0f} |", flush=True)


if __name__ == "__main__":
    main()
