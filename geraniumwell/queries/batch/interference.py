"""Table of the kinds of tasks that slow each other down, for operators."""

from geraniumwell.commands.batch.interference import find_slowdown
from geraniumwell.model.batch.interference import InterferenceTable
from geraniumwell.model.table import Table, make_table

COLUMNS = "kind beside measure state factor confidence samples workers age"


def show_interference(table: InterferenceTable, now: float) -> Table:
    """Return all pairs with evidence, the most certain ones first.

    ``age`` is the time since the last sample, in seconds.
    """
    rows = []
    for pair, evidence in table.pairs.items():
        found = find_slowdown(table, pair, now)
        rows.append(
            (
                *pair[:2],
                "tail" if pair[2] else "rate",
                "disturbs" if evidence.is_known else "unclear",
                round(found.factor, 2),
                round(found.confidence, 3),
                round(found.weight, 1),
                found.workers,
                round(found.age_seconds, 1),
            )
        )
    rows.sort(key=lambda row: (-row[5], row[:3]))
    return make_table(COLUMNS, rows)


def count_known_pairs(table: InterferenceTable) -> int:
    """Return the number of pairs that are kept apart."""
    return sum(evidence.is_known for evidence in table.pairs.values())
