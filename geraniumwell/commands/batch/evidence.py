"""Adds samples to the evidence about pairs of kinds, and weighs it by its age."""

from statistics import median, median_low

from geraniumwell.model.batch.interference import (
    KIND_LIMIT,
    PAIR_LIMIT,
    WORKER_LIMIT,
    InterferenceTable,
    KindPair,
    PairEvidence,
    WorkerEvidence,
)

# Time in which evidence loses half of its weight. Rates are measured once per run, the
# effect of a filler on response times changes within seconds.
RATE_HALF_LIFE_SECONDS = 120.0
TAIL_HALF_LIFE_SECONDS = 10.0
# Factor by which the half-life of known pairs is longer without new samples.
KNOWN_AGE_FACTOR = 10.0
# Evidence of less weight is dropped.
MIN_WEIGHT = 0.1
# Evidence starts with a weight of at least 0.5 and keeps more for two half-lives.
MIN_STALE_SECONDS = 2 * TAIL_HALF_LIFE_SECONDS
# Largest weight of one worker, so that no worker outweighs all others.
WORKER_WEIGHT_LIMIT = 6.0
RATE_WEIGHT = 1.0
# Successive tails of a task depend on each other.
TAIL_WEIGHT = 0.5
# Largest deviation that counts: stragglers take many times as long as other tasks.
DEVIATION_LIMIT = 1.0


def add_evidence(
    table: InterferenceTable,
    found: dict[KindPair, dict[str, list[float]]],
    now: float,
) -> None:
    """Add deviations by pair and worker, within the limits of the table."""
    kinds = list_kinds(table)
    for pair, by_worker in found.items():
        if not has_space(table, pair, kinds):
            continue
        kinds.update(pair[:2])
        # The samples of a worker in one evaluation share its state and count as one.
        for worker, values in by_worker.items():
            limited = max(-DEVIATION_LIMIT, min(DEVIATION_LIMIT, median(values)))
            add_sample(table, pair, worker, limited, now)
        _drop_excess_workers(table, pair, now)


def add_sample(
    table: InterferenceTable,
    pair: KindPair,
    worker: str,
    deviation: float,
    now: float,
) -> None:
    """Add the deviation that was measured on one worker to the evidence of a pair."""
    evidence = table.pairs.get(pair)
    if evidence is None:
        evidence = table.pairs[pair] = PairEvidence()
    weight = TAIL_WEIGHT if pair[2] else RATE_WEIGHT
    table.has_unsaved_changes = True
    entry = evidence.workers.setdefault(worker, WorkerEvidence(0.0, 0.0, now))
    kept = decay(entry, find_half_life(pair), now)
    entry.effect += (deviation - entry.effect) * weight / (kept + weight)
    entry.weight = min(kept + weight, WORKER_WEIGHT_LIMIT)
    entry.updated_at = now


def _drop_excess_workers(table: InterferenceTable, pair: KindPair, now: float) -> None:
    evidence = table.pairs[pair]
    # Dropping the oldest instead would leave each with a single sample.
    excess = len(evidence.workers) - WORKER_LIMIT
    if excess > 0:
        weights = {
            name: find_weight(pair, evidence, entry, now)
            for name, entry in evidence.workers.items()
        }
        for name in sorted(weights, key=lambda name: (weights[name], name))[:excess]:
            del evidence.workers[name]


def list_kinds(table: InterferenceTable) -> set[str]:
    """Return the kinds of all pairs."""
    return {kind for pair in table.pairs for kind in pair[:2]}


def has_space(table: InterferenceTable, pair: KindPair, kinds: set[str]) -> bool:
    """Return whether a pair is within the limits of a table that has ``kinds``."""
    if pair in table.pairs:
        return True
    if len(table.pairs) >= PAIR_LIMIT:
        return False
    return len(kinds) + len(set(pair[:2]) - kinds) <= KIND_LIMIT


def find_weight(
    pair: KindPair, evidence: PairEvidence, entry: WorkerEvidence, now: float
) -> float:
    """Return the present weight of a worker's evidence."""
    half_life = find_half_life(pair)
    if evidence.is_known:
        # Kinds that are kept apart give few new samples. With the usual half-life they
        # would soon be placed together again.
        half_life *= KNOWN_AGE_FACTOR
    return decay(entry, half_life, now)


def find_half_life(pair: KindPair) -> float:
    """Return the half-life of evidence that new samples compete with."""
    return TAIL_HALF_LIFE_SECONDS if pair[2] else RATE_HALF_LIFE_SECONDS


def decay(entry: WorkerEvidence, half_life: float, now: float) -> float:
    """Return the weight of evidence that loses half of it in ``half_life`` seconds."""
    return entry.weight * 0.5 ** (max(0.0, now - entry.updated_at) / half_life)


def find_middle(evidence: PairEvidence) -> float:
    """Return the median of the effects on the workers, the lower one of two."""
    # Not weighted: a worker with many samples must not outvote the others.
    effects = (entry.effect for entry in evidence.workers.values())
    return median_low(effects) if evidence.workers else 0.0
