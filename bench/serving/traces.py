"""Reproducible random traces of arrivals with their true service times."""

from dataclasses import dataclass
from math import exp
from random import Random

from bench.serving.scenarios import Scenario
from bench.serving.users import SHARES, SLOT_COUNT, Kind, User

# Standard deviation of the logarithm of the service time.
SERVICE_TIME_SIGMA = 0.25


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request of a trace; ``position`` in [0, 1) selects the entry VM."""

    at: float
    number: int
    organisation: str
    kind: Kind
    seconds: float
    position: float


def make_trace(user: User, scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the arrivals of one run in the order of time."""
    rng = Random(f"{user.name}/{scenario.name}/{seed}")
    arrivals: list[Arrival] = []
    for org, kind, load_base, load_peak in _list_streams(user, scenario):
        # Without stragglers, which add to the demand that the scenario describes.
        mean = kind.seconds * exp(SERVICE_TIME_SIGMA**2 / 2)
        max_rate = max(load_base, load_peak) * SLOT_COUNT / mean
        now = rng.expovariate(max_rate) if max_rate > 0 else scenario.ends_at
        while now < scenario.ends_at:
            load = load_base + (load_peak - load_base) * _find_ramp_level(scenario, now)
            if rng.random() < load * SLOT_COUNT / mean / max_rate:
                seconds = _draw_service_seconds(rng, scenario, kind)
                arrivals.append(Arrival(now, 0, org, kind, seconds, rng.random()))
            now += rng.expovariate(max_rate)
    arrivals.sort(key=lambda arrival: arrival.at)
    return [
        Arrival(a.at, i, a.organisation, a.kind, a.seconds, a.position)
        for i, a in enumerate(arrivals)
    ]


def _list_streams(
    user: User, scenario: Scenario
) -> list[tuple[str, Kind, float, float]]:
    """Return organisation, class, base load and peak load of each stream."""
    total = sum(SHARES.values())
    work = sum(kind.request_share * kind.seconds for kind in user.kinds)
    streams = []
    for org, share in SHARES.items():
        for kind in user.kinds:
            fraction = share / total * kind.request_share * kind.seconds / work
            base, peak = scenario.base * fraction, scenario.peak * fraction
            if scenario.surge_org is not None:
                # The surge is a fraction of all slots, not of the organisation's share.
                surge_load = scenario.peak * kind.request_share * kind.seconds / work
                peak = surge_load if org == scenario.surge_org else base
            if scenario.short_load is not None and scenario.long_load is not None:
                loads = {
                    user.short: scenario.short_load,
                    user.long: scenario.long_load,
                }
                base = peak = loads.get(kind.name, 0.0) * share / total
            streams.append((org, kind, base, peak))
    return streams


def _find_ramp_level(scenario: Scenario, now: float) -> float:
    """Return the level of the demand between base (0) and peak (1)."""
    if now < scenario.peak_from or now > scenario.peak_to + scenario.ramp_seconds:
        return 0.0
    if scenario.ramp_seconds <= 0:
        return 1.0
    ramp_up = (now - scenario.peak_from) / scenario.ramp_seconds
    ramp_down = (scenario.peak_to + scenario.ramp_seconds - now) / scenario.ramp_seconds
    return min(1.0, ramp_up, ramp_down)


def _draw_service_seconds(rng: Random, scenario: Scenario, kind: Kind) -> float:
    seconds = kind.seconds * rng.lognormvariate(0.0, SERVICE_TIME_SIGMA)
    if rng.random() < scenario.straggler_ratio:
        return seconds * scenario.straggler_factor
    return seconds
