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
    data_centres = {item.data_centre for item in after.guarantees.values()}
    for data_centre in sorted(data_centres):
        if _select_inputs(before, data_centre, None) == _select_inputs(
            after, data_centre, None
        ):
            continue
        for moment in (now, *sorted(_list_stop_starts(after, now))):
            shortfall = _find_shortfall(after, data_centre, moment)
            if shortfall is None:
                continue
            shortfall_before = _find_shortfall(before, data_centre, moment)
            missing_before = (
                0 if shortfall_before is None else len(shortfall_before.missing)
            )
            if len(shortfall.missing) > missing_before:
                when = "" if moment == now else " during a planned stop"
                text = f"in data centre {data_centre}{when}, {shortfall.reason}"
                raise GuaranteesNotHonouredError(text)


def _list_stop_starts(cfg: Configuration, now: float) -> set[float]:
    stops = cfg.stops.values()
    return {stop.starts_at for stop in stops if stop.starts_at > now}


def _select_inputs(cfg: Configuration, data_centre: str, moment: float | None) -> tuple:
    """Return the inputs of the guarantee check of a data centre.

    With a moment, workers that are stopped at that moment are left out. Without one,
    the planned stops are returned instead, to detect whether any input changed.
    """
    workers = {
        name: worker
        for name, worker in cfg.workers.items()
        if worker.data_centre == data_centre and name not in cfg.drained
    }
    guarantees = [g for g in cfg.guarantees.values() if g.data_centre == data_centre]
    if moment is None:
        stops = {name: stop for name, stop in cfg.stops.items() if name in workers}
        return workers, guarantees, stops
    usable: dict[str, Worker] = {}
    for name, worker in workers.items():
        stop = cfg.stops.get(name)
        if stop is None or not stop.starts_at <= moment < stop.ends_at:
            usable[name] = worker
    return usable, guarantees, {}


def _find_shortfall(
    cfg: Configuration, data_centre: str, moment: float
) -> Infeasible | None:
    workers, guarantees, _ = _select_inputs(cfg, data_centre, moment)
    match check_guarantees(workers, guarantees):
        case Infeasible() as shortfall:
            return shortfall
        case Feasible():
            return None
