"""Fair shares of organisations, and slot usage by organisation and class."""

from geraniumwell.model.config import Configuration
from geraniumwell.model.serving import ServiceState


def find_weight(cfg: Configuration, organisation: str) -> float:
    """Return the weight of an organisation; 1 if it is not configured."""
    org = cfg.organisations.get(organisation)
    return org.share if org is not None else 1.0


def find_fair_share(cfg: Configuration, slots: int, organisation: str) -> float:
    """Return the fair share of an organisation, in slots out of ``slots``."""
    total = sum(org.share for org in cfg.organisations.values())
    weight = find_weight(cfg, organisation)
    if organisation not in cfg.organisations:
        total += weight
    return slots * weight / total if total > 0 else 0.0


def count_used_by_organisation(svc: ServiceState, organisation: str) -> int:
    """Return the number of slots that an organisation uses."""
    return sum(used for (org, _), used in svc.in_use.items() if org == organisation)


def count_used_by_class(svc: ServiceState, class_name: str) -> int:
    """Return the number of slots that a class uses."""
    return sum(used for (_, name), used in svc.in_use.items() if name == class_name)
