"""Settings of a daemon on the platform, as rendered from its template."""

from dataclasses import dataclass, fields
from pathlib import Path
from typing import Annotated

from msgspec import Meta
from msgspec.json import decode

from geraniumwell.codec.json import DECODER_ERRORS
from geraniumwell.exceptions import SettingsError


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Settings of one daemon.

    Parameters
    ----------
    callers, readiness, metrics, relay : str
        Addresses ``ip:port`` on which the daemon listens: for clients, readiness
        checks, metrics scrapes and the calls of other daemons to the store.
    store : str
        Address of the platform's table store.
    lease_limit_ms : float
        Longest lease that a worker grants.
    result_seconds : float
        Time for which the state of an ended job is kept.
    far_factor : float
        Factor by which a task takes longer outside the rack of its affinity.
    processor_share : float
        Share of a CPU core that is available to the VM.
    core_speed : float
        Speed of that core relative to a reference core.
    descriptors : int
        Limit of open file descriptors of the daemon.
    memory_mb : int
        Memory of the VM; the budget of unfinished requests is derived from it.
    request_seconds : float
        Time in which a request has to arrive. Clients wait 3 s for a response.
    """

    vm: str
    data_centre: str
    callers: str
    readiness: str
    metrics: str
    relay: str
    store: str
    lease_limit_ms: float = 10_000
    result_seconds: float = 120
    far_factor: float = 3
    processor_share: Annotated[float, Meta(gt=0)] = 1.0
    core_speed: Annotated[float, Meta(gt=0)] = 1.0
    descriptors: Annotated[int, Meta(gt=0)] = 4_100
    memory_mb: Annotated[int, Meta(gt=0)] = 160
    request_seconds: Annotated[float, Meta(ge=1)] = 10.0
    log_level: str = "INFO"


def load_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        If the file can't be read; names the key path and the expected value.
    """
    try:
        return decode(path.read_bytes(), type=PlatformSettings)
    except OSError as exc:
        raise SettingsError(str(path), f"a readable file ({exc.strerror})") from exc
    except DECODER_ERRORS as exc:
        raise SettingsError(str(path), str(exc)) from exc


def list_changed_settings(
    before: PlatformSettings, after: PlatformSettings
) -> tuple[str, ...]:
    """Return the names of the settings that differ."""
    return tuple(
        item.name
        for item in fields(PlatformSettings)
        if getattr(before, item.name) != getattr(after, item.name)
    )
