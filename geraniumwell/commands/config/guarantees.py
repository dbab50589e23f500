"""Check that all guarantees can be honoured at once after a change."""

from geraniumwell.commands.gangs.guarantees import (
    Feasible,
    Infeasible,
    check_guarantees,
)
from geraniumwell.exceptions import GuaranteesNotHonouredError
from geraniumwell.model.config import Configuration
from geraniumwell.model.worker import Worker


def check_all_honoured(before: Configuration, after: Configuration, now: float) -> None:
    """Refuse a change that removes capacity which a guarantee needs.

    Now and at the start of each planned stop, the workers in use must have enough
    capacity for every guaranteed copy. A change that keeps or reduces an existing
    shortfall is accepted, so that a shortfall can be resolved step by step.

    Parameters
    ----------
    before, after : Configuration
        The configuration without and with the change.
    now : float
        Unix seconds.

    Raises
    ------
    GuaranteesNotHonouredError
        With the data centre, the time and the guarantee without enough capacity.
    """
    centres = {item.data_centre for item in after.guarantees.values()}
    for centre in sorted(centres):
        if _select(before, centre, None) == _select(after, centre, None):
            continue
        for moment in (now, *sorted(_list_stop_starts(after, now))):
            lack = _find_lack(after, centre, moment)
            if lack is None:
                continue
            lack_before = _find_lack(before, centre, moment)
            had = 0 if lack_before is None else len(lack_before.missing)
            if len(lack.missing) > had:
                when = "" if moment == now else " during a planned stop"
                text = f"in data centre {centre}{when}, {lack.reason}"
                raise GuaranteesNotHonouredError(text)


def _list_stop_starts(cfg: Configuration, now: float) -> set[float]:
    stops = cfg.stops.values()
    return {stop.starts_at for stop in stops if stop.starts_at > now}


def _select(cfg: Configuration, centre: str, moment: float | None) -> tuple:
    """Return the inputs of the guarantee check of a data centre.

    With a moment, workers that are stopped at that moment are left out. Without one,
    the planned stops are returned instead, to detect whether any input changed.
    """
    workers = {
        name: worker
        for name, worker in cfg.workers.items()
        if worker.data_centre == centre and name not in cfg.drained
    }
    guarantees = [g for g in cfg.guarantees.values() if g.data_centre == centre]
    if moment is None:
        stops = {name: stop for name, stop in cfg.stops.items() if name in workers}
        return workers, guarantees, stops
    usable: dict[str, Worker] = {}
    for name, worker in workers.items():
        stop = cfg.stops.get(name)
        if stop is None or not stop.starts_at <= moment < stop.ends_at:
            usable[name] = worker
    return usable, guarantees, {}


def _find_lack(cfg: Configuration, centre: str, moment: float) -> Infeasible | None:
    workers, guarantees, _ = _select(cfg, centre, moment)
    match check_guarantees(workers, guarantees):
        case Infeasible() as lack:
            return lack
        case Feasible():
            return None
