"""Limits of the gRPC servers that daemons use among themselves.

The library has no budget for all calls together, so the size of a message, the calls at
a time and the streams of a connection are bounded one by one.
"""

from typing import Final

MAX_METADATA_BYTES: Final = 16_384
# A daemon uses one connection for each of its clients.
MAX_CONNECTIONS: Final = 256
# Connections without calls are opened again by the client library when needed.
IDLE_CONNECTION_MS: Final = 300_000


def make_server_options(
    receive_bytes: int, concurrent_calls: int
) -> tuple[tuple[str, int], ...]:
    """Return the options of a server.

    Parameters
    ----------
    receive_bytes : int
        Largest message of a call.
    concurrent_calls : int
        Largest number of calls of one connection at a time.
    """
    return (
        ("grpc.so_reuseport", 0),
        ("grpc.max_receive_message_length", receive_bytes),
        ("grpc.max_concurrent_streams", concurrent_calls),
        ("grpc.max_metadata_size", MAX_METADATA_BYTES),
        ("grpc.max_allowed_incoming_connections", MAX_CONNECTIONS),
        ("grpc.max_connection_idle_ms", IDLE_CONNECTION_MS),
    )
