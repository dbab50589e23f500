"""Bodies of the platform's protocol, as they are on the wire."""

from typing import Any

from msgspec import Struct, convert, field
from msgspec.json import decode

from geraniumwell.codec.json import DECODER_ERRORS, CodecError


class WireQuota(Struct, rename="pascal"):
    """Guaranteed amounts of an organisation."""

    gpu: int = 0


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
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    public: bool = False


class WireLimits(Struct, rename="pascal"):
    """Limits on calls of clients."""

    max_body_bytes: int = 262_144


class WireConfig(Struct, rename="pascal"):
    """The whole configuration."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    limits: WireLimits = field(default_factory=WireLimits)
    tenants: tuple[WireTenant, ...] = ()


class WireStep(Struct, rename="pascal"):
    """A step of a job."""

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: float = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    # A label that the worker must have.
    constraints: str = ""
    # Rack that holds the data of the step.
    affinity: str = ""
    # Maximum number of tasks of the step on one worker.
    anti_affinity: int = 0
    checkpointing: bool = False
    long_running: bool = False
    fills: bool = False
    target_ms: int = 0


class WireJob(Struct, rename="pascal"):
    """A job as a client submits it."""

    spec: str = ""
    steps: tuple[WireStep, ...] = ()
    repeats: int = 0
    # Unix time of the first occurrence, not a delay.
    initial_delay_ms: float = 0
    period_ms: float = 0


class WireCapacity(Struct, rename="pascal"):
    """Resources of a worker."""

    cpu: int
    mem_mb: int
    gpu: int = 0


class WireServer(Struct, rename="pascal"):
    """Entry of a worker in the registry."""

    service: str
    address: str
    zone: str
    state: str
    capacity: WireCapacity
    labels: tuple[str, ...] = ()
    remaining_ms: float | None = None
    # Unix time in milliseconds at which this incarnation of the worker started.
    born: int = field(name="born", default=0)


class WireRuns(Struct, rename="pascal"):
    """Report of the runs of a worker; the runs are decoded one by one."""

    clock_ms: int
    running: tuple[tuple[Any, ...], ...] = ()
    ended: tuple[tuple[Any, ...], ...] = ()
    born: int = field(name="born", default=0)


class WireOrderAnswer(Struct, rename="pascal"):
    """Response of a worker to an order."""

    clock_ms: int = 0
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
