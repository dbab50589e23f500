"""Actor inbox that waits for messages and for many sockets at the same time."""

from collections import deque
from collections.abc import Callable
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector
from socket import socket, socketpair
from typing import Any

from geraniumwell.messages.sockets import SocketsReady
from geraniumwell.util.clock import monotonic_seconds

# Read size of the wake-up socket; pending wake-ups are read together.
WAKE_BYTES = 4096


class SocketInbox:
    """Waits for messages, ready sockets and a point in time in a single thread.

    Only the actor's thread calls ``get`` and watches sockets; any thread may ``put``.
    Ready sockets are delivered as a `SocketsReady` message when the queue is empty.
    """

    __slots__ = (
        "_is_waiting",
        "_items",
        "_notify",
        "_selector",
        "_wake_read",
        "_wake_write",
        "wake_at",
    )

    def __init__(self) -> None:
        self._items: deque[Any] = deque()
        self._is_waiting = False
        self._notify: Callable[[SocketsReady], None] | None = None
        self._selector = DefaultSelector()
        self._wake_read, self._wake_write = socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._selector.register(self._wake_read, EVENT_READ)
        self.wake_at: float | None = None

    def attach(self, notify: Callable[[SocketsReady], None]) -> None:
        """Set the function that sends a message to the actor that owns the inbox."""
        self._notify = notify

    def watch(self, sock: socket, owner: Any, is_writing: bool = False) -> None:
        """Report a socket with its owner once it is readable, or writable if asked."""
        self._selector.register(sock, EVENT_WRITE if is_writing else EVENT_READ, owner)

    def change(self, sock: socket, owner: Any, is_writing: bool) -> None:
        """Change whether a watched socket is reported as writable or as readable."""
        self._selector.modify(sock, EVENT_WRITE if is_writing else EVENT_READ, owner)

    def unwatch(self, sock: socket) -> None:
        """Stop watching a socket; must be called before the socket is closed."""
        self._selector.unregister(sock)

    def close(self) -> None:
        """Close the inbox's own sockets; queued messages can still be read."""
        self._selector.close()
        self._wake_read.close()
        self._wake_write.close()

    def put(self, item: Any) -> None:
        """Add a message."""
        self._items.append(item)
        if self._is_waiting:
            self._wake()

    def empty(self) -> bool:
        """Return whether no message is queued."""
        return not self._items

    def get(self) -> Any:
        """Return the next message; wait for one if the queue is empty."""
        while not self._items:
            self._wait()
        return self._items.popleft()

    def _wake(self) -> None:
        try:
            self._wake_write.send(b"w")
        except (BlockingIOError, OSError):
            # A full buffer wakes the actor as well, and a closed socket has no reader.
            return

    def _wait(self) -> None:
        selected_at = monotonic_seconds()
        wait = None if self.wake_at is None else max(0.0, self.wake_at - selected_at)
        self._is_waiting = True
        # A message put before the flag was set did not wake the selector.
        events = self._selector.select(0 if self._items else wait)
        self._is_waiting = False
        ready = []
        for key, _ in events:
            if key.fileobj is self._wake_read:
                self._wake_read.recv(WAKE_BYTES)
            else:
                ready.append(key.data)
        is_due = self.wake_at is not None and monotonic_seconds() >= self.wake_at
        if (ready or is_due) and self._notify is not None:
            self._notify(SocketsReady(tuple(ready), selected_at))
