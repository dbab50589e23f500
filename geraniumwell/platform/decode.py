"""Conversion between bodies of the platform's protocol and internal types."""

from ipaddress import IPv4Address
from typing import Any

from geraniumwell.codec.json import CodecError
from geraniumwell.const import MAX_PORT
from geraniumwell.model.batch.catalog import (
    Catalog,
    Organisation,
    Queue,
    make_catalog,
)
from geraniumwell.model.batch.job import JobSpec, StepSpec, TaskId
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    WorkerEntry,
    WorkerReport,
)
from geraniumwell.platform.wire import (
    MAX_NUMBER,
    WireConfig,
    WireJob,
    WireRoute,
    WireRuns,
    WireServer,
    WireStep,
    WireTenant,
    decode_wire,
)

WORKER_STATES = ("ready", "draining")
# Prefix of the operator's row keys that request the evacuation of a data centre.
EVACUATION_PREFIX = "evacuate/"
# The progress of more tasks would not fit into one row.
TASK_LIMIT = 2_000
OCCURRENCE_LIMIT = 10_000
# A worker returns at most this number of ends in one response.
ENDS_PER_RESPONSE = 500


def decode_catalog(data: bytes) -> Catalog:
    """Return the configuration from the operator's row."""
    wire: WireConfig = decode_wire(data, WireConfig)
    return make_catalog(
        wire.version,
        tuple(_make_queue(route) for route in wire.routes),
        tuple(make_organisation(tenant) for tenant in wire.tenants),
        wire.limits.max_body_bytes,
    )


def parse_evacuation(key: str) -> str | None:
    """Return the data centre whose evacuation a row key requests, or None."""
    data_centre = key.removeprefix(EVACUATION_PREFIX)
    return data_centre if key != data_centre and data_centre else None


def make_organisation(tenant: WireTenant) -> Organisation:
    """Return an organisation of the configuration."""
    return Organisation(tenant.name, frozenset(tenant.api_keys), tenant.guaranteed.gpu)


def _make_queue(route: WireRoute) -> Queue:
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.target_latency_ms / 1000,
        route.stretch,
        route.public,
    )


def decode_job(
    data: bytes, job_id: str, queue: Queue, organisation: str, wall_now: float
) -> JobSpec:
    """Return the job from the body of a client's call.

    Raises
    ------
    CodecError
        If the body is not a job that could ever run.
    """
    wire: WireJob = decode_wire(data, WireJob)
    _check_job(wire)
    is_timed = wire.repeats > 0
    return JobSpec(
        job_id,
        queue.name,
        organisation,
        queue.service,
        queue.priority,
        queue.max_attempts,
        wire.spec,
        tuple(_make_step(step) for step in wire.steps),
        wall_now,
        queue.target_seconds,
        queue.stretch,
        is_timed,
        wire.initial_delay_ms / 1000,
        wire.period_ms / 1000,
        wire.repeats if is_timed else 1,
    )


def _check_job(wire: WireJob) -> None:
    if not wire.steps:
        raise CodecError("a job needs at least one step")
    if sum(step.count for step in wire.steps) > TASK_LIMIT:
        raise CodecError(f"a job may have at most {TASK_LIMIT} tasks")
    if wire.repeats < 0 or wire.period_ms < 0:
        raise CodecError("the repeats and the period of a job can't be negative")
    if wire.repeats > OCCURRENCE_LIMIT:
        raise CodecError(f"a job may run at most {OCCURRENCE_LIMIT} times")
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            raise CodecError(f"step {number} has no tasks")
        if step.est_runtime_ms < 0:
            raise CodecError(f"step {number} has a negative estimated run time")
        if any(not 0 <= k < number for k in step.after):
            raise CodecError(f"step {number} depends on a step that is not earlier")


def _make_step(step: WireStep) -> StepSpec:
    return StepSpec(
        step.count,
        Resources(step.cpu, step.mem_mb, step.gpu),
        step.est_runtime_ms / 1000,
        step.after,
        step.gang,
        step.same_rack,
        step.long_running,
        step.fills,
        step.checkpointing,
        step.constraints,
        step.affinity,
        step.anti_affinity,
        step.target_ms,
    )


def decode_entry(worker_id: str, data: bytes) -> WorkerEntry:
    """Return the worker from a row of the registry.

    Raises
    ------
    CodecError
        If the row is not a valid entry of a worker.
    """
    wire: WireServer = decode_wire(data, WireServer)
    if wire.state not in WORKER_STATES:
        raise CodecError(f"worker {worker_id} has the unknown state {wire.state!r}")
    if not _is_address(wire.address):
        raise CodecError(f"worker {worker_id} has the address {wire.address!r}")
    remaining_seconds = None if wire.remaining_ms is None else wire.remaining_ms / 1000
    return WorkerEntry(
        worker_id,
        wire.service,
        wire.address,
        wire.zone,
        Resources(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu),
        frozenset(wire.labels),
        # The first label is the kind of the worker, the last one its rack.
        wire.labels[-1] if wire.labels else "",
        wire.state == "draining",
        wire.born,
        remaining_seconds,
    )


def _is_address(text: str) -> bool:
    """Return whether a text is an ``ip:port`` to which a call can be made."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def format_task(task_id: TaskId) -> str:
    """Return the wire name of a task."""
    return f"{task_id.job}.{task_id.occurrence}.{task_id.step}.{task_id.index}"


def parse_task(text: Any) -> TaskId:
    """Return the id of a task from its wire name.

    Raises
    ------
    CodecError
        If the text is not the name of a task.
    """
    if not isinstance(text, str):
        raise CodecError(f"{text!r} is not the name of a task")
    try:
        job, occurrence, step, index = text.split(".")
        return TaskId(job, int(occurrence), int(step), int(index))
    except ValueError as exc:
        raise CodecError(f"{text!r} is not the name of a task") from exc


def decode_report(data: bytes) -> WorkerReport:
    """Return the report of a worker.

    Raises
    ------
    CodecError
        If the body is not a report.
    """
    wire: WireRuns = decode_wire(data, WireRuns)
    try:
        running = tuple(_make_running(row) for row in wire.running)
        ended = tuple(_make_ended(row) for row in wire.ended)
    except (ValueError, TypeError, IndexError, OverflowError) as exc:
        raise CodecError(f"invalid run in the report of a worker: {exc}") from exc
    may_have_more = len(ended) >= ENDS_PER_RESPONSE
    return WorkerReport(wire.clock_ms, running, ended, wire.born, may_have_more)


def _make_running(row: tuple[Any, ...]) -> RunningTask:
    checkpoint = _read_checkpoint(row[2])
    return RunningTask(
        parse_task(row[0]), _read_integer(row[1]), checkpoint, _read_integer(row[3])
    )


def _make_ended(row: tuple[Any, ...]) -> EndedTask:
    number, name, run, kind = row[:4]
    checkpoint = _read_checkpoint(row[4] if len(row) > 4 else "")
    return EndedTask(
        _read_integer(number),
        parse_task(name),
        _read_integer(run),
        EndKind(kind),
        checkpoint,
    )


def _read_integer(value: Any) -> int:
    number = int(value)
    if abs(number) > MAX_NUMBER:
        raise ValueError("a number is out of range")
    return number


def _read_checkpoint(value: Any) -> str:
    if value is None:
        return ""
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a checkpoint")
    return value
