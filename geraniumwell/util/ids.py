"""Identifiers, for example of incarnations, requests and commands."""

import secrets
from itertools import count

# Drawn once per process: a system call for each request id would cost more than all
# other steps of making the id.
REQUEST_PREFIX = secrets.token_hex(8)
REQUEST_NUMBERS = count(1)


def make_token_hex(size_bytes: int = 8) -> str:
    """Return a random identifier of ``2 * size_bytes`` hexadecimal digits."""
    return secrets.token_hex(size_bytes)


def make_request_id() -> str:
    """Return an identifier that is unique across all processes of the system."""
    return f"{REQUEST_PREFIX}-{next(REQUEST_NUMBERS)}"
