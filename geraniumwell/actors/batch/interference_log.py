"""Logs the pairs of kinds that became known as disturbing, or were forgotten."""

from geraniumwell.helpers.batch_metrics import INTERFERING_PAIRS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.model.batch.interference import InterferenceTable
from geraniumwell.queries.batch.interference import count_known_pairs


def log_interference(table: InterferenceTable) -> None:
    """Log the changes since the last call, with the figures that decided them."""
    INTERFERING_PAIRS.set(count_known_pairs(table))
    while table.changes:
        change = table.changes.popleft()
        kind, other, is_tail = change.pair
        EVENT_LOG.write(
            "interference",
            kind=kind,
            beside=other,
            measure="tail" if is_tail else "rate",
            state="known" if change.is_known else "forgotten",
            factor=round(change.slowdown.factor, 2),
            confidence=round(change.slowdown.confidence, 3),
            samples=round(change.slowdown.weight, 1),
            workers=change.slowdown.workers,
            age=round(change.slowdown.age_seconds, 1),
        )
