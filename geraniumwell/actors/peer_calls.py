"""Calls of a dispatcher to its peers, and the state kept for their responses."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from pykka import ActorRef

from geraniumwell.const import (
    COPY_BACKLOG_LIMIT,
    COPY_BATCH_LIMIT,
    LOAD_CALL_SECONDS,
    PEER_CALL_SECONDS,
)
from geraniumwell.messages.peer import (
    CallPeer,
    CopyOutcomes,
    FindOutcome,
    ForwardRequest,
    OutcomeCopy,
    PeerRequest,
    ReadLoad,
)
from geraniumwell.model.execution import Ended
from geraniumwell.model.request import Request
from geraniumwell.model.serving import PeerLoad


@dataclass(slots=True)
class OutcomeSearch:
    """A search for the outcome of a ticket among peers.

    ``purpose`` is what the result is used for. While ``is_issuer_asked``, only the
    issuer was asked and the other peers may be asked next.
    """

    organisation: str
    text: str
    purpose: Any
    issuer: str = ""
    open_calls: int = 0
    is_issuer_asked: bool = False
    is_over: bool = False


@dataclass(slots=True, frozen=True)
class AttemptCall:
    """An attempt that is forwarded to a peer."""

    attempt_id: str
    request_id: str


@dataclass(slots=True, frozen=True)
class IssuerCall:
    """A request that is forwarded to the issuer of its ticket."""

    req: Request


@dataclass(slots=True, frozen=True)
class SearchCall:
    """One query of a search."""

    search: OutcomeSearch


@dataclass(slots=True, frozen=True)
class CopyCall:
    """Copies of outcomes that a peer is asked to keep."""

    outcomes: tuple[OutcomeCopy, ...]


@dataclass(slots=True, frozen=True)
class LoadCall:
    """A query for a peer's load."""


CallPurpose = LoadCall | AttemptCall | IssuerCall | SearchCall | CopyCall


class PeerCalls:
    """Links to the peers and the open calls; used by the dispatcher only."""

    __slots__ = ("_owner", "_links", "_open", "_sequence", "_copy_peers")

    def __init__(self, owner: ActorRef) -> None:
        self._owner = owner
        self._links: dict[str, ActorRef] = {}
        self._copy_peers: list[str] = []
        self._open: dict[str, CallPurpose] = {}
        self._sequence = 0

    def set_links(
        self, links: dict[str, ActorRef], data_centres: dict[str, str], own: str
    ) -> None:
        """Set the peers; those in the same data centre are preferred to keep copies.

        They stay reachable when the data centre is disconnected from the others.
        """
        self._links = links
        self._copy_peers = sorted(
            links, key=lambda vm: (data_centres.get(vm) != own, vm)
        )

    def has_peer(self, vm: str) -> bool:
        """Return whether a VM is a peer."""
        return vm in self._links

    def call(
        self, vm: str, body: PeerRequest, seconds: float, purpose: CallPurpose
    ) -> None:
        """Call a peer and store the purpose of the call."""
        self._sequence += 1
        tag = str(self._sequence)
        self._open[tag] = purpose
        self._links[vm].tell(CallPeer(tag, body, seconds, self._owner))

    def take(self, tag: str) -> CallPurpose | None:
        """Remove a call that ended; return its purpose."""
        return self._open.pop(tag, None)

    def forward(
        self, vm: str, req: Request, seconds: float, purpose: CallPurpose
    ) -> None:
        """Forward a request with its remaining time."""
        body = ForwardRequest(
            request_id=req.request_id,
            organisation=req.organisation,
            service=req.service,
            class_name=req.class_name,
            idempotent=req.idempotent,
            remaining_ms=max(1, int(seconds * 1000)),
            body=req.body,
            content_type=req.content_type,
        )
        self.call(vm, body, seconds, purpose)

    def ask_loads(self) -> int:
        """Ask all peers for their loads; return how many were asked."""
        for vm in self._links:
            self.call(vm, ReadLoad(), LOAD_CALL_SECONDS, LoadCall())
        return len(self._links)

    def start_search(self, search: OutcomeSearch) -> bool:
        """Ask the issuer first; return False if there is no peer to ask."""
        if search.issuer in self._links:
            search.is_issuer_asked = True
            self._ask(search, search.issuer)
            return True
        return self.widen_search(search)

    def widen_search(self, search: OutcomeSearch) -> bool:
        """Ask all peers but the issuer; return False if there are none."""
        search.is_issuer_asked = False
        for vm in self._copy_peers:
            if vm != search.issuer:
                self._ask(search, vm)
        return search.open_calls > 0

    def send_copies(self, outcomes: tuple[OutcomeCopy, ...]) -> None:
        """Send copies to the currently preferred peer."""
        body = CopyOutcomes(outcomes)
        self.call(self._copy_peers[0], body, PEER_CALL_SECONDS, CopyCall(outcomes))

    def use_next_copy_peer(self) -> None:
        """Prefer the next peer for copies, because the current one gave no response."""
        self._copy_peers = [*self._copy_peers[1:], *self._copy_peers[:1]]

    def _ask(self, search: OutcomeSearch, vm: str) -> None:
        search.open_calls += 1
        body = FindOutcome(search.organisation, search.text)
        self.call(vm, body, PEER_CALL_SECONDS, SearchCall(search))


class CopyQueue:
    """Outcomes that wait to be copied to a peer; used by the dispatcher only."""

    __slots__ = ("_waiting", "is_sending")

    def __init__(self) -> None:
        self._waiting: deque[OutcomeCopy] = deque(maxlen=COPY_BACKLOG_LIMIT)
        self.is_sending = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, organisation: str, text: str, ended: Ended) -> None:
        """Add an outcome; at the limit the oldest one is dropped."""
        self._waiting.append(
            OutcomeCopy(organisation, text, ended.outcome, ended.status)
        )

    def take_batch(self) -> tuple[OutcomeCopy, ...]:
        """Remove and return the outcomes for the next message."""
        count = min(COPY_BATCH_LIMIT, len(self._waiting))
        return tuple(self._waiting.popleft() for _ in range(count))

    def put_back(self, outcomes: tuple[OutcomeCopy, ...]) -> None:
        """Put back outcomes that were not copied, as far as the limit allows."""
        free = COPY_BACKLOG_LIMIT - len(self._waiting)
        self._waiting.extendleft(reversed(outcomes[-free:] if free else ()))


class LoadRound:
    """Collects the loads of all peers in one round of queries."""

    __slots__ = ("_loads", "_open_calls")

    def __init__(self) -> None:
        self._loads: list[PeerLoad] = []
        self._open_calls = 0

    @property
    def is_over(self) -> bool:
        """Whether every peer has answered or failed."""
        return not self._open_calls

    def begin(self, asked: int) -> None:
        """Begin a round and discard the loads of the last one."""
        self._loads = []
        self._open_calls = asked

    def end_call(self, load: PeerLoad | None) -> list[PeerLoad] | None:
        """Add one response; return all loads if it is the last one of the round."""
        self._open_calls -= 1
        if load is not None:
            self._loads.append(load)
        return self._loads if self.is_over else None
