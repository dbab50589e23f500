"""Effect of a command that is not carried out."""

from geraniumwell.commands.config.apply import apply_change, build_inverse_change
from geraniumwell.commands.config.validate import validate_change
from geraniumwell.commands.gangs.admission import Rejected, admit
from geraniumwell.exceptions import ChangeError
from geraniumwell.language.printer import print_change
from geraniumwell.model.change import Change
from geraniumwell.model.config import Configuration
from geraniumwell.model.gang_view import GangView, LeaseTable
from geraniumwell.model.job import Job
from geraniumwell.model.table import Table, make_table


def preview_change(
    cfg: Configuration, change: Change, now: float, vms: frozenset[str]
) -> Table:
    """Return what a change would do.

    Parameters
    ----------
    cfg : Configuration
        The configuration in force.
    change : Change
        The change, which is not applied.
    now : float
        Unix seconds.
    vms : frozenset of str
        The entry VMs.
    """
    try:
        validate_change(cfg, change, now, vms)
    except ChangeError as exc:
        return make_table("effect before after", [("refused", None, None)], str(exc))
    before = build_inverse_change(cfg, change)
    after = apply_change(cfg, change)
    restored = print_change(before) if before is not None else None
    row = ("accepted", restored, print_change(change))
    return make_table("effect before after", [row], *_list_side_effects(cfg, after))


def preview_submission(cfg: Configuration, job: Job, now: float) -> Table:
    """Return whether a job would be accepted, with the reason if not."""
    view = GangView(job.data_centre, cfg, {}, LeaseTable())
    match admit(view, job, now):
        case Rejected(code, reason):
            return make_table("effect code", [("refused", str(code))], reason)
    note = "the job would be recorded; when it starts depends on the jobs before it"
    return make_table("effect code", [("accepted", None)], note)


def _list_side_effects(before: Configuration, after: Configuration) -> list[str]:
    lines = [f"version {before.version} would become {after.version}"]
    for label, names in (
        ("planned stop", set(before.stops) - set(after.stops)),
        ("drain", set(before.drained) - set(after.drained)),
    ):
        lines.extend(f"the {label} of {name} would end" for name in sorted(names))
    lines.extend(_list_slot_effects(before, after))
    return lines


def _list_slot_effects(before: Configuration, after: Configuration) -> list[str]:
    lines = []
    for name in sorted(set(before.services) | set(after.services)):
        old, new = _count_slots(before, name), _count_slots(after, name)
        if old != new:
            lines.append(f"slots of {name} for new work: {old} would become {new}")
    old, new = _count_accelerators(before), _count_accelerators(after)
    if old != new:
        lines.append(f"accelerators for new work: {old} would become {new}")
    return lines


def _count_slots(cfg: Configuration, name: str) -> int:
    if name not in cfg.services:
        return 0
    endpoints = cfg.services[name].endpoints
    return sum(item.slots for item in endpoints if item.name not in cfg.drained)


def _count_accelerators(cfg: Configuration) -> int:
    workers = cfg.workers.values()
    return sum(item.accelerators for item in workers if item.name not in cfg.drained)
