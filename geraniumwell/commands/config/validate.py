"""Validation of configuration changes before they are recorded."""

from collections.abc import Iterable
from difflib import get_close_matches
from ipaddress import ip_address
from math import isfinite

from geraniumwell.commands.config.apply import apply_change, find_change_name
from geraniumwell.commands.config.guarantees import check_all_honoured
from geraniumwell.const import MAX_PORT
from geraniumwell.exceptions import ChangeInvalidError
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
from geraniumwell.model.config import (
    Configuration,
    Endpoint,
    Organisation,
    PlannedStop,
    RequestClass,
    Service,
)
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.worker import Worker


def validate_change(
    cfg: Configuration,
    change: Change,
    now: float,
    vms: frozenset[str] = frozenset(),
) -> None:
    """Raise an error if a change is not valid for a configuration.

    Parameters
    ----------
    cfg : Configuration
        The current configuration.
    change : Change
        The change to check.
    now : float
        Unix seconds.
    vms : frozenset of str
        Entry VMs, which may be the target of drains and planned stops.

    Raises
    ------
    ChangeInvalidError
        With the key path and what was expected.
    GuaranteesNotHonouredError
        If the change would leave too little capacity for the guarantees.
    """
    if not find_change_name(change).strip():
        raise ChangeInvalidError("name", "a name that is not empty")
    match change:
        case SetOrganisation(organisation):
            _check_organisation(organisation)
        case SetClass(request_class):
            _check_class(request_class)
        case SetService(service):
            _check_service(cfg, service)
        case SetWorker(worker):
            _check_worker(cfg, worker)
        case SetGuarantee(guarantee):
            _check_guarantee(cfg, guarantee)
        case PlanStop(stop):
            _check_stop(cfg, stop, now, vms)
        case Drain(name):
            _check_target(cfg, "drain", name, vms)
            _require(name not in cfg.drained, f"drained.{name}", "not drained yet")
        case Resume(name):
            check_known("drained", name, cfg.drained)
        case _:
            _check_removal(cfg, change)
    check_all_honoured(cfg, apply_change(cfg, change), now)


def _require(condition: bool, key: str, expected: str) -> None:
    if not condition:
        raise ChangeInvalidError(key, expected)


def check_known(path: str, name: str, known: Iterable[str]) -> None:
    """Raise an error unless a name is known; the error suggests a similar name.

    Raises
    ------
    ChangeInvalidError
        With the key path.
    """
    names = list(known)
    if name in names:
        return
    nearest = get_close_matches(name, names, 1)
    hint = f"; did you mean {nearest[0]}?" if nearest else ""
    raise ChangeInvalidError(f"{path}.{name}", f"a known name{hint}")


def _check_address(key: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ip_address(host.strip("[]"))
        is_valid = 0 < int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    _require(is_valid, key, f"ip:port, not {address!r}")


def _check_organisation(org: Organisation) -> None:
    path = f"organisations.{org.name}"
    share_is_valid = isfinite(org.share) and org.share > 0
    _require(share_is_valid, f"{path}.share", "a number above 0")
    quota = org.quota_accelerators
    is_valid = quota is None or quota >= 0
    _require(is_valid, f"{path}.quota", "a count of 0 or more, or none")


def _check_class(request_class: RequestClass) -> None:
    path = f"classes.{request_class.name}"
    _require(request_class.rank >= 0, f"{path}.rank", "a rank of 0 or more")
    _require(request_class.window_ms > 0, f"{path}.window", "a time above 0ms")
    _require(request_class.expected_ms > 0, f"{path}.expected", "a time above 0ms")


def _check_service(cfg: Configuration, service: Service) -> None:
    used_names = set(cfg.workers) | {
        item.name
        for other in cfg.services.values()
        if other.name != service.name
        for item in other.endpoints
    }
    for endpoint in service.endpoints:
        path = f"services.{service.name}.endpoints.{endpoint.name}"
        _require(endpoint.name not in used_names, path, "a name that is not in use yet")
        used_names.add(endpoint.name)
        _check_endpoint(path, endpoint)


def _check_endpoint(path: str, endpoint: Endpoint) -> None:
    _require(bool(endpoint.name.strip()), path, "a name that is not empty")
    dc_key = f"{path}.data_centre"
    _require(bool(endpoint.data_centre.strip()), dc_key, "a data centre")
    _check_address(f"{path}.address", endpoint.address)
    _require(endpoint.slots > 0, f"{path}.slots", "a count above 0")
    expected = f"at least as many as the {endpoint.slots} slots"
    is_enough = endpoint.connections >= endpoint.slots
    _require(is_enough, f"{path}.connections", expected)


def _check_worker(cfg: Configuration, worker: Worker) -> None:
    path = f"workers.{worker.name}"
    names = {e.name for s in cfg.services.values() for e in s.endpoints}
    _require(worker.name not in names, path, "a name that is not in use yet")
    _require(bool(worker.data_centre.strip()), f"{path}.data_centre", "a data centre")
    _require(bool(worker.rack.strip()), f"{path}.rack", "a rack")
    _check_address(f"{path}.address", worker.address)
    _check_accelerator_count(f"{path}.accelerators", worker.accelerators)
    _require(worker.cores > 0, f"{path}.cores", "a count above 0")
    _require(worker.memory_gb > 0, f"{path}.memory", "a size above 0 GB")


def _check_accelerator_count(key: str, count: int) -> None:
    # Adjacent accelerators are allocated in aligned blocks of a power of two.
    is_power_of_two = count == 0 or count & (count - 1) == 0
    _require(count >= 0 and is_power_of_two, key, "0 or a power of two")


def _check_guarantee(cfg: Configuration, guarantee: Guarantee) -> None:
    path = f"guarantees.{guarantee.name}"
    check_known(f"{path}.organisation", guarantee.organisation, cfg.organisations)
    data_centres = {worker.data_centre for worker in cfg.workers.values()}
    check_known(f"{path}.data_centre", guarantee.data_centre, sorted(data_centres))
    shape = guarantee.shape
    _require(guarantee.count > 0, f"{path}.count", "a count above 0")
    _require(shape.members > 0, f"{path}.members", "a count above 0")
    _check_accelerator_count(f"{path}.accelerators", shape.accelerators)
    _require(shape.cores >= 0, f"{path}.cores", "a count of 0 or more")
    _require(shape.memory_gb >= 0, f"{path}.memory", "a size of 0 GB or more")


def _check_target(
    cfg: Configuration, path: str, name: str, vms: frozenset[str]
) -> None:
    endpoints = {e.name for s in cfg.services.values() for e in s.endpoints}
    check_known(path, name, sorted(vms | endpoints | set(cfg.workers)))


def _check_stop(
    cfg: Configuration, stop: PlannedStop, now: float, vms: frozenset[str]
) -> None:
    path = f"stops.{stop.target}"
    _check_target(cfg, "stops", stop.target, vms)
    _require(stop.ends_at > stop.starts_at, f"{path}.until", "a time after the start")
    _require(stop.ends_at > now, f"{path}.until", "a time in the future")


def _check_removal(cfg: Configuration, change: Change) -> None:
    name = change.name
    match change:
        case RemoveOrganisation():
            check_known("organisations", name, cfg.organisations)
            for guarantee in cfg.guarantees.values():
                expected = f"no guarantee left, but {guarantee.name} names it"
                _require(
                    guarantee.organisation != name, f"organisations.{name}", expected
                )
        case RemoveClass():
            check_known("classes", name, cfg.classes)
        case RemoveService():
            check_known("services", name, cfg.services)
        case RemoveWorker():
            check_known("workers", name, cfg.workers)
        case RemoveGuarantee():
            check_known("guarantees", name, cfg.guarantees)
        case RemoveStop():
            check_known("stops", name, cfg.stops)
