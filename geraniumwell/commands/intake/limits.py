"""Derives the limits of the servers of one process from the size of its VM."""

from dataclasses import replace
from typing import Final

from geraniumwell.commands.intake.budget import SMALL_SHARE
from geraniumwell.model.intake import (
    BODY_COST,
    CONNECTION_BYTES,
    HEAD_COST,
    IntakeLimits,
)

MEBIBYTE: Final = 1_048_576
# Memory of a daemon without unfinished requests: 57 MB after its start.
BASE_MB: Final = 64
# The remainder is left to the state of jobs and workers and to the allocator.
MEMORY_SHARE: Final = 0.25
MIN_MEMORY_BYTES: Final = 2 * MEBIBYTE
# Part of the memory that connections without any request may take.
CONNECTION_SHARE: Final = 0.5
# Part of the descriptors that connections of clients may take.
DESCRIPTOR_SHARE: Final = 0.25
MIN_CONNECTIONS: Final = 16
# Part of the budget of a server for readiness checks and metrics, whose requests have
# no bodies.
MONITORING_SHARE: Final = 0.0625
MONITORING_SERVERS: Final = 2
MONITORING_CONNECTIONS: Final = 64
MONITORING_HEAD_BYTES: Final = 16_384


def derive_limits(
    memory_mb: int,
    descriptors: int,
    max_connections: int,
    request_seconds: float,
    body_bytes: int,
) -> IntakeLimits:
    """Return the limits of a server that is the only one of its process.

    Parameters
    ----------
    memory_mb, descriptors : int
        Memory of the VM and file descriptors of the process.
    max_connections : int
        Largest number of connections, whatever the size of the VM.
    request_seconds : float
        Time in which a request has to arrive.
    body_bytes : int
        Largest body of a request.
    """
    memory = max(MIN_MEMORY_BYTES, int((memory_mb - BASE_MB) * MEBIBYTE * MEMORY_SHARE))
    connections = min(int(descriptors * DESCRIPTOR_SHARE), _count_affordable(memory))
    connections = min(max_connections, max(MIN_CONNECTIONS, connections))
    return IntakeLimits(memory, connections, request_seconds, body_bytes)


def split_limits(limits: IntakeLimits) -> tuple[IntakeLimits, IntakeLimits]:
    """Return the limits of the server for clients and of each one for monitoring.

    There are two of the latter, for readiness checks and for metrics. The parts are
    fixed, so that each server decides alone and a client load on one of them takes
    nothing from the other.
    """
    part = int(limits.memory_bytes * MONITORING_SHARE)
    rest = limits.memory_bytes - part * MONITORING_SERVERS
    monitoring = replace(
        limits,
        memory_bytes=part,
        connections=min(MONITORING_CONNECTIONS, _count_affordable(part)),
        body_bytes=0,
        head_bytes=MONITORING_HEAD_BYTES,
    )
    connections = min(limits.connections, _count_affordable(rest))
    return replace(limits, memory_bytes=rest, connections=connections), monitoring


def share_with_operators(
    limits: IntakeLimits, connections: int
) -> tuple[IntakeLimits, IntakeLimits]:
    """Return the limits of the server for callers and of the one for operators.

    Operators get the memory for two of the largest requests.
    """
    part = MEBIBYTE + int(limits.body_bytes * 2 * BODY_COST)
    rest = max(0, limits.memory_bytes - part)
    callers = min(limits.connections, _count_affordable(rest))
    operators = min(connections, _count_affordable(part))
    return (
        replace(limits, memory_bytes=rest, connections=callers),
        replace(limits, memory_bytes=part, connections=operators),
    )


def fits_largest_body(limits: IntakeLimits) -> bool:
    """Return whether one request with the largest body fits into a budget."""
    needed = limits.body_bytes * BODY_COST + limits.head_bytes * HEAD_COST
    return needed <= limits.memory_bytes * (1 - SMALL_SHARE)


def _count_affordable(memory: int) -> int:
    """Return how many connections without a request a budget allows."""
    return int(memory * CONNECTION_SHARE) // CONNECTION_BYTES
