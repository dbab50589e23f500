"""Loop that owns the sockets of a process's servers for one kind of client."""

from collections.abc import Callable
from contextlib import suppress
from select import EPOLLIN, EPOLLOUT, EPOLLPRI, epoll
from threading import Event
from time import monotonic, thread_time
from typing import Any, Final

from waitress.wasyncore import readwrite

# Also the longest time by which a time limit is checked late.
TURN_SECONDS: Final = 1.0
# Events fetched in one turn; those that are not handled are fetched again.
TURN_EVENTS: Final = 2_048
# Processor time of the loop's thread after which a turn handles no further event. Time
# in which other threads run or the process is paused does not count.
WORK_SECONDS: Final = 0.005
# A request of which at most this much has arrived is small; ordinary ones have some KB.
SMALL_REQUEST_BYTES: Final = 16_384
# Events of small requests that a turn always handles.
MIN_TURN_EVENTS: Final = 32
# Longest time that one turn counts for. A process that was paused for longer must not
# close connections whose bytes arrived meanwhile.
MAX_TURN_SECONDS: Final = 2.0
# Time between two turns from which the process was paused, or a handler blocked.
LATE_SECONDS: Final = TURN_SECONDS + 0.5
# Longest pause after a full turn with larger requests.
MAX_PAUSE_SECONDS: Final = 0.05


class IntakeLoop:
    """Waits for events on sockets and passes them to their owners in short turns.

    All methods but the constructor run in the thread of ``run``.

    Attributes
    ----------
    sockets : dict
        Owners of all sockets by descriptor, as waitress expects it. The loop ends when
        it is empty.
    now : float
        Time of the current turn, without the times for which the process was paused.
    pending : set of int
        Descriptors whose events of the current turn are not handled, or not yet.
    is_late : bool
        Whether much time has passed since the last turn, so that there may be data that
        the system has not reported yet. It does not hold for two turns in a row.
    """

    __slots__ = (
        "_after_turn",
        "_epoll",
        "_flags",
        "_pause",
        "_touched",
        "_turn_at",
        "_unwanted",
        "is_late",
        "now",
        "pending",
        "sockets",
    )

    def __init__(self) -> None:
        self.sockets: dict[int, Any] = {}
        self._epoll = epoll()
        self._flags: dict[int, int] = {}
        self._touched: set[int] = set()
        # Registered sockets without interest, mostly for the time of an answer. They
        # are unregistered when an event arrives, because most get none meanwhile.
        self._unwanted: set[int] = set()
        self._after_turn: list[Callable[[], None]] = []
        self._turn_at = self.now = monotonic()
        self._pause = Event()
        self.pending: set[int] = set()
        self.is_late = False

    def call_after_turns(self, function: Callable[[], None]) -> None:
        """Call a function after each turn."""
        self._after_turn.append(function)

    def touch(self, fd: int) -> None:
        """Note that the owner of a socket may wait for other events than before."""
        self._touched.add(fd)

    def forget(self, fd: int) -> None:
        """Stop waiting for a socket that is about to be closed."""
        self._touched.discard(fd)
        self._unwanted.discard(fd)
        self.pending.discard(fd)
        if self._flags.pop(fd, 0):
            # The system removes a closed descriptor itself.
            with suppress(OSError):
                self._epoll.unregister(fd)

    def run(self) -> None:
        """Handle events until no socket is left."""
        self._touched.update(self.sockets)
        while self.sockets:
            self._update_interest()
            events = self._epoll.poll(TURN_SECONDS, TURN_EVENTS)
            self._advance(monotonic())
            begin_work = thread_time()
            needs_pause = self._handle(events, begin_work + WORK_SECONDS)
            for function in self._after_turn:
                function()
            if needs_pause:
                # Leaves half of the processor to the other threads under load.
                work = thread_time() - begin_work
                self._pause.wait(min(work, MAX_PAUSE_SECONDS))
        self._epoll.close()

    def _advance(self, at: float) -> None:
        elapsed, self._turn_at = at - self._turn_at, at
        self.now += min(elapsed, MAX_TURN_SECONDS)
        self.is_late = elapsed > LATE_SECONDS and not self.is_late

    def _handle(self, events: list[tuple[int, int]], until: float) -> bool:
        """Handle events until a processor time, those of small requests first.

        Return whether events are left over and larger requests are among the events.
        """
        # A descriptor that is closed may be in use again within the same turn.
        owners = [(fd, flags, self.sockets.get(fd)) for fd, flags in events]
        self.pending = {fd for fd, _ in events}
        is_over = False
        if len(owners) > 1:
            owners.sort(key=_rank)
        for index, event in enumerate(owners):
            fd, flags, owner = event
            if owner is None or self.sockets.get(fd) is not owner:
                continue
            if fd in self._unwanted:
                self._unwanted.discard(fd)
                self._touched.add(fd)
                self._epoll.unregister(fd)
                del self._flags[fd]
                self.pending.discard(fd)
                continue
            is_due = owner.accepting or (
                index < MIN_TURN_EVENTS and _rank(event) <= SMALL_REQUEST_BYTES
            )
            if not is_due:
                is_over = is_over or thread_time() >= until
                if is_over:
                    continue
            self.pending.discard(fd)
            self._touched.add(fd)
            readwrite(owner, flags)
        return bool(self.pending) and _rank(owners[-1]) > SMALL_REQUEST_BYTES

    def _update_interest(self) -> None:
        touched, self._touched = self._touched, set()
        for fd in touched:
            owner = self.sockets.get(fd)
            if owner is None:
                self.forget(fd)
                continue
            self._wait_for(fd, _find_flags(owner))

    def _wait_for(self, fd: int, flags: int) -> None:
        before = self._flags.get(fd, 0)
        if not flags and before:
            self._unwanted.add(fd)
            return
        self._unwanted.discard(fd)
        if flags == before:
            return
        if before:
            self._epoll.modify(fd, flags)
        else:
            self._epoll.register(fd, flags)
        self._flags[fd] = flags


def _rank(event: tuple[int, int, Any]) -> int:
    """Return a key that puts requests of which little has arrived first.

    Wake-ups come before all connections.
    """
    return getattr(event[2], "event_rank", -1)


def _find_flags(owner: Any) -> int:
    flags = EPOLLIN | EPOLLPRI if owner.readable() else 0
    # Listening sockets are never writable.
    if not owner.accepting and owner.writable():
        flags |= EPOLLOUT
    return flags
