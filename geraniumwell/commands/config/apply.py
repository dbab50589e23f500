"""Application of changes to a configuration."""

from dataclasses import replace
from typing import Any

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
from geraniumwell.model.config import Configuration


def apply_change(cfg: Configuration, change: Change) -> Configuration:
    """Apply a valid change; the version of the result is one higher."""
    return replace(cfg, version=cfg.version + 1, **_build_changed_fields(cfg, change))


def _build_changed_fields(cfg: Configuration, change: Change) -> dict[str, Any]:
    match change:
        case SetOrganisation(organisation):
            value = cfg.organisations | {organisation.name: organisation}
            return {"organisations": value}
        case SetClass(request_class):
            return {"classes": cfg.classes | {request_class.name: request_class}}
        case SetService(service):
            return {"services": cfg.services | {service.name: service}}
        case SetWorker(worker):
            return {"workers": cfg.workers | {worker.name: worker}}
        case SetGuarantee(guarantee):
            return {"guarantees": cfg.guarantees | {guarantee.name: guarantee}}
        case PlanStop(stop):
            return {"stops": cfg.stops | {stop.target: stop}}
        case Drain(name):
            return {"drained": cfg.drained | {name}}
        case Resume(name):
            return {"drained": cfg.drained - {name}}
        case _:
            return _build_removal_fields(cfg, change)


def _build_removal_fields(cfg: Configuration, change: Change) -> dict[str, Any]:
    name = change.name
    match change:
        case RemoveOrganisation():
            return {"organisations": _without(cfg.organisations, name)}
        case RemoveClass():
            return {"classes": _without(cfg.classes, name)}
        case RemoveService():
            removed_names = {item.name for item in cfg.services[name].endpoints}
            fields = {"services": _without(cfg.services, name)}
            return fields | _drop_stops_and_drains(cfg, removed_names)
        case RemoveWorker():
            fields = {"workers": _without(cfg.workers, name)}
            return fields | _drop_stops_and_drains(cfg, {name})
        case RemoveGuarantee():
            return {"guarantees": _without(cfg.guarantees, name)}
        case RemoveStop():
            return {"stops": _without(cfg.stops, name)}
    raise TypeError(f"unknown kind of change: {change!r}")


def _drop_stops_and_drains(
    cfg: Configuration, removed_names: set[str]
) -> dict[str, Any]:
    # A stop or drain that is kept would apply to a later target of the same name.
    stops = {key: stop for key, stop in cfg.stops.items() if key not in removed_names}
    return {"stops": stops, "drained": cfg.drained - removed_names}


def _without(values: dict[str, Any], name: str) -> dict[str, Any]:
    return {key: value for key, value in values.items() if key != name}


def build_inverse_change(cfg: Configuration, change: Change) -> Change | None:
    """Return the change that restores what ``change`` overwrites, or None."""
    match change:
        case SetOrganisation(organisation):
            return _make_set_change(
                SetOrganisation, cfg.organisations, organisation.name
            )
        case RemoveOrganisation(name):
            return _make_set_change(SetOrganisation, cfg.organisations, name)
        case SetClass(request_class):
            return _make_set_change(SetClass, cfg.classes, request_class.name)
        case RemoveClass(name):
            return _make_set_change(SetClass, cfg.classes, name)
        case SetService(service):
            return _make_set_change(SetService, cfg.services, service.name)
        case RemoveService(name):
            return _make_set_change(SetService, cfg.services, name)
        case SetWorker(worker):
            return _make_set_change(SetWorker, cfg.workers, worker.name)
        case RemoveWorker(name):
            return _make_set_change(SetWorker, cfg.workers, name)
        case SetGuarantee(guarantee):
            return _make_set_change(SetGuarantee, cfg.guarantees, guarantee.name)
        case RemoveGuarantee(name):
            return _make_set_change(SetGuarantee, cfg.guarantees, name)
        case PlanStop(stop):
            return _make_set_change(PlanStop, cfg.stops, stop.target)
        case RemoveStop(name):
            return _make_set_change(PlanStop, cfg.stops, name)
        case Drain(name):
            return Drain(name) if name in cfg.drained else None
        case Resume(name):
            return Drain(name) if name in cfg.drained else None


def _make_set_change(kind: Any, values: dict[str, Any], name: str) -> Change | None:
    return kind(values[name]) if name in values else None


def find_change_name(change: Change) -> str:
    """Return the name of the object that a change concerns."""
    match change:
        case SetOrganisation(value) | SetClass(value) | SetService(value):
            return value.name
        case SetWorker(value) | SetGuarantee(value):
            return value.name
        case PlanStop(stop):
            return stop.target
    return change.name
