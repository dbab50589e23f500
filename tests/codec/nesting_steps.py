"""Steps of the decoding of data that is nested too deeply."""

from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from zlib import compress

from behave import then, when
from behave.runner import Context

from geraniumwell.codec.batch import (
    decode_leader,
    decode_peer,
    decode_spec,
    decode_state,
)
from geraniumwell.codec.json import decode_json
from geraniumwell.codec.peer import decode_peer_reply, decode_peer_request
from geraniumwell.codec.settings import parse_settings
from geraniumwell.codec.table_relay import ReadCall, decode_relayed
from geraniumwell.exceptions import GeraniumwellError
from geraniumwell.platform.settings import load_platform_settings
from geraniumwell.queries.batch.trace import read_lines
from tests.platform.malformed_steps import DECODERS as PLATFORM_DECODERS

JSON_LIST, MESSAGEPACK_LIST = b"[", b"\x91"


def load_platform_file(data: bytes) -> Any:
    """Load platform settings from a file with this content."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(data)
        return load_platform_settings(path)


JSON_DECODERS: dict[str, Callable[[bytes], Any]] = {
    **{kind: decode for kind, (_, decode) in PLATFORM_DECODERS.items()},
    "body of a caller": lambda data: decode_json(data, ReadCall),
    "settings file": parse_settings,
    "platform settings file": load_platform_file,
}
ROW_DECODERS: dict[str, Callable[[bytes], Any]] = {
    "row of a job": decode_spec,
    "row of the leader": decode_leader,
    "row of a job's state": decode_state,
    "row of a daemon": decode_peer,
}
MESSAGE_DECODERS: dict[str, Callable[[bytes], Any]] = {
    "request of a daemon": decode_peer_request,
    "reply of a daemon": decode_peer_reply,
    "relayed call": lambda data: decode_relayed(data, ReadCall),
}


def decode_nested(kind: str, depth: int) -> None:
    """Decode nested lists as the given kind of data."""
    if kind in JSON_DECODERS:
        JSON_DECODERS[kind](JSON_LIST * depth)
    elif kind in ROW_DECODERS:
        ROW_DECODERS[kind](compress(MESSAGEPACK_LIST * depth))
    else:
        # Unknown fields are skipped, also with nested content.
        MESSAGE_DECODERS[kind](b"\x81\xa1x" + MESSAGEPACK_LIST * depth)


@when("a {kind} of {depth:d} nested lists is decoded")
def step_decode(context: Context, kind: str, depth: int) -> None:
    context.error = None
    try:
        decode_nested(kind, depth)
    except GeraniumwellError as exc:
        context.error = exc


@then('it is rejected with "{code}"')
def step_rejected(context: Context, code: str) -> None:
    assert context.error is not None
    assert context.error.code == code, context.error.code


@when("log lines of {depth:d} nested lists are read")
def step_read_log(context: Context, depth: int) -> None:
    _, context.skipped = read_lines(['{"x":' + "[" * depth])


@then("{count:d} log line was skipped")
def step_skipped(context: Context, count: int) -> None:
    assert context.skipped == count, context.skipped
