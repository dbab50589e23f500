"""Estimates which kinds of tasks slow each other down on one worker.

Load: many small tasks and serving tasks that share workers, of which some pairs
disturb each other; uneven workers, stragglers and wrong reports.

A sample compares a run beside a neighbour with runs of the same step without it, and
with the speed that its worker had without that neighbour. So a slow worker is no sign
of interference. A neighbour that is always on a worker can't be told from a slow
worker; such a worker counts as slow in ``speeds.py``. Evidence is combined by the
median of several workers, because a worker may be slowed or may report wrong figures.
"""

from collections import defaultdict
from math import erfc, exp, log, sqrt
from statistics import median, median_low

from geraniumwell.commands.batch.kinds import (
    count_active_kinds,
    find_kind,
    list_neighbours,
)
from geraniumwell.commands.batch.references import RateReferences, TailReferences
from geraniumwell.model.batch.capacity import WorkerCapacity
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.interference import (
    KIND_LIMIT,
    PAIR_LIMIT,
    WORKER_LIMIT,
    InterferenceTable,
    KindPair,
    PairChange,
    PairEvidence,
    Slowdown,
    TailSample,
    WorkerEvidence,
)
from geraniumwell.model.batch.worker import Worker, WorkerReport

EVALUATE_SECONDS = 2.0
# Time in which evidence loses half of its weight. Rates are measured once per run, the
# effect of a filler on response times changes within seconds.
RATE_HALF_LIFE_SECONDS = 120.0
TAIL_HALF_LIFE_SECONDS = 10.0
# Factor by which the half-life of known pairs is longer without new samples.
KNOWN_AGE_FACTOR = 10.0
# Evidence of less weight is dropped.
MIN_WEIGHT = 0.1
# Largest weight of one worker, so that no worker outweighs all others.
WORKER_WEIGHT_LIMIT = 6.0
RATE_WEIGHT = 1.0
# Successive tails of a task depend on each other.
TAIL_WEIGHT = 0.5
# Variance of the logarithm of a sample: tasks of a step differ by up to 30 percent, and
# its references are as uncertain.
SAMPLE_VARIANCE = 0.25
# Variance of the logarithm of the slowdown of an unknown pair.
PAIR_VARIANCE = 0.16
# Largest deviation that counts: stragglers take many times as long as other tasks.
DEVIATION_LIMIT = 1.0
# Slowdown that is worth keeping tasks apart.
MIN_SLOWDOWN = 1.15
# Confidence from which a pair is known, and below which it is forgotten.
KNOWN_CONFIDENCE = 0.99
FORGOTTEN_CONFIDENCE = 0.7
# Of fewer workers one that is wrong could decide.
MIN_WORKERS = 3
# A tail covers the last half second.
TAIL_INTERVAL_MS = 500
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
    if table.new_rates:
        _evaluate_rates(cluster, now)
    if table.new_tails:
        _evaluate_tails(table, now)
    if not table.pairs:
        return False
    _drop_stale_pairs(table, now)
    return _update_known_pairs(table, now)


def _evaluate_rates(cluster: Cluster, now: float) -> None:
    table = cluster.interference
    references = RateReferences(cluster.speeds)
    found: dict[tuple[KindPair, str], list[float]] = defaultdict(list)
    for sample in table.new_rates:
        for other in sample.neighbours:
            expected = references.find_expected(sample, other)
            if expected is None:
                continue
            known = _find_known_effects(table, sample.kind, sample.neighbours, other)
            pair = (sample.kind, other)
            found[pair, sample.worker].append(sample.log_ms - expected - known)
    table.new_rates.clear()
    _add_samples(table, found, RATE_WEIGHT, now)


def _evaluate_tails(table: InterferenceTable, now: float) -> None:
    table.tails.extend(table.new_tails)
    references = TailReferences(table.tails, now)
    found: dict[tuple[KindPair, str], list[float]] = defaultdict(list)
    for sample in table.new_tails:
        for other in sample.neighbours:
            expected = references.find_expected(sample, other)
            if expected is None:
                continue
            known = _find_known_effects(table, sample.kind, sample.neighbours, other)
            pair = (sample.kind, other)
            found[pair, sample.worker].append(sample.log_share - expected - known)
    table.new_tails.clear()
    _add_samples(table, found, TAIL_WEIGHT, now)


def _find_known_effects(
    table: InterferenceTable, kind: str, neighbours: frozenset[str], other: str
) -> float:
    """Return the effect of the neighbours besides ``other`` that are known."""
    # Without it, a harmless neighbour would be blamed for one that comes with it.
    if kind not in table.opponents:
        return 0.0
    total = 0.0
    for neighbour in neighbours:
        evidence = table.pairs.get((kind, neighbour))
        if neighbour != other and evidence is not None and evidence.is_known:
            total += find_middle(evidence)
    return total


def _add_samples(
    table: InterferenceTable,
    found: dict[tuple[KindPair, str], list[float]],
    weight: float,
    now: float,
) -> None:
    # The samples of a worker in one evaluation share its state, so they count as one.
    for (pair, worker), deviations in found.items():
        deviation = max(-DEVIATION_LIMIT, min(DEVIATION_LIMIT, median(deviations)))
        add_sample(table, pair, worker, deviation, weight, now)


def add_sample(
    table: InterferenceTable,
    pair: KindPair,
    worker: str,
    deviation: float,
    weight: float,
    now: float,
) -> None:
    """Add the deviation that was measured on one worker to the evidence of a pair."""
    evidence = table.pairs.get(pair)
    if evidence is None:
        if not _has_space(table, pair):
            return
        evidence = table.pairs[pair] = PairEvidence(weight == TAIL_WEIGHT)
    table.has_unsaved_changes = True
    entry = evidence.workers.setdefault(worker, WorkerEvidence(0.0, 0.0, now))
    kept = decay(entry, find_half_life(evidence), now)
    entry.effect += (deviation - entry.effect) * weight / (kept + weight)
    entry.weight = min(kept + weight, WORKER_WEIGHT_LIMIT)
    entry.updated_at = now
    if len(evidence.workers) > WORKER_LIMIT:
        # Dropping the oldest instead would leave each with a single sample.
        weights = {
            name: find_weight(evidence, entry, now)
            for name, entry in evidence.workers.items()
        }
        del evidence.workers[min(weights, key=lambda name: (weights[name], name))]


def _has_space(table: InterferenceTable, pair: KindPair) -> bool:
    """Return whether a new pair is within the limits of the table."""
    if len(table.pairs) >= PAIR_LIMIT:
        return False
    kinds = {kind for known in table.pairs for kind in known}
    return len(kinds.union(pair)) <= KIND_LIMIT


def find_weight(evidence: PairEvidence, entry: WorkerEvidence, now: float) -> float:
    """Return the present weight of a worker's evidence."""
    half_life = find_half_life(evidence)
    if evidence.is_known:
        # Kinds that are kept apart give few new samples. With the usual half-life they
        # would soon be placed together again.
        half_life *= KNOWN_AGE_FACTOR
    return decay(entry, half_life, now)


def find_half_life(evidence: PairEvidence) -> float:
    """Return the half-life of evidence that new samples compete with."""
    return TAIL_HALF_LIFE_SECONDS if evidence.is_tail else RATE_HALF_LIFE_SECONDS


def decay(entry: WorkerEvidence, half_life: float, now: float) -> float:
    """Return the weight of evidence that loses half of it in ``half_life`` seconds."""
    return entry.weight * 0.5 ** (max(0.0, now - entry.updated_at) / half_life)


def find_middle(evidence: PairEvidence) -> float:
    """Return the median of the effects on the workers, the lower one of two."""
    # Not weighted: a worker with many samples must not outvote the others.
    effects = (entry.effect for entry in evidence.workers.values())
    return median_low(effects) if evidence.workers else 0.0


def find_slowdown(
    table: InterferenceTable, kind: str, other: str, now: float
) -> Slowdown:
    """Return the estimated slowdown of tasks of ``kind`` beside those of ``other``."""
    evidence = table.pairs.get((kind, other))
    if evidence is None or not evidence.workers:
        return Slowdown()
    weights = [find_weight(evidence, e, now) for e in evidence.workers.values()]
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
            if find_weight(evidence, entry, now) < MIN_WEIGHT:
                del evidence.workers[name]
        if not evidence.workers and not evidence.is_known:
            del table.pairs[pair]
    kinds = {kind for pair in table.pairs for kind in pair}
    if len(table.pairs) < PAIR_LIMIT and len(kinds) < KIND_LIMIT:
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
        found = find_slowdown(table, *pair, now)
        is_known = found.confidence >= KNOWN_CONFIDENCE and has_agreement(evidence)
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
    agreeing = sum(
        entry.effect >= log(MIN_SLOWDOWN) for entry in evidence.workers.values()
    )
    return agreeing >= max(MIN_WORKERS, len(evidence.workers) - 1)


def set_opponents(table: InterferenceTable) -> None:
    """Derive from the known pairs which kinds are kept apart."""
    found: dict[str, set[str]] = defaultdict(set)
    for (kind, other), evidence in table.pairs.items():
        if evidence.is_known:
            found[kind].add(other)
            found[other].add(kind)
    table.opponents = {kind: frozenset(others) for kind, others in found.items()}


def count_conflicts(capacity: WorkerCapacity, opponents: frozenset[str]) -> int:
    """Return the number of tasks on a worker that a unit should be kept apart from."""
    return sum(capacity.kinds.get(kind, 0) for kind in opponents)
