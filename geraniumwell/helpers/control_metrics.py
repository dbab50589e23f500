"""Counters of the bytes and calls of control work."""

from typing import Final

from prometheus_client import Counter

CHANNEL_PEERS: Final = "peers"
CHANNEL_PLATFORM: Final = "platform"
CHANNEL_WORKERS: Final = "workers"

BYTES = Counter(
    "geraniumwell_control_bytes",
    "Bytes of message bodies of control work, without headers of the transport.",
    ("channel", "direction"),
)
CALLS = Counter(
    "geraniumwell_control_calls",
    "Calls of control work, by what was called.",
    ("channel", "operation"),
)


def count_call(channel: str, operation: str, sent: int, received: int) -> None:
    """Count one call with the sizes of its two messages in bytes."""
    CALLS.labels(channel, operation).inc()
    BYTES.labels(channel, "sent").inc(sent)
    BYTES.labels(channel, "received").inc(received)


def count_received(channel: str, received: int) -> None:
    """Count the bytes of an answer whose call was counted before."""
    BYTES.labels(channel, "received").inc(received)
