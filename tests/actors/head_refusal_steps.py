"""Steps of refusals of requests whose head and body arrive together or apart."""

from socket import create_connection
from time import sleep

from behave import then
from behave.model import Row
from behave.runner import Context

SOCKET_SECONDS = 10.0
# Time in which the server handles the head before the body is sent.
HEAD_SECONDS = 0.2
BODY = b"{}"
# Headers that the servers add to their own refusals or to responses of applications.
SERVER_HEADERS = {"connection", "date", "server"}


def send(address: str, row: Row, pause: float) -> tuple[str, dict[str, str], str]:
    """Send a request; return the status line, the headers and the body."""
    head = (
        f"{row['request']} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Authorization: Bearer {row['token']}\r\nGeraniumwell-Request-Id: r-1\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode()
    host, _, port = address.rpartition(":")
    data = b""
    with create_connection((host, int(port)), SOCKET_SECONDS) as sock:
        if pause:
            sock.sendall(head)
            sleep(pause)
            sock.sendall(BODY)
        else:
            sock.sendall(head + BODY)
        while part := sock.recv(4096):
            data += part
    first, _, body = data.decode().partition("\r\n\r\n")
    line, *lines = first.split("\r\n")
    pairs = (text.split(": ", 1) for text in lines)
    headers = {name.lower(): value for name, value in pairs}
    kept = {name: headers[name] for name in headers.keys() - SERVER_HEADERS}
    return line, kept, body


@then("these requests get the same response with their body at once and later")
def step_same(context: Context) -> None:
    for row in context.table:
        address = context.serve_settings["listen"][row["server"]]
        at_once = send(address, row, 0.0)
        later = send(address, row, HEAD_SECONDS)
        assert at_once == later, (at_once, later)
        assert at_once[0].split()[1] == row["status"], at_once
        assert f'"code":"{row["code"]}"' in at_once[2], at_once
        if row["server"] == "callers":
            assert at_once[1]["geraniumwell-request-id"] == "r-1", at_once
