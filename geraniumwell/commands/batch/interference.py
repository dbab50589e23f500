"""Estimates which kinds of tasks slow each other down on one worker.

Load: many small tasks and serving tasks that share workers, of which some pairs
disturb each other; uneven workers, stragglers and wrong reports.

A sample compares a run beside a neighbour with runs of the same step without it, and
with the speed that its worker had without that neighbour. So a slow worker is no sign
of interference. A neighbour that is always on a worker can't be told from a slow
worker; such a worker counts as slow in ``speeds.py``. Evidence is combined by the
median of several workers, because a worker may be slowed or may report wrong figures.
"""

from collections import defaultdict, deque
from math import erfc, exp, log, sqrt
from random import Random
from statistics import median_low
from typing import TypeVar

from geraniumwell.commands.batch.evidence import (
    MIN_STALE_SECONDS,
    MIN_WEIGHT,
    add_evidence,
    find_middle,
    find_weight,
    has_space,
    list_kinds,
)
from geraniumwell.commands.batch.kinds import (
    count_active_kinds,
    find_kind,
    list_neighbours,
)
from geraniumwell.commands.batch.references import (
    TAIL_SECONDS,
    RateReferences,
    TailReferences,
)
from geraniumwell.model.batch.capacity import WorkerCapacity
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.interference import (
    KIND_LIMIT,
    PAIR_LIMIT,
    TAILS_PER_WORKER,
    InterferenceTable,
    KindPair,
    PairChange,
    PairEvidence,
    Slowdown,
    TailSample,
)
from geraniumwell.model.batch.speed import RateSample
from geraniumwell.model.batch.worker import Worker, WorkerReport

Sample = TypeVar("Sample", RateSample, TailSample)

# Time between evaluations, which are of rates and of tails in turn: planning waits for
# them, and one of both takes twice as long.
EVALUATE_SECONDS = 1.0
# Variance of the logarithm of a sample: tasks of a step differ by up to 30 percent, and
# its references are as uncertain.
SAMPLE_VARIANCE = 0.25
# Variance of the logarithm of the slowdown of an unknown pair.
PAIR_VARIANCE = 0.16
# Slowdown that is worth keeping tasks apart.
MIN_SLOWDOWN = 1.15
# Confidence from which a pair is known, and below which it is forgotten.
KNOWN_CONFIDENCE = 0.99
FORGOTTEN_CONFIDENCE = 0.7
# Of fewer workers one that is wrong could decide.
MIN_WORKERS = 3
# A tail covers the last half second.
TAIL_INTERVAL_MS = 500
# Largest number of samples that an evaluation looks at, and of comparisons of one with
# what is expected without one neighbour; for rates and for tails. Planning waits for
# an evaluation, and more took 40 to 900 ms with 540 workers.
SAMPLE_LIMIT = 64
COMPARISON_LIMIT = 100
# Share of the pairs that is dropped when the table is full.
DROPPED_SHARE = 1 / 8


def observe_report(
    cluster: Cluster, worker: Worker, report: WorkerReport, now: float
) -> None:
    """Sample the tails in an applied report of a worker with serving tasks."""
    table, name = cluster.interference, worker.entry.id
    capacity = cluster.fleet.capacities.get(name)
    if capacity is None or not capacity.has_serving_tasks:
        return
    # The clock of a restarted worker starts again.
    if 0 <= report.clock_ms - table.tail_clocks.get(name, 0) < TAIL_INTERVAL_MS:
        return
    table.tail_clocks[name] = report.clock_ms
    kinds = count_active_kinds(cluster, worker, now - TAIL_INTERVAL_MS / 1000)
    for item in report.running:
        task = worker.tasks.get(item.id)
        if not item.usage or task is None or task.run != item.run:
            continue
        spec = cluster.jobs[item.id.job].spec
        target_ms = spec.steps[item.id.step].target_ms
        if not target_ms:
            continue
        kind = find_kind(spec, item.id.step)
        share = log(item.usage / target_ms)
        neighbours = list_neighbours(kinds, kind)
        table.new_tails.append(TailSample(kind, name, neighbours, share, now))


def refresh_interference(cluster: Cluster, now: float) -> bool:
    """Evaluate new samples if that is due; return whether the known pairs changed."""
    table = cluster.interference
    if now < table.evaluated_at + EVALUATE_SECONDS:
        return False
    table.evaluated_at = now
    for by_worker in (table.tail_clocks, table.paces):
        for name in by_worker.keys() - cluster.workers.keys():
            del by_worker[name]
    if table.is_tail_turn:
        _evaluate_tails(table, now)
    else:
        _evaluate_rates(cluster, now)
    table.is_tail_turn = not table.is_tail_turn
    if not table.pairs:
        return False
    _drop_stale_pairs(table, now)
    return _update_known_pairs(table, now)


def _evaluate_rates(cluster: Cluster, now: float) -> None:
    table = cluster.interference
    compared = choose_comparisons(table, list(table.new_rates), False, now)
    table.new_rates.clear()
    if not compared:
        return
    workers = {sample.worker for sample, _ in compared}
    references = RateReferences(cluster.speeds, workers, now)
    deviations = [
        (sample, other, sample.log_ms - expected)
        for sample, other in compared
        if (expected := references.find_expected(sample, other)) is not None
        and not references.is_slowed(sample)
    ]
    _add_deviations(table, deviations, False, now)


def _evaluate_tails(table: InterferenceTable, now: float) -> None:
    tails = list(table.new_tails)
    table.new_tails.clear()
    record_tails(table, tails, now)
    compared = choose_comparisons(table, tails, True, now)
    if not compared:
        return
    references = TailReferences(table.tails, now)
    deviations = [
        (sample, other, sample.log_share - expected)
        for sample, other in compared
        if (expected := references.find_expected(sample, other)) is not None
    ]
    _add_deviations(table, deviations, True, now)


def record_tails(
    table: InterferenceTable, samples: list[TailSample], now: float
) -> None:
    """Keep tails as references, and drop those that are too old."""
    for sample in samples:
        by_worker = table.tails.setdefault(sample.kind, {})
        tails = by_worker.pop(sample.worker, None) or deque(maxlen=TAILS_PER_WORKER)
        tails.append(sample)
        by_worker[sample.worker] = tails
    for kind, by_worker in list(table.tails.items()):
        # Workers are ordered by their last tail, so only stale ones are visited.
        stale: list[str] = []
        for worker, tails in by_worker.items():
            if now - tails[-1].measured_at <= TAIL_SECONDS:
                break
            stale.append(worker)
        for worker in stale:
            del by_worker[worker]
        if not by_worker:
            del table.tails[kind]


def choose_comparisons(
    table: InterferenceTable, samples: list[Sample], is_tail: bool, now: float
) -> list[tuple[Sample, str]]:
    """Return a bounded number of samples, each with a neighbour that fits in the table.

    Empty if no task has a neighbour of another kind: there is nothing to keep apart.
    """
    if all(sample.neighbours <= {sample.kind} for sample in samples):
        return []
    # Not every n-th one: reports are periodic, so some tasks would never be chosen.
    rng, kinds = Random(now), list_kinds(table)
    found = [
        (sample, other)
        for sample in rng.sample(samples, min(SAMPLE_LIMIT, len(samples)))
        for other in sample.neighbours
        if has_space(table, (sample.kind, other, is_tail), kinds)
    ]
    # All samples with a few neighbours, because these share their references.
    others = sorted({other for _, other in found})
    ranks = {other: rng.random() for other in others}
    found.sort(key=lambda item: ranks[item[1]])
    return found[:COMPARISON_LIMIT]


def _find_known_effects(
    table: InterferenceTable, sample: Sample, other: str, is_tail: bool
) -> float:
    """Return the effect of the neighbours besides ``other`` that are known."""
    # Without it, a harmless neighbour would be blamed for one that comes with it.
    if sample.kind not in table.opponents:
        return 0.0
    total = 0.0
    for neighbour in sample.neighbours:
        evidence = table.pairs.get((sample.kind, neighbour, is_tail))
        if neighbour != other and evidence is not None and evidence.is_known:
            total += find_middle(evidence)
    return total


def _add_deviations(
    table: InterferenceTable,
    deviations: list[tuple[Sample, str, float]],
    is_tail: bool,
    now: float,
) -> None:
    """Add deviations of samples from what is expected without a neighbour."""
    found: dict[KindPair, dict[str, list[float]]] = defaultdict(dict)
    for sample, other, deviation in deviations:
        known = _find_known_effects(table, sample, other, is_tail)
        by_worker = found[sample.kind, other, is_tail]
        by_worker.setdefault(sample.worker, []).append(deviation - known)
    add_evidence(table, found, now)


def find_slowdown(table: InterferenceTable, pair: KindPair, now: float) -> Slowdown:
    """Return the estimated slowdown of tasks of a kind beside those of another."""
    evidence = table.pairs.get(pair)
    if evidence is None or not evidence.workers:
        return Slowdown()
    weights = [find_weight(pair, evidence, e, now) for e in evidence.workers.values()]
    weight = len(weights) * median_low(weights)
    precision = weight / SAMPLE_VARIANCE + 1 / PAIR_VARIANCE
    effect = find_middle(evidence) * weight / SAMPLE_VARIANCE / precision
    deviations = (effect - log(MIN_SLOWDOWN)) * sqrt(precision)
    age = now - max(entry.updated_at for entry in evidence.workers.values())
    return Slowdown(
        exp(effect),
        erfc(-deviations / sqrt(2)) / 2,
        weight,
        len(weights),
        max(0.0, age),
    )


def _drop_stale_pairs(table: InterferenceTable, now: float) -> None:
    """Drop evidence that has lost its weight, and the oldest of a full table."""
    for pair, evidence in list(table.pairs.items()):
        for name, entry in list(evidence.workers.items()):
            if now - entry.updated_at < MIN_STALE_SECONDS:
                continue
            if find_weight(pair, evidence, entry, now) < MIN_WEIGHT:
                del evidence.workers[name]
        if not evidence.workers and not evidence.is_known:
            del table.pairs[pair]
    if len(table.pairs) < PAIR_LIMIT and len(list_kinds(table)) < KIND_LIMIT:
        return
    ages = sorted(
        (max(entry.updated_at for entry in evidence.workers.values()), pair)
        for pair, evidence in table.pairs.items()
        if evidence.workers and not evidence.is_known
    )
    for _, pair in ages[: int(len(table.pairs) * DROPPED_SHARE) + 1]:
        del table.pairs[pair]


def _update_known_pairs(table: InterferenceTable, now: float) -> bool:
    changed = False
    for pair, evidence in list(table.pairs.items()):
        agrees = has_agreement(evidence)
        if not agrees and not evidence.is_known:
            continue
        found = find_slowdown(table, pair, now)
        is_known = found.confidence >= KNOWN_CONFIDENCE and agrees
        if evidence.is_known:
            is_known = found.confidence >= FORGOTTEN_CONFIDENCE
        if is_known == evidence.is_known:
            continue
        evidence.is_known = is_known
        table.changes.append(PairChange(pair, is_known, found))
        changed = table.has_unsaved_changes = True
    if changed:
        set_opponents(table)
    return changed


def restore_pairs(
    table: InterferenceTable, pairs: dict[KindPair, PairEvidence]
) -> None:
    """Take over the pairs that an earlier scheduler has stored."""
    table.pairs = pairs
    table.is_stored = bool(pairs)
    set_opponents(table)


def has_agreement(evidence: PairEvidence) -> bool:
    """Return whether all workers but one, and at least three, show a slowdown."""
    limit = log(MIN_SLOWDOWN)
    agreeing = sum(entry.effect >= limit for entry in evidence.workers.values())
    return agreeing >= max(MIN_WORKERS, len(evidence.workers) - 1)


def set_opponents(table: InterferenceTable) -> None:
    """Derive from the known pairs which kinds are kept apart."""
    found: dict[str, set[str]] = defaultdict(set)
    for (kind, other, _), evidence in table.pairs.items():
        if evidence.is_known:
            found[kind].add(other)
            found[other].add(kind)
    table.opponents = {kind: frozenset(others) for kind, others in found.items()}


def count_conflicts(capacity: WorkerCapacity, opponents: frozenset[str]) -> int:
    """Return the number of tasks on a worker that a unit should be kept apart from."""
    return sum(capacity.kinds.get(kind, 0) for kind in opponents)
