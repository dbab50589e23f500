"""Refusals by the gRPC library before a server runs a call."""

from typing import Final

from grpc import StatusCode

# Text of ``maximum_concurrent_rpcs`` in the gRPC library, which has no constant for it.
# The code alone is not enough: a response that is too large has the same one, although
# its call has run.
LIMIT_TEXT: Final = "Concurrent RPC limit exceeded!"


def is_limit_refusal(code: StatusCode, details: str | None) -> bool:
    """Return whether a server at its limit of concurrent calls has not run a call."""
    return code is StatusCode.RESOURCE_EXHAUSTED and details == LIMIT_TEXT
