"""Commands that send statements of an operator to a daemon."""

import os
import sys
from pathlib import Path

from geraniumwell.cli.output import format_reply, format_statement
from geraniumwell.clients.operators import OperatorClient
from geraniumwell.codec.json import encode_json
from geraniumwell.exceptions import StatementRefusedError, UsageError
from geraniumwell.language.ast import (
    CancelGang,
    ChangeConfiguration,
    Statement,
    SubmitGang,
)
from geraniumwell.language.parser import parse_statements
from geraniumwell.language.printer import print_statement
from geraniumwell.model.reply import StatementsReply
from geraniumwell.util.ids import make_token_hex

DEFAULT_SERVER = "127.0.0.1:7070"
TOKEN_VARIABLE = "GERANIUMWELL_TOKEN"


def ask(
    *text: str,
    server: str = DEFAULT_SERVER,
    token_file: Path | None = None,
    authority: Path | None = None,
    json: bool = False,
) -> None:
    """Query the state of the system and the reasons for it.

    Parameters
    ----------
    text
        Queries in the operators' language, for example "show workers".
    server
        Address ip:port of the operators' port of a daemon.
    token_file
        File with the operator's token; otherwise GERANIUMWELL_TOKEN is read.
    authority
        PEM file of the certificate authority; if given, the connection uses TLS.
    json
        Print JSON instead of a table.
    """
    statements = parse_statements(" ".join(text))
    for statement in statements:
        if is_command(statement):
            raise UsageError("ask", "queries only; commands go to 'geraniumwell do'")
    _require_any(statements)
    client = OperatorClient(_check_server(server), read_token(token_file), authority)
    texts = "; ".join(print_statement(item) for item in statements)
    _finish(client.run(texts, make_token_hex()), json)


def do(
    *text: str,
    file: Path | None = None,
    server: str = DEFAULT_SERVER,
    token_file: Path | None = None,
    authority: Path | None = None,
    command_id: str = "",
    json: bool = False,
) -> None:
    """Change the system; each command needs a reason.

    A text or file is checked as a whole before its first command is sent. The commands
    are sent one after another until the first error.

    Parameters
    ----------
    text
        Commands in the operators' language.
    file
        File with commands, separated by semicolons.
    server
        Address ip:port of the operators' port of a daemon.
    token_file
        File with the operator's token; otherwise GERANIUMWELL_TOKEN is read.
    authority
        PEM file of the certificate authority; if given, the connection uses TLS.
    command_id
        Id of an earlier run, to repeat it without a second effect.
    json
        Print JSON instead of a table.
    """
    statements = parse_statements(_read_commands(text, file))
    _require_any(statements)
    client = OperatorClient(_check_server(server), read_token(token_file), authority)
    base_id = command_id or make_token_hex()
    for index, statement in enumerate(statements):
        if len(statements) > 1:
            progress = f"[{index + 1}/{len(statements)}] {format_statement(statement)}"
            print(progress, file=sys.stderr, flush=True)
        own_id = f"{base_id}-{index}" if index else base_id
        try:
            reply = client.run(print_statement(statement), own_id)
            _finish(reply, json)
        except Exception:
            done = f"{index} of {len(statements)} commands done; command id {base_id}"
            print(done, file=sys.stderr)
            raise


def is_command(statement: Statement) -> bool:
    """Return whether a statement changes something."""
    return isinstance(statement, ChangeConfiguration | SubmitGang | CancelGang)


def _require_any(statements: tuple[Statement, ...]) -> None:
    if not statements:
        raise UsageError("text", 'a statement, for example "show workers"')


def _read_commands(text: tuple[str, ...], file: Path | None) -> str:
    if file is None:
        return " ".join(text)
    if text:
        raise UsageError("file", "either a file or a text, not both")
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError("file", f"a readable text file, not {file} ({exc})") from exc


def _check_server(server: str) -> str:
    host, _, port = server.rpartition(":")
    if not host or not port.isdecimal():
        raise UsageError("server", f"ip:port, not {server!r}")
    return server


def read_token(file: Path | None) -> str:
    """Return the operator's token.

    Raises
    ------
    UsageError
        If there is none.
    """
    if file is None:
        token = os.environ.get(TOKEN_VARIABLE, "").strip()
    else:
        try:
            token = file.read_text().strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise UsageError("token-file", f"a readable file ({exc})") from exc
    if not token:
        raise UsageError(
            "token-file", f"a file with a token, or one in {TOKEN_VARIABLE}"
        )
    return token


def _finish(reply: StatementsReply, as_json: bool) -> None:
    text = encode_json(reply).decode() if as_json else format_reply(reply)
    if text:
        print(text)
    if reply.error is not None:
        raise StatementRefusedError(reply.error.code, reply.error.message)
