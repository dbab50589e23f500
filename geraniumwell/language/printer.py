"""Printer of statements in the operators' language."""

from datetime import UTC, datetime
from functools import cache
from json import dumps
from re import ASCII, fullmatch

from geraniumwell.language.ast import (
    CancelGang,
    ChangeConfiguration,
    Command,
    History,
    Show,
    Statement,
    SubmitGang,
    WhatIf,
    WhyJob,
    WhyRefused,
)
from geraniumwell.language.parser import list_keywords
from geraniumwell.model.change import (
    Change,
    Drain,
    PlanStop,
    RemoveClass,
    RemoveGuarantee,
    RemoveOrganisation,
    RemoveService,
    RemoveStop,
    RemoveWorker,
    Resume,
    SetClass,
    SetGuarantee,
    SetOrganisation,
    SetService,
    SetWorker,
)
from geraniumwell.model.config import Endpoint, Organisation, RequestClass
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import (
    Checkpointable,
    Interruption,
    SameDataCentre,
    SameRack,
    SameWorker,
    Shape,
    Spread,
    Stoppable,
    Uninterruptible,
)
from geraniumwell.model.worker import Worker


@cache
def _get_keywords() -> frozenset[str]:
    return list_keywords()


def print_statements(statements: tuple[Statement, ...]) -> str:
    """Return the text of several statements, one on each line."""
    return "".join(f"{print_statement(item)};\n" for item in statements)


def print_statement(statement: Statement) -> str:
    """Return the text of one statement; parsing it gives the same statement."""
    match statement:
        case Show(kind, where):
            return f"show {kind} --where" if where else f"show {kind}"
        case WhyJob(job_id):
            return f"why job {print_name(job_id)}"
        case WhyRefused():
            return "why refused"
        case History(name):
            return "history" if name is None else f"history of {print_name(name)}"
        case WhatIf(command):
            return f"what if {print_command(command)}"
        case _:
            return print_command(statement)


def print_command(command: Command) -> str:
    """Return the text of a command with its reason, if it has one."""
    match command:
        case ChangeConfiguration(change, reason):
            body = print_change(change)
        case CancelGang(job_id, reason):
            body = f"cancel job {print_name(job_id)}"
        case SubmitGang(reason=reason):
            body = _print_submission(command)
    return f"{body} because {print_text(reason)}" if reason else body


def print_change(change: Change) -> str:
    """Return the text of a change without a reason."""
    match change:
        case SetOrganisation(organisation):
            return _print_organisation(organisation)
        case SetClass(request_class):
            return _print_class(request_class)
        case SetService(service):
            endpoints = ", ".join(_print_endpoint(item) for item in service.endpoints)
            return f"set service {print_name(service.name)} {endpoints}".rstrip()
        case SetWorker(worker):
            return _print_worker(worker)
        case SetGuarantee(guarantee):
            return _print_guarantee(guarantee)
        case PlanStop(stop):
            start, end = print_time(stop.starts_at), print_time(stop.ends_at)
            return f"plan stop {print_name(stop.target)} from {start} until {end}"
        case Drain(name):
            return f"drain {print_name(name)}"
        case Resume(name):
            return f"resume {print_name(name)}"
        case _:
            return f"remove {_print_kind(change)} {print_name(change.name)}"


def _print_kind(change: Change) -> str:
    match change:
        case RemoveOrganisation():
            return "organisation"
        case RemoveClass():
            return "class"
        case RemoveService():
            return "service"
        case RemoveWorker():
            return "worker"
        case RemoveGuarantee():
            return "guarantee"
        case RemoveStop():
            return "stop"
    raise TypeError(f"not a removal: {change!r}")


def print_name(name: str) -> str:
    """Return a name, in quotes if it would not be parsed as a name without them."""
    is_plain = fullmatch(r"[A-Za-z0-9_][\w.:-]*", name, ASCII) is not None
    return name if is_plain and name not in _get_keywords() else print_text(name)


def print_text(text: str) -> str:
    """Return a text in quotes."""
    return dumps(text)


def print_time(seconds: float) -> str:
    """Return Unix seconds as date and time in UTC, without fractions of a second."""
    return datetime.fromtimestamp(int(seconds), UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def print_duration(seconds: float) -> str:
    """Return a duration in seconds."""
    return f"{int(seconds)}s" if seconds == int(seconds) else f"{seconds!r}s"


def _print_organisation(org: Organisation) -> str:
    quota = "none" if org.quota_accelerators is None else org.quota_accelerators
    name = print_name(org.name)
    return f"set organisation {name} share {org.share!r} quota {quota}"


def _print_class(item: RequestClass) -> str:
    ending = "idempotent" if item.idempotent else "not idempotent"
    return (
        f"set class {print_name(item.name)} rank {item.rank} "
        f"window {item.window_ms}ms expected {item.expected_ms}ms {ending}"
    )


def _print_endpoint(item: Endpoint) -> str:
    return (
        f"endpoint {print_name(item.name)} in {print_name(item.data_centre)} "
        f"at {item.address} slots {item.slots} connections {item.connections}"
    )


def _print_worker(item: Worker) -> str:
    return (
        f"set worker {print_name(item.name)} in {print_name(item.data_centre)} "
        f"rack {print_name(item.rack)} at {item.address} "
        f"accelerators {item.accelerators} cores {item.cores} memory {item.memory_gb}"
    )


def _print_guarantee(item: Guarantee) -> str:
    return (
        f"set guarantee {print_name(item.name)} for {print_name(item.organisation)} "
        f"in {print_name(item.data_centre)} {print_shape(item.shape)} "
        f"count {item.count}"
    )


def print_shape(shape: Shape) -> str:
    """Return the text of the shape of a gang."""
    return (
        f"members {shape.members} accelerators {shape.accelerators} "
        f"cores {shape.cores} memory {shape.memory_gb} {_print_spread(shape.spread)}"
    )


def _print_spread(spread: Spread) -> str:
    match spread:
        case SameWorker():
            return "same-worker"
        case SameRack():
            return "same-rack"
        case SameDataCentre():
            return "same-data-centre"


def _print_interruption(interruption: Interruption) -> str:
    match interruption:
        case Stoppable(seconds):
            return f"stoppable within {print_duration(seconds)}"
        case Checkpointable(seconds):
            return f"checkpoint within {print_duration(seconds)}"
        case Uninterruptible():
            return "uninterruptible"


def _print_submission(item: SubmitGang) -> str:
    job_id = "" if item.job_id is None else f"{print_name(item.job_id)} "
    words = ("urgent" if item.urgent else "", "guaranteed" if item.guaranteed else "")
    return " ".join(
        (
            f"submit job {job_id}for {print_name(item.organisation)}",
            f"in {print_name(item.data_centre)} {print_shape(item.shape)}",
            f"lasting {print_duration(item.declared_seconds)}",
            _print_interruption(item.interruption),
            *(word for word in words if word),
        )
    )
