"""Differences between two configurations."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import fields
from typing import Any

from geraniumwell.model.batch.catalog import Organisation, Queue
from geraniumwell.model.batch.proposal import (
    Difference,
    EntryAdded,
    EntryKind,
    EntryRemoved,
    KeyAdded,
    KeyRemoved,
    ProposedConfiguration,
    ValueChanged,
)
from geraniumwell.queries.config_check import shorten_key

Values = dict[str, Any]
# Name of an entry, and how many earlier ones of its kind have the same name.
EntryId = tuple[str, int]


def compare_configurations(
    before: ProposedConfiguration, after: ProposedConfiguration
) -> tuple[Difference, ...]:
    """Return what changes if one configuration replaces another; not the version."""
    kinds = (EntryKind.QUEUE, EntryKind.SERVICE, EntryKind.ORGANISATION)
    found: list[Difference] = []
    for kind in kinds:
        found += _compare_entries(
            kind, _list_values(before, kind), _list_values(after, kind)
        )
    found += _compare_keys(before.organisations, after.organisations)
    found += _compare_values(
        EntryKind.CONFIGURATION, "", _list_limits(before), _list_limits(after)
    )
    return tuple(found)


def _list_limits(cfg: ProposedConfiguration) -> Values:
    return {"body_limit_bytes": cfg.catalog.body_limit_bytes}


def _list_values(cfg: ProposedConfiguration, kind: EntryKind) -> dict[EntryId, Values]:
    """Return the values of all entries of a kind, without keys."""
    match kind:
        case EntryKind.QUEUE:
            queues = zip(cfg.catalog.queues, cfg.timeouts, strict=True)
            return _number((q.name, _list_queue_values(q, t)) for q, t in queues)
        case EntryKind.SERVICE:
            return _number((name, {}) for name in cfg.services or ())
        case _:
            return _number(
                (org.name, {"guaranteed_accelerators": org.guaranteed_accelerators})
                for org in cfg.organisations
            )


def _list_queue_values(queue: Queue, timeout: float) -> Values:
    values = {item.name: getattr(queue, item.name) for item in fields(Queue)}
    del values["name"]
    return values | {"timeout_seconds": timeout}


def _number(entries: Iterable[tuple[str, Any]]) -> dict[EntryId, Any]:
    """Tell entries of the same name apart by their order."""
    counts: Counter[str] = Counter()
    numbered = {}
    for name, value in entries:
        numbered[name, counts[name]] = value
        counts[name] += 1
    return numbered


def _compare_entries(
    kind: EntryKind, before: dict[EntryId, Values], after: dict[EntryId, Values]
) -> Iterator[Difference]:
    for entry in [*before, *(item for item in after if item not in before)]:
        if entry not in after:
            yield EntryRemoved(kind, entry[0])
        elif entry not in before:
            yield EntryAdded(kind, entry[0])
        else:
            yield from _compare_values(kind, entry[0], before[entry], after[entry])


def _compare_values(
    kind: EntryKind, name: str, before: Values, after: Values
) -> Iterator[Difference]:
    for attribute, old in before.items():
        if old != after[attribute]:
            yield ValueChanged(kind, name, attribute, old, after[attribute])


def _compare_keys(
    before: tuple[Organisation, ...], after: tuple[Organisation, ...]
) -> Iterator[Difference]:
    old_keys = _number((org.name, org.keys) for org in before)
    new_keys = _number((org.name, org.keys) for org in after)
    for entry in dict.fromkeys([*old_keys, *new_keys]):
        old = old_keys.get(entry, frozenset())
        new = new_keys.get(entry, frozenset())
        for key in sorted(old - new):
            yield KeyRemoved(entry[0], shorten_key(key))
        for key in sorted(new - old):
            yield KeyAdded(entry[0], shorten_key(key))
