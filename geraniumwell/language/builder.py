"""Conversion of parse trees to statements."""

from dataclasses import replace
from datetime import UTC, datetime
from json import JSONDecodeError, loads
from math import isfinite
from typing import Any

from lark import Token, Transformer, v_args

from geraniumwell.language.ast import (
    CancelGang,
    ChangeConfiguration,
    Command,
    History,
    Show,
    Statement,
    SubmitGang,
    WhatIf,
    WhyJob,
    WhyRefused,
)
from geraniumwell.model.change import (
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
    Endpoint,
    Organisation,
    PlannedStop,
    RequestClass,
    Service,
)
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import (
    Checkpointable,
    Interruption,
    SameDataCentre,
    SameRack,
    SameWorker,
    Shape,
    Stoppable,
    Uninterruptible,
)
from geraniumwell.model.worker import Worker

UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
REMOVALS = {
    "organisation": RemoveOrganisation,
    "class": RemoveClass,
    "service": RemoveService,
    "worker": RemoveWorker,
    "guarantee": RemoveGuarantee,
    "stop": RemoveStop,
}
SPREADS = {
    "same-worker": SameWorker,
    "same-rack": SameRack,
    "same-data-centre": SameDataCentre,
}


class InvalidValueError(ValueError):
    """A token matches the grammar but has no valid value."""

    def __init__(self, token: Token, expected: str) -> None:
        self.token = token
        self.expected = expected
        super().__init__(expected)


class OptionalFields(dict[str, Any]):
    """Optional fields of a record, which the text sets by keyword."""


@v_args(inline=True)
class StatementBuilder(Transformer):
    """Builds statements from parse trees; each method handles the rule of its name.

    The body of a command is built without a reason, which ``command`` or ``what_if``
    adds.
    """

    def start(self, *statements: Statement | None) -> tuple[Statement, ...]:
        """Return the statements of a text, without empty ones."""
        return tuple(item for item in statements if item is not None)

    def name(self, token: Token) -> str:
        """Return a name, which may be quoted."""
        return self.text(token) if token.type == "STRING" else str(token)

    def text(self, token: Token) -> str:
        """Return the content of a quoted text."""
        try:
            return loads(token)
        except JSONDecodeError as exc:
            raise InvalidValueError(token, "a text with JSON's escapes") from exc

    def integer(self, token: Token) -> int:
        """Return an integer."""
        try:
            return int(token)
        except ValueError as exc:
            raise InvalidValueError(token, "a whole number") from exc

    def duration(self, token: Token) -> float:
        """Return a duration in seconds."""
        digits = token.rstrip("mshd")
        seconds = float(digits) * UNIT_SECONDS[token[len(digits) :]]
        if not isfinite(seconds):
            raise InvalidValueError(token, "a finite time")
        return seconds

    def milliseconds(self, token: Token) -> int:
        """Return a duration in milliseconds, rounded to an integer."""
        return round(self.duration(token) * 1000)

    def show(self, kind: Token) -> Statement:
        """Build a query for records of one kind."""
        return Show(str(kind))

    def show_jobs(self) -> Statement:
        """Build a query for the jobs."""
        return Show("jobs")

    def show_config(self, where: Token | None) -> Statement:
        """Build a query for the version of the configuration."""
        return Show("config", where is not None)

    def why_job(self, name: str) -> Statement:
        """Build a query for the reasons of a job's state."""
        return WhyJob(name)

    def why_refused(self) -> Statement:
        """Build a query for the reasons of refused requests."""
        return WhyRefused()

    def history(self, name: str | None) -> Statement:
        """Build a query for recorded changes."""
        return History(name)

    def what_if(self, body: Any, reason: str | None) -> Statement:
        """Build a query for the effect of a command."""
        return WhatIf(_add_reason(body, reason or ""))

    def command(self, body: Any, reason: str) -> Statement:
        """Build a command with its reason."""
        return _add_reason(body, reason)

    def because(self, token: Token) -> str:
        """Return the reason of a command."""
        reason = self.text(token)
        if not reason.strip():
            raise InvalidValueError(token, "a reason that is not empty")
        return reason

    def share(self, token: Token) -> OptionalFields:
        """Return the weight of an organisation, which the language calls its share."""
        return OptionalFields(share=float(token))

    def quota(self, value: Any) -> OptionalFields:
        """Return the quota of an organisation."""
        is_none = isinstance(value, Token)
        return OptionalFields(quota_accelerators=None if is_none else value)

    def count(self, value: int) -> OptionalFields:
        """Return the count of a guarantee."""
        return OptionalFields(count=value)

    def idempotent(self, *tokens: Token) -> OptionalFields:
        """Return whether requests of a class are idempotent."""
        return OptionalFields(idempotent=len(tokens) == 1)

    def set_organisation(self, name: str, *options: OptionalFields) -> Any:
        """Build the change that sets an organisation."""
        return SetOrganisation(Organisation(name, **_merge(options)))

    def set_class(
        self, name: str, rank: int, window: int, expected: int, *options: OptionalFields
    ) -> Any:
        """Build the change that sets a request class."""
        fields = _merge(options)
        return SetClass(RequestClass(name, rank, window, expected, **fields))

    def set_service(self, name: str, *endpoints: Endpoint | None) -> Any:
        """Build the change that sets a service."""
        given = tuple(item for item in endpoints if item is not None)
        return SetService(Service(name, given))

    def endpoint(
        self, name: str, data_centre: str, address: Token, slots: int, connections: int
    ) -> Endpoint:
        """Return an endpoint."""
        return Endpoint(name, data_centre, str(address), slots, connections)

    def set_worker(self, *values: Any) -> Any:
        """Build the change that sets a worker."""
        name, data_centre, rack, address, accelerators, cores, memory = values
        return SetWorker(
            Worker(name, data_centre, rack, str(address), accelerators, cores, memory)
        )

    def set_guarantee(
        self,
        name: str,
        organisation: str,
        data_centre: str,
        shape: Shape,
        *options: OptionalFields,
    ) -> Any:
        """Build the change that sets a guarantee."""
        fields = _merge(options)
        return SetGuarantee(Guarantee(name, organisation, data_centre, shape, **fields))

    def shape(
        self,
        members: int,
        accelerators: int,
        cores: int | None,
        memory: int | None,
        spread: Token | None,
    ) -> Shape:
        """Return the shape of a gang."""
        return Shape(
            members,
            accelerators,
            1 if cores is None else cores,
            1 if memory is None else memory,
            SPREADS[spread or "same-data-centre"](),
        )

    def remove(self, kind: Token, name: str) -> Any:
        """Build the change that removes a record."""
        return REMOVALS[kind](name)

    def plan_stop(self, target: str, start: Token, end: Token) -> Any:
        """Build the change that adds a planned stop."""
        return PlanStop(PlannedStop(target, _parse_time(start), _parse_time(end)))

    def drain(self, name: str) -> Any:
        """Build the change that drains a worker or another target."""
        return Drain(name)

    def resume(self, name: str) -> Any:
        """Build the change that ends a drain."""
        return Resume(name)

    def submit_job(self, *values: Any) -> Any:
        """Build a submission without its reason."""
        job_id, organisation, data_centre, shape, seconds, *options = values
        interruption: Interruption = Uninterruptible()
        flags = {str(item) for item in options if isinstance(item, Token)}
        for item in options:
            if not isinstance(item, Token):
                interruption = item
        return SubmitGang(
            job_id=job_id,
            organisation=organisation,
            data_centre=data_centre,
            shape=shape,
            declared_seconds=seconds,
            interruption=interruption,
            urgent="urgent" in flags,
            guaranteed="guaranteed" in flags,
            reason="",
        )

    def cancel_job(self, name: str) -> Any:
        """Build a cancellation without its reason."""
        return CancelGang(name, "")

    def stoppable(self, seconds: float | None) -> Interruption:
        """Return the kind of interruption of a job that may be stopped at any time."""
        return Stoppable() if seconds is None else Stoppable(seconds)

    def checkpointable(self, seconds: float) -> Interruption:
        """Return the kind of interruption of a job that can write checkpoints."""
        return Checkpointable(seconds)

    def uninterruptible(self) -> Interruption:
        """Return the kind of interruption of a job that must not be stopped."""
        return Uninterruptible()


def _merge(options: tuple[OptionalFields, ...]) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for fields in options:
        merged.update(fields)
    return merged


def _parse_time(token: Token) -> float:
    try:
        return datetime.fromisoformat(token).astimezone(UTC).timestamp()
    except ValueError as exc:
        raise InvalidValueError(token, "a date that exists") from exc


def _add_reason(body: Any, reason: str) -> Command:
    match body:
        case SubmitGang():
            return replace(body, reason=reason)
        case CancelGang(job_id, _):
            return CancelGang(job_id, reason)
    return ChangeConfiguration(body, reason)
