"""Metrics of the servers for clients outside our control."""

from prometheus_client import Counter, Gauge

INTAKE_REFUSALS = Counter(
    "geraniumwell_intake_refusals",
    "Requests refused and connections closed before a request ran, by reason.",
    ("reason",),
)
INTAKE_HELD_BYTES = Gauge(
    "geraniumwell_intake_held_bytes",
    "Memory reserved for connections and their requests, by server.",
    ("server",),
)
INTAKE_CONNECTIONS = Gauge(
    "geraniumwell_intake_connections", "Open connections, by server.", ("server",)
)
