"""Tables of the configuration, of its version on each VM and of jobs."""

from geraniumwell.language.printer import print_shape, print_time
from geraniumwell.model.change import ChangeRecord
from geraniumwell.model.config import Configuration, Endpoint, PlannedStop
from geraniumwell.model.job import JobRecord
from geraniumwell.model.table import Cell, Table, make_table


def show_configured(cfg: Configuration, kind: str, now: float) -> Table:
    """Return a table of the configured objects of one kind.

    Parameters
    ----------
    cfg : Configuration
        The current configuration.
    kind : str
        Name of the kind in the plural, such as ``workers``.
    now : float
        Unix seconds, which determine the state of planned stops.
    """
    match kind:
        case "organisations":
            return _show_organisations(cfg)
        case "classes":
            return _show_classes(cfg)
        case "services":
            return _show_services(cfg)
        case "endpoints":
            return _show_endpoints(cfg, now)
        case "workers":
            return _show_workers(cfg, now)
        case "guarantees":
            return _show_guarantees(cfg)
        case "stops":
            return _show_stops(cfg, now)
    raise ValueError(f"unknown kind of configured object: {kind}")


def _show_organisations(cfg: Configuration) -> Table:
    rows: list[tuple[Cell, ...]] = [
        (item.name, item.share, item.quota_accelerators)
        for item in _sorted(cfg.organisations)
    ]
    return make_table("name share quota", rows)


def _show_classes(cfg: Configuration) -> Table:
    items = sorted(cfg.classes.values(), key=lambda item: (item.rank, item.name))
    rows: list[tuple[Cell, ...]] = [
        (item.name, item.rank, item.window_ms, item.expected_ms, item.idempotent)
        for item in items
    ]
    return make_table("name rank window_ms expected_ms idempotent", rows)


def _show_services(cfg: Configuration) -> Table:
    rows: list[tuple[Cell, ...]] = [
        (item.name, len(item.endpoints), sum(e.slots for e in item.endpoints))
        for item in _sorted(cfg.services)
    ]
    return make_table("name endpoints slots", rows)


def _show_endpoints(cfg: Configuration, now: float) -> Table:
    rows: list[tuple[Cell, ...]] = [
        (
            item.name,
            service.name,
            item.data_centre,
            item.address,
            item.slots,
            item.connections,
            describe_target_state(cfg, item.name, now),
        )
        for service in _sorted(cfg.services)
        for item in service.endpoints
    ]
    columns = "name service data_centre address slots connections state"
    return make_table(columns, rows)


def _show_workers(cfg: Configuration, now: float) -> Table:
    rows: list[tuple[Cell, ...]] = [
        (
            item.name,
            item.data_centre,
            item.rack,
            item.address,
            item.accelerators,
            item.cores,
            item.memory_gb,
            describe_target_state(cfg, item.name, now),
        )
        for item in _sorted(cfg.workers)
    ]
    columns = "name data_centre rack address accelerators cores memory_gb state"
    return make_table(columns, rows)


def _show_guarantees(cfg: Configuration) -> Table:
    rows: list[tuple[Cell, ...]] = [
        (
            item.name,
            item.organisation,
            item.data_centre,
            print_shape(item.shape),
            item.count,
        )
        for item in _sorted(cfg.guarantees)
    ]
    return make_table("name organisation data_centre shape count", rows)


def _show_stops(cfg: Configuration, now: float) -> Table:
    rows: list[tuple[Cell, ...]] = [
        (
            stop.target,
            print_time(stop.starts_at),
            print_time(stop.ends_at),
            _describe_stop(stop, now),
        )
        for stop in sorted(cfg.stops.values(), key=lambda stop: stop.starts_at)
    ]
    return make_table("target from until state", rows)


def _sorted(values: dict) -> list:
    return [values[name] for name in sorted(values)]


def _describe_stop(stop: PlannedStop, now: float) -> str:
    if stop.ends_at <= now:
        return "past"
    return "planned" if stop.starts_at > now else "in force"


def describe_target_state(cfg: Configuration, name: str, now: float) -> str:
    """Describe whether a VM, worker or endpoint is drained, stopped or in use."""
    if name in cfg.drained:
        return "drained"
    stop = cfg.stops.get(name)
    if stop is None or stop.ends_at <= now:
        return "in use"
    return "stopped" if stop.starts_at <= now else "in use, stop planned"


def find_endpoints(cfg: Configuration) -> list[Endpoint]:
    """Return the endpoints of all services."""
    return [item for service in _sorted(cfg.services) for item in service.endpoints]


def show_version(cfg: Configuration, records: tuple[ChangeRecord, ...]) -> Table:
    """Return the current version with its last change, if known, and object counts."""
    last = next((r for r in reversed(records) if r.version == cfg.version), None)
    row = (
        cfg.version,
        None if last is None else print_time(last.at),
        None if last is None else last.author,
        None if last is None else last.reason,
    )
    counts = (
        f"{len(cfg.organisations)} organisations, {len(cfg.classes)} classes, "
        f"{len(cfg.services)} services, {len(find_endpoints(cfg))} endpoints, "
        f"{len(cfg.workers)} workers, {len(cfg.guarantees)} guarantees, "
        f"{len(cfg.stops)} stops, {len(cfg.drained)} drained"
    )
    return make_table("version changed_at author reason", [row], counts)


def show_vm_versions(
    versions: dict[str, int | None], data_centres: dict[str, str]
) -> Table:
    """Return the configuration version that each VM applies.

    Parameters
    ----------
    versions : dict
        Version by VM; None if the VM did not answer.
    data_centres : dict
        Data centre by VM.
    """
    known = [version for version in versions.values() if version is not None]
    newest = max(known, default=0)
    rows: list[tuple[Cell, ...]] = [
        (vm, data_centres.get(vm), version, _describe_version(version, newest))
        for vm, version in sorted(versions.items())
    ]
    return make_table("vm data_centre version state", rows)


def _describe_version(version: int | None, newest: int) -> str:
    if version is None:
        return "no answer"
    return "current" if version == newest else f"{newest - version} behind"


def show_jobs(records: list[JobRecord]) -> Table:
    """Return a table of the jobs with their recorded state."""
    rows: list[tuple[Cell, ...]] = [
        (
            item.job.job_id,
            item.job.organisation,
            item.job.data_centre,
            print_shape(item.job.shape),
            item.state.value,
            item.attempt,
            item.reason,
        )
        for item in sorted(records, key=lambda record: record.job.submitted_at)
    ]
    return make_table("job organisation data_centre shape state attempt reason", rows)
