"""Capacity guarantees of organisations."""

from dataclasses import dataclass

from geraniumwell.model.job import Shape


@dataclass(slots=True, frozen=True)
class Guarantee:
    """``count`` copies of a shape that an organisation may claim at any time."""

    name: str
    organisation: str
    data_centre: str
    shape: Shape
    count: int = 1
