"""Text of the findings of a configuration check, in operators' words."""

from typing import Final

from geraniumwell.model.batch.proposal import (
    CoveredQueue,
    Difference,
    DuplicateName,
    EmptyKey,
    EmptyName,
    EntryAdded,
    EntryKind,
    EntryRemoved,
    Finding,
    GuaranteesBeyondFleet,
    KeyAdded,
    KeyRemoved,
    Location,
    MissingService,
    OrganisationWithoutKeys,
    SharedKey,
    TargetBeyondTimeout,
    TooFewAttempts,
    UnmatchableQueue,
    UnreadableValue,
    UnusedService,
    ValueChanged,
    ValueTooLow,
    VersionNotNewer,
)

LABEL_BY_ATTRIBUTE: Final = {
    "host": "host",
    "prefix": "path prefix",
    "service": "service",
    "priority": "priority",
    "max_attempts": "number of attempts",
    "target_seconds": "target latency",
    "timeout_seconds": "time limit",
    "stretch": "stretch",
    "is_public": "use without a key",
    "guaranteed_accelerators": "guaranteed accelerators",
    "body_limit_bytes": "size limit of a job in bytes",
}


def describe_finding(finding: Finding) -> str:
    """Return what is wrong and what follows from it. Names are quoted and escaped."""
    match finding:
        case UnreadableValue(_, reason):
            return f"unreadable: {reason}"
        case EmptyName(Location(EntryKind.ORGANISATION)):
            return (
                "expected a name; calls with the keys of this organisation are denied"
            )
        case EmptyName():
            return "expected a name"
        case DuplicateName(_, name):
            return f"the name {name!r} is used by an earlier entry"
        case EmptyKey(_, organisation):
            return f"calls without a key would count as organisation {organisation!r}"
        case SharedKey(_, short_key, organisation, earlier):
            return (
                f"key {short_key!r} of organisation {organisation!r} also belongs to "
                f"organisation {earlier!r}"
            )
        case OrganisationWithoutKeys(_, organisation):
            return f"organisation {organisation!r} has no keys, so no call is its own"
        case GuaranteesBeyondFleet(_, guaranteed, available):
            return (
                f"{guaranteed} accelerators are guaranteed, but the fleet has "
                f"{available}"
            )
        case UnusedService(_, service):
            return f"no queue uses service {service!r}"
        case VersionNotNewer(_, version, current):
            return (
                f"version {version} is not above version {current}, so the daemons "
                "would ignore this configuration"
            )
        case _:
            return _describe_queue_finding(finding)


def _describe_queue_finding(finding: Finding) -> str:
    match finding:
        case MissingService(_, queue, service, similar):
            hint = f"; did you mean {similar!r}?" if similar else ""
            return f"service {service!r} of queue {queue!r} is not configured{hint}"
        case UnmatchableQueue(_, queue, host, prefix):
            return (
                f"invalid host or path prefix of queue {queue!r}: expected a host "
                "without port and white space, and a path prefix that begins with / "
                f"and has no ? or #, not {host!r} and {prefix!r}"
            )
        case CoveredQueue(_, queue, other):
            return f"queue {queue!r} never matches; queue {other!r} gets its calls"
        case TargetBeyondTimeout(_, queue, target, timeout):
            return (
                f"the target latency of queue {queue!r} is {_format_ms(target)}, "
                f"beyond its time limit of {_format_ms(timeout)}"
            )
        case TooFewAttempts(_, queue, attempts):
            return f"queue {queue!r} allows {attempts} attempts; expected 1 or more"
        case ValueTooLow(Location(kind, _, attribute), queue, value, least, is_open):
            expected = f"above {least}" if is_open else f"{least} or more"
            return (
                f"{_format_owner(kind, queue)}{LABEL_BY_ATTRIBUTE[attribute]} is "
                f"{_format_value(attribute, value)}; expected {expected}"
            )
    raise TypeError(f"unknown kind of finding: {finding!r}")


def describe_difference(difference: Difference) -> str:
    """Return what would change."""
    match difference:
        case EntryAdded(kind, name):
            return f"{kind} {name!r} is added"
        case EntryRemoved(kind, name):
            return f"{kind} {name!r} is removed"
        case KeyAdded(organisation, short_key):
            return f"organisation {organisation!r} gets key {short_key!r}"
        case KeyRemoved(organisation, short_key):
            return f"organisation {organisation!r} loses key {short_key!r}"
        case ValueChanged(kind, name, attribute, before, after):
            owner = _format_owner(kind, name)
            old = _format_value(attribute, before)
            new = _format_value(attribute, after)
            label = LABEL_BY_ATTRIBUTE[attribute]
            return f"{owner}{label} changes from {old} to {new}"


def _format_owner(kind: EntryKind, name: str) -> str:
    """Return the entry that a value belongs to; limits belong to none."""
    return "" if kind is EntryKind.CONFIGURATION else f"{kind} {name!r}: "


def _format_value(attribute: str, value: str | float) -> str:
    match value:
        case bool():
            return "allowed" if value else "refused"
        case str():
            return repr(value)
        case _ if attribute.endswith("_seconds"):
            return _format_ms(value)
        case _:
            return str(value)


def _format_ms(seconds: float) -> str:
    # Configurations have milliseconds; 15 digits hide the error of the conversion.
    return f"{seconds * 1000:.15g} ms"
