"""Sizes of the users' data centres and of one expected in two years."""

from dataclasses import dataclass

from geraniumwell.model.config import Configuration, Organisation, PlannedStop
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import SameRack, SameWorker, Shape
from geraniumwell.model.worker import Worker

DATA_CENTRE = "dc"
HOUR_SECONDS = 3600.0


@dataclass(slots=True, frozen=True)
class Size:
    """One data centre and the load that its trace offers.

    ``load`` is the share of the accelerators that would be used if no job had to
    wait, without guarantee claims. ``filler_gangs`` use only cores and are submitted
    at the start.
    """

    name: str
    accelerator_workers: int
    plain_workers: int
    rack_workers: int
    cores: int
    memory_gb: int
    organisations: int
    load: float
    hours: float
    median_seconds: float
    filler_gangs: int = 0


SALTWAY = Size("saltway", 24, 0, 8, 32, 128, 4, 0.8, 6.0, 1800.0)
CHIFRE = Size("chifre", 24, 0, 6, 128, 512, 4, 0.8, 6.0, 1800.0)
TWO_YEARS = Size("two-years", 80, 460, 8, 64, 256, 88, 0.8, 2.5, 3600.0, 150)
SIZES = (SALTWAY, CHIFRE, TWO_YEARS)


def make_workers(size: Size) -> dict[str, Worker]:
    """Return the workers of a size."""
    workers: dict[str, Worker] = {}
    for index in range(size.accelerator_workers + size.plain_workers):
        name = f"w{index:03d}"
        rack = f"r{index // size.rack_workers:02d}"
        accelerators = 8 if index < size.accelerator_workers else 0
        workers[name] = Worker(
            name, DATA_CENTRE, rack, "", accelerators, size.cores, size.memory_gb
        )
    return workers


def make_guarantees(size: Size) -> dict[str, Guarantee]:
    """Return guarantees of a few organisations, about 0.4 of the accelerators.

    In each group of 24 workers, the first organisation has two whole workers in one
    rack twice, the second four aligned accelerators four times, the third a whole
    worker twice.
    """
    guarantees: dict[str, Guarantee] = {}
    for group in range(size.accelerator_workers // 24):
        shapes = (
            (Shape(2, 8, 8, 32, SameRack()), 2),
            (Shape(1, 4, 8, 32, SameWorker()), 4),
            (Shape(1, 8, 16, 64, SameWorker()), 2),
        )
        for index, (shape, count) in enumerate(shapes):
            name = f"g{group}-{index}"
            organisation = f"org{group * 3 + index:02d}"
            guarantees[name] = Guarantee(name, organisation, DATA_CENTRE, shape, count)
    return guarantees


def make_configuration(size: Size) -> Configuration:
    """Return the configuration of a size, with a planned stop of one worker."""
    total = size.accelerator_workers * 8
    names = [f"org{i:02d}" for i in range(size.organisations)]
    organisations = {n: Organisation(n, 1.0, total // 2) for n in names}
    middle = size.hours * HOUR_SECONDS / 2
    stop = PlannedStop("w005", middle, middle + HOUR_SECONDS)
    return Configuration(
        1,
        organisations=organisations,
        workers=make_workers(size),
        guarantees=make_guarantees(size),
        stops={"stop-1": stop},
    )
