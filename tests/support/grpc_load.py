"""Calls that keep a gRPC server at its limit of concurrent calls."""

from behave.runner import Context
from grpc import StatusCode, insecure_channel

from tests.support.processes import wait_until

CALL_SECONDS = 30.0


def fill_server(
    context: Context, address: str, path: str, data: bytes, limit: int
) -> None:
    """Send one call more than a server accepts, and wait until it refuses one."""
    # A connection may not have more calls than the server accepts, so two are used.
    options = (("grpc.use_local_subchannel_pool", 1),)
    channels = [insecure_channel(address, options=options) for _ in range(2)]
    context.processes += channels
    methods = [channel.unary_unary(path) for channel in channels]
    calls = [
        methods[number % 2].future(data, timeout=CALL_SECONDS, wait_for_ready=True)
        for number in range(limit + 1)
    ]

    def is_full() -> bool:
        return any(
            call.done() and call.code() is StatusCode.RESOURCE_EXHAUSTED
            for call in calls
        )

    wait_until(is_full, "a refusal at the limit")
