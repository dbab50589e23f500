"""Application of a change to a configuration."""

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
    """Return the configuration after a valid change, one version higher."""
    return replace(cfg, version=cfg.version + 1, **_changed_fields(cfg, change))


def _changed_fields(cfg: Configuration, change: Change) -> dict[str, Any]:
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
            return _fields_after_removal(cfg, change)


def _fields_after_removal(cfg: Configuration, change: Change) -> dict[str, Any]:
    name = change.name
    match change:
        case RemoveOrganisation():
            return {"organisations": _without(cfg.organisations, name)}
        case RemoveClass():
            return {"classes": _without(cfg.classes, name)}
        case RemoveService():
            gone = {item.name for item in cfg.services[name].endpoints}
            kept = {"services": _without(cfg.services, name)}
            return kept | _without_targets(cfg, gone)
        case RemoveWorker():
            kept = {"workers": _without(cfg.workers, name)}
            return kept | _without_targets(cfg, {name})
        case RemoveGuarantee():
            return {"guarantees": _without(cfg.guarantees, name)}
        case RemoveStop():
            return {"stops": _without(cfg.stops, name)}
    raise TypeError(f"not a change: {change!r}")


def _without_targets(cfg: Configuration, gone: set[str]) -> dict[str, Any]:
    # A stop or drain that outlives its target would hit a later one of that name.
    stops = {key: stop for key, stop in cfg.stops.items() if key not in gone}
    return {"stops": stops, "drained": cfg.drained - gone}


def _without(values: dict[str, Any], name: str) -> dict[str, Any]:
    return {key: value for key, value in values.items() if key != name}


def build_inverse_change(cfg: Configuration, change: Change) -> Change | None:
    """Return the change that restores what ``change`` replaces, or None."""
    match change:
        case SetOrganisation(organisation):
            return _restore(SetOrganisation, cfg.organisations, organisation.name)
        case RemoveOrganisation(name):
            return _restore(SetOrganisation, cfg.organisations, name)
        case SetClass(request_class):
            return _restore(SetClass, cfg.classes, request_class.name)
        case RemoveClass(name):
            return _restore(SetClass, cfg.classes, name)
        case SetService(service):
            return _restore(SetService, cfg.services, service.name)
        case RemoveService(name):
            return _restore(SetService, cfg.services, name)
        case SetWorker(worker):
            return _restore(SetWorker, cfg.workers, worker.name)
        case RemoveWorker(name):
            return _restore(SetWorker, cfg.workers, name)
        case SetGuarantee(guarantee):
            return _restore(SetGuarantee, cfg.guarantees, guarantee.name)
        case RemoveGuarantee(name):
            return _restore(SetGuarantee, cfg.guarantees, name)
        case PlanStop(stop):
            return _restore(PlanStop, cfg.stops, stop.target)
        case RemoveStop(name):
            return _restore(PlanStop, cfg.stops, name)
        case Drain(name):
            return Drain(name) if name in cfg.drained else None
        case Resume(name):
            return Drain(name) if name in cfg.drained else None


def _restore(kind: Any, values: dict[str, Any], name: str) -> Change | None:
    return kind(values[name]) if name in values else None


def find_change_name(change: Change) -> str:
    """Return the name of what a change concerns."""
    match change:
        case SetOrganisation(value) | SetClass(value) | SetService(value):
            return value.name
        case SetWorker(value) | SetGuarantee(value):
            return value.name
        case PlanStop(stop):
            return stop.target
    return change.name
