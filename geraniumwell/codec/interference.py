"""Encoding of the row with the evidence about pairs of kinds."""

from typing import Annotated

from msgspec import Meta

from geraniumwell.codec.json import CodecError
from geraniumwell.codec.packed_rows import pack_row, unpack_row
from geraniumwell.model.batch.interference import (
    KIND_LIMIT,
    PAIR_LIMIT,
    WORKER_LIMIT,
    InterferenceTable,
    KindPair,
    PairEvidence,
    WorkerEvidence,
)

# Effects and weights are stored in thousandths, ages in milliseconds.
SCALE = 1000
MAX_AGE_MS = 10**9
Thousandths = Annotated[int, Meta(ge=-100 * SCALE, le=100 * SCALE)]
Age = Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]
# Worker, effect, weight and age.
StoredWorker = tuple[str, Thousandths, Thousandths, Age]
# Slowed kind, neighbour, whether it is about tails, whether it is known, and workers.
StoredPair = tuple[
    str, str, bool, bool, Annotated[list[StoredWorker], Meta(max_length=WORKER_LIMIT)]
]
# Unix time in milliseconds, and the pairs.
StoredTable = tuple[int, Annotated[list[StoredPair], Meta(max_length=PAIR_LIMIT)]]


def encode_interference(table: InterferenceTable, now: float, wall_now: float) -> bytes:
    """Return the row of a table; it is empty while no pair is kept apart."""
    pairs = table.pairs.items() if table.opponents else ()
    rows = [
        (*pair, evidence.is_known, _encode_workers(evidence, now))
        for pair, evidence in pairs
    ]
    return pack_row((int(wall_now * 1000), rows))


def _encode_workers(evidence: PairEvidence, now: float) -> list[StoredWorker]:
    return [
        (
            name,
            round(entry.effect * SCALE),
            round(entry.weight * SCALE),
            min(MAX_AGE_MS, max(0, int((now - entry.updated_at) * 1000))),
        )
        for name, entry in evidence.workers.items()
    ]


def decode_interference(
    data: bytes, now: float, wall_now: float
) -> dict[KindPair, PairEvidence]:
    """Return the evidence in a row, with its times on the clock of ``now``.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    saved_ms, rows = unpack_row(data, StoredTable)
    kinds = {kind for row in rows for kind in row[:2]}
    if len(kinds) > KIND_LIMIT:
        raise CodecError(f"row holds {len(kinds)} kinds")
    # The clock of the earlier scheduler may be ahead.
    saved_at = now - max(0.0, wall_now - saved_ms / 1000)
    pairs: dict[KindPair, PairEvidence] = {}
    for kind, other, is_tail, is_known, workers in rows:
        entries = {
            name: WorkerEvidence(effect / SCALE, weight / SCALE, saved_at - age / 1000)
            for name, effect, weight, age in workers
        }
        pairs[kind, other, is_tail] = PairEvidence(entries, is_known)
    return pairs
