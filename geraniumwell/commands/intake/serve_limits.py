"""Limits of the servers of ``serve`` from its settings."""

from typing import Final

from geraniumwell.commands.intake.limits import derive_limits, share_with_operators
from geraniumwell.model.intake import IntakeLimits
from geraniumwell.model.settings import Limits

OPERATOR_CONNECTIONS: Final = 64


def derive_server_limits(limits: Limits) -> tuple[IntakeLimits, IntakeLimits]:
    """Return the limits of the server for callers and of the one for operators."""
    derived = derive_limits(
        limits.memory_mb,
        limits.descriptors,
        limits.connections,
        limits.request_seconds,
        limits.body_bytes - 1,
    )
    return share_with_operators(derived, OPERATOR_CONNECTIONS)
