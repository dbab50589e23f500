"""Statements of the operators' language."""

from dataclasses import dataclass

from geraniumwell.model.change import Change
from geraniumwell.model.job import Interruption, Shape


@dataclass(slots=True, frozen=True)
class Show:
    """Query for the current state; ``where`` adds the version that each VM applies."""

    kind: str
    where: bool = False


@dataclass(slots=True, frozen=True)
class WhyJob:
    """Query for the reasons of a job's state."""

    job_id: str


@dataclass(slots=True, frozen=True)
class WhyRefused:
    """Query for the reasons why requests were refused."""


@dataclass(slots=True, frozen=True)
class History:
    """Query for the recorded changes, of one name or of all names."""

    name: str | None = None


@dataclass(slots=True, frozen=True)
class ChangeConfiguration:
    """Command that changes the configuration."""

    change: Change
    reason: str


@dataclass(slots=True, frozen=True)
class SubmitGang:
    """Command that submits a gang job; only daemons set ``job_id``."""

    job_id: str | None
    organisation: str
    data_centre: str
    shape: Shape
    declared_seconds: float
    interruption: Interruption
    urgent: bool
    guaranteed: bool
    reason: str


@dataclass(slots=True, frozen=True)
class CancelGang:
    """Command that cancels a gang job."""

    job_id: str
    reason: str


Command = ChangeConfiguration | SubmitGang | CancelGang


@dataclass(slots=True, frozen=True)
class WhatIf:
    """Query for the effect of a command without executing it."""

    command: Command


Query = Show | WhyJob | WhyRefused | History | WhatIf
Statement = Query | Command
