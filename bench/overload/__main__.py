"""Print the share of the value that the scheduler earns under several loads.

``python -m bench.overload [--fleet NAME] [--seeds N] [--loads 0.8,1.0,1.3]`` runs
traces of jobs on healthy workers. Each row shows a load: the share earned of the whole
trace, of each queue, of the largest renders and of the two worst windows of two
seconds, and the core-seconds of work that stops discarded.
"""

from argparse import ArgumentParser
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from statistics import mean

from bench.overload.kinds import FLEETS, Arrival, make_trace
from bench.overload.simulation import OverloadSimulation, make_simulation
from geraniumwell.commands.batch.units import EXPIRY_FACTOR

WINDOW_SECONDS = 2.0
WORST_WINDOWS = 2
# The renders of the highest value that count as the largest ones.
LARGE_RENDER_SHARE = 0.1


@dataclass(slots=True, frozen=True)
class RunResult:
    """Shares of the value earned in one run, and the work lost to stops."""

    whole: float
    queues: tuple[float, ...]
    large: float
    windows: float
    wasted_core_seconds: float


def find_earned_value(simulation: OverloadSimulation, arrival: Arrival) -> float:
    """Return the value that a job has earned; none if it took too long."""
    response_seconds = simulation.find_completion_time(arrival.spec.id) - arrival.at
    if response_seconds <= arrival.objective_seconds:
        return arrival.value
    return (
        arrival.late_value
        if response_seconds <= EXPIRY_FACTOR * arrival.objective_seconds
        else 0.0
    )


def find_earned_share(simulation: OverloadSimulation, arrivals: list[Arrival]) -> float:
    """Return the earned share of the value of some jobs."""
    total = sum(arrival.value for arrival in arrivals)
    return (
        sum(find_earned_value(simulation, arrival) for arrival in arrivals) / total
        if total
        else 1.0
    )


def measure(fleet_name: str, load: float, seed: int) -> RunResult:
    """Run one trace."""
    fleet = FLEETS[fleet_name]
    trace = make_trace(seed, load, fleet)
    simulation = make_simulation(trace, fleet)
    simulation.run(trace)
    windows: dict[int, list[Arrival]] = {}
    for arrival in trace:
        windows.setdefault(int(arrival.at / WINDOW_SECONDS), []).append(arrival)
    worst = sorted(
        find_earned_share(simulation, arrivals) for arrivals in windows.values()
    )
    queues = tuple(
        find_earned_share(
            simulation,
            [arrival for arrival in trace if arrival.spec.queue == kind.queue],
        )
        for kind in fleet.kinds
    )
    renders = sorted(
        (arrival for arrival in trace if arrival.spec.queue == "renders"),
        key=lambda arrival: -arrival.value,
    )
    large = renders[: max(1, int(len(renders) * LARGE_RENDER_SHARE))]
    return RunResult(
        find_earned_share(simulation, trace),
        queues,
        find_earned_share(simulation, large),
        mean(worst[:WORST_WINDOWS]),
        simulation.wasted_core_seconds,
    )


def main() -> None:
    """Print the table."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=16)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--loads", default="0.8,1.0,1.3")
    parser.add_argument("--fleet", choices=FLEETS, default="small")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    kinds = FLEETS[args.fleet].kinds
    names = " | ".join(kind.queue for kind in kinds)
    print(f"| load | whole | {names} | largest renders | worst windows | wasted |")
    print("| --- " * (6 + len(kinds)) + "|")
    seeds = range(args.first_seed, args.first_seed + args.seeds)
    with ProcessPoolExecutor(args.jobs) as pool:
        for load in map(float, args.loads.split(",")):
            results = list(pool.map(partial(measure, args.fleet, load), seeds))
            cells = [mean(result.whole for result in results)]
            cells += [mean(q) for q in zip(*(r.queues for r in results), strict=True)]
            cells += [mean(r.large for r in results), mean(r.windows for r in results)]
            text = " | ".join(f"{cell:.3f}" for cell in cells)
            wasted_core_seconds = mean(result.wasted_core_seconds for result in results)
            print(f"| {load} | {text} | {wasted_core_seconds:.0f} |", flush=True)


if __name__ == "__main__":
    main()
