"""Bodies of the platform's protocol, as they are on the wire."""

from typing import Annotated, Any, Final

from msgspec import Meta, Struct, convert, field
from msgspec.json import decode

from geraniumwell.codec.json import DECODER_ERRORS, CodecError

# Integers up to this one are exact as floats and fit into the 64 bits of a stored row.
MAX_NUMBER: Final = 2**53
# A negative amount would add capacity to the worker that runs the task.
Amount = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Integer = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# The limits leave out values that are not finite.
Number = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class WireQuota(Struct, rename="pascal"):
    """Guaranteed amounts of an organisation."""

    gpu: Amount = 0


class WireTenant(Struct, rename="pascal"):
    """An organisation."""

    name: str
    api_keys: tuple[str, ...] = ()
    guaranteed: WireQuota = field(default_factory=WireQuota)


class WireRoute(Struct, rename="pascal"):
    """A queue of jobs."""

    name: str
    host: str
    path_prefix: str
    service: str
    # Added to the stretched run time of a job to get its latency objective.
    target_latency_ms: Number = 0
    priority: Integer = 0
    max_attempts: Integer = 1
    stretch: Number = 1.0
    public: bool = False


class WireLimits(Struct, rename="pascal"):
    """Limits on calls of clients."""

    max_body_bytes: Integer = 262_144


class WireConfig(Struct, rename="pascal"):
    """The whole configuration."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    limits: WireLimits = field(default_factory=WireLimits)
    tenants: tuple[WireTenant, ...] = ()


class WireProposedRoute(WireRoute, rename="pascal"):
    """A queue with the values that only a check of the configuration reads."""

    timeout_ms: Number = 0


class WireService(Struct, rename="pascal"):
    """A service."""

    name: str


class WireProposedConfig(WireConfig, rename="pascal"):
    """A configuration with the values that only a check of it reads.

    The daemons don't decode them, so an error in them prevents no activation.
    """

    routes: tuple[WireProposedRoute, ...] = ()
    services: tuple[WireService, ...] = ()


class WireStep(Struct, rename="pascal"):
    """A step of a job."""

    count: Integer = 1
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    est_runtime_ms: Number = 0
    after: tuple[Integer, ...] = ()
    gang: bool = False
    same_rack: bool = False
    # A label that the worker must have.
    constraints: str = ""
    # Rack that holds the data of the step.
    affinity: str = ""
    # Maximum number of tasks of the step on one worker.
    anti_affinity: Amount = 0
    checkpointing: bool = False
    long_running: bool = False
    fills: bool = False
    target_ms: Amount = 0


class WireJob(Struct, rename="pascal"):
    """A job as a client submits it."""

    spec: str = ""
    steps: tuple[WireStep, ...] = ()
    repeats: Integer = 0
    # Unix time of the first occurrence, not a delay.
    initial_delay_ms: Number = 0
    period_ms: Number = 0


class WireCapacity(Struct, rename="pascal"):
    """Resources of a worker."""

    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class WireServer(Struct, rename="pascal"):
    """Entry of a worker in the registry."""

    service: str
    address: str
    zone: str
    state: str
    capacity: WireCapacity
    labels: tuple[str, ...] = ()
    remaining_ms: Number | None = None
    # Unix time in milliseconds at which this incarnation of the worker started.
    born: Integer = field(name="born", default=0)


class WireRuns(Struct, rename="pascal"):
    """Report of the runs of a worker; the runs are decoded one by one."""

    clock_ms: Integer
    running: tuple[tuple[Any, ...], ...] = ()
    ended: tuple[tuple[Any, ...], ...] = ()
    born: Integer = field(name="born", default=0)


class WireOrderAnswer(Struct, rename="pascal"):
    """Response of a worker to an order."""

    clock_ms: Integer = 0
    reason: str = ""


class WireRow(Struct, rename="pascal"):
    """A row of the store; ``value`` is Base64."""

    table: str
    key: str
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class WireRows(Struct, rename="pascal"):
    """Rows of the store."""

    rows: tuple[WireRow, ...] = field(name="rows", default=())
    ver: int = 0
    truncated: bool = False


def decode_wire(data: bytes, kind: Any) -> Any:
    """Decode a body as a value of the given type.

    Raises
    ------
    CodecError
        If the body is not such a value.
    """
    try:
        # The platform writes numbers as integers or fractions, whichever is shorter.
        return convert(decode(data), kind, strict=False)
    except DECODER_ERRORS as exc:
        raise CodecError(f"invalid {kind.__name__}: {exc}") from exc
