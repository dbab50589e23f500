"""Figures of one simulation run."""

from dataclasses import dataclass

from bench.serving.pool import Bounds
from bench.serving.scenarios import Scenario
from bench.serving.simulation import Record
from bench.serving.traces import Arrival
from bench.serving.users import SLOT_COUNT, User
from geraniumwell.model.request import Outcome

STATUS_OK = 200
# The use by long work leaves out the time in which the slots fill up.
FILLED_FROM_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class Figures:
    """Figures of one run; waits are in units of the class's median service time.

    Parameters
    ----------
    served : float
        Requests served in the peak, relative to an ideal pool.
    fair : float
        Requests served for the organisation with the worst result, relative to a pool
        of its own with its share of the slots.
    long_use : float
        Share of the slots left by short work that long work used.
    refusal_seconds : float
        Median time until a caller gets the outcome "not run".
    """

    served: float
    short_wait_p50: float
    short_wait_p99: float
    short_wait_max: float
    short_refused: float
    long_mean_seconds: float
    long_p99_seconds: float
    long_refused: float
    long_use: float
    fair: float
    retries: float
    unknown: float
    refusal_seconds: float


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of the values, or 0 where there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def make_figures(
    user: User, scenario: Scenario, bounds: Bounds, records: list[Record]
) -> Figures:
    """Return the figures of a run."""
    in_peak = [record for record in records if _is_in_peak(scenario, record.arrival)]
    bound_count = sum(
        1 for record in in_peak if record.arrival.number in bounds.served_in_pool
    )
    served = sum(1 for record in in_peak if is_served(record))
    short_records = [
        record for record in in_peak if record.arrival.kind.name == user.short
    ]
    unit = user.kind(user.short).seconds
    waits = [
        (record.sent_at - record.arrival.at) / unit
        for record in short_records
        if is_served(record) and record.sent_at is not None
    ]
    long_records = [
        record for record in in_peak if record.arrival.kind.name == user.long
    ]
    long_seconds = [
        record.answered_at - record.arrival.at
        for record in long_records
        if is_served(record)
    ]
    attempts = sum(record.attempts for record in records)
    first_attempts = sum(1 for record in records if record.attempts)
    unknown = sum(1 for record in records if record.answer.outcome is Outcome.UNKNOWN)
    return Figures(
        served=served / max(bound_count, 1),
        short_wait_p50=quantile(waits, 0.5),
        short_wait_p99=quantile(waits, 0.99),
        short_wait_max=max(waits, default=0.0),
        short_refused=1 - len(waits) / max(len(short_records), 1),
        long_mean_seconds=sum(long_seconds) / max(len(long_seconds), 1),
        long_p99_seconds=quantile(long_seconds, 0.99),
        long_refused=1 - len(long_seconds) / max(len(long_records), 1),
        long_use=_find_long_use(user, scenario, records),
        fair=_find_fairness(bounds, in_peak),
        retries=(attempts - first_attempts) / max(first_attempts, 1),
        unknown=unknown / max(len(records), 1),
        refusal_seconds=quantile(_list_refusal_times(records), 0.5),
    )


def _list_refusal_times(records: list[Record]) -> list[float]:
    return [
        record.answered_at - record.arrival.at
        for record in records
        if record.answer.outcome is Outcome.NOT_RUN
    ]


def is_served(record: Record) -> bool:
    """Return whether a request ran and its caller got the endpoint's response."""
    answer = record.answer
    return answer.outcome is Outcome.RAN and answer.status == STATUS_OK


def _is_in_peak(scenario: Scenario, arrival: Arrival) -> bool:
    ends_at = scenario.peak_to + scenario.ramp_seconds
    return scenario.peak_from <= arrival.at <= ends_at


def _find_fairness(bounds: Bounds, in_peak: list[Record]) -> float:
    """Return the lowest ratio of an organisation's result to a pool of its own.

    Above 1, the shared pool serves every organisation better than slots of its own.
    """
    lowest = 2.0
    for org, bound_numbers in bounds.served_by_share.items():
        org_records = [
            record for record in in_peak if record.arrival.organisation == org
        ]
        expected = sum(
            1 for record in org_records if record.arrival.number in bound_numbers
        )
        served_count = sum(1 for record in org_records if is_served(record))
        if expected:
            lowest = min(lowest, served_count / expected)
    return lowest


def _find_long_use(user: User, scenario: Scenario, records: list[Record]) -> float:
    """Return the share of the slots left by short work that long work used."""
    used = {user.long: 0.0, user.short: 0.0}
    for record in records:
        if not is_served(record) or record.arrival.kind.name not in used:
            continue
        begins_at = max(
            record.answered_at - record.arrival.seconds, FILLED_FROM_SECONDS
        )
        ends_at = min(record.answered_at, scenario.ends_at)
        used[record.arrival.kind.name] += max(0.0, ends_at - begins_at)
    total_slot_seconds = SLOT_COUNT * (scenario.ends_at - FILLED_FROM_SECONDS)
    return used[user.long] / (total_slot_seconds - used[user.short])
