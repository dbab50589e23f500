"""Client of the operators' port of a daemon."""

from pathlib import Path

from urllib3 import HTTPConnectionPool, HTTPSConnectionPool, Retry, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError

from geraniumwell.codec.json import CodecError, decode_json
from geraniumwell.const import ATTR_COMMAND_ID
from geraniumwell.exceptions import (
    DaemonAnswerLostError,
    DaemonUnreachableError,
)
from geraniumwell.model.reply import StatementsReply

CONNECT_TIMEOUT_SECONDS = 3.0
# Longer than a daemon waits for the platform and for a peer.
READ_TIMEOUT_SECONDS = 40.0
# A repeated command with the same id has no second effect, so a call without a response
# is retried.
ATTEMPTS = 3


class OperatorClient:
    """Sends statements to one daemon.

    Parameters
    ----------
    server : str
        ``ip:port`` of the operators' port.
    token : str
        The operator's token.
    authority : Path or None
        Certificate of the certificate authority; if given, the connection uses TLS.
    """

    __slots__ = ("_server", "_headers", "_pool")

    def __init__(self, server: str, token: str, authority: Path | None) -> None:
        self._server = server
        self._headers = {"Authorization": f"Bearer {token}"}
        host, _, port = server.rpartition(":")
        timeout = Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS)
        retries = Retry(total=False, redirect=False)
        if authority is None:
            self._pool = HTTPConnectionPool(
                host, int(port), timeout=timeout, retries=retries
            )
        else:
            self._pool = HTTPSConnectionPool(
                host,
                int(port),
                timeout=timeout,
                retries=retries,
                ca_certs=str(authority),
            )

    def run(self, text: str, command_id: str) -> StatementsReply:
        """Send statements to the daemon and return its reply.

        Raises
        ------
        DaemonUnreachableError
            If nothing was sent.
        DaemonAnswerLostError
            If the statements may have been executed.
        """
        headers = self._headers | {ATTR_COMMAND_ID: command_id}
        reason = ""
        is_sent = False
        for _ in range(ATTEMPTS):
            try:
                resp = self._pool.request(
                    "POST", "/v1/statements", body=text.encode(), headers=headers
                )
                return decode_json(resp.data, StatementsReply)
            except CodecError as exc:
                reason = str(exc)
                is_sent = True
                break
            except NewConnectionError as exc:
                reason = str(exc)
            except HTTPError as exc:
                reason = str(exc)
                is_sent = True
        if is_sent:
            raise DaemonAnswerLostError(self._server, reason)
        raise DaemonUnreachableError(self._server, reason)
