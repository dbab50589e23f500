"""Members of a data centre, and the assignment that divides its endpoints."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class MemberRow:
    """Heartbeat of a member, the same in the table and between peers.

    ``counter`` increases with each heartbeat. ``heard`` holds the last counter
    received from each other member, by VM.
    """

    vm: str
    incarnation: str
    counter: int
    adopted_version: int
    config_version: int = 0
    leaving: bool = False
    heard: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Assignment:
    """Members in order with their incarnations, and the decider with its epoch.

    ``joined`` holds, by VM, the version since which each member belongs without
    interruption.
    """

    data_centre: str
    version: int
    members: tuple[str, ...]
    incarnations: dict[str, str]
    decider: str
    epoch: int
    joined: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class EndpointShare:
    """The slots and connections of one endpoint that one daemon may use."""

    slots: int
    connections: int


@dataclass(slots=True)
class ObservedMember:
    """Last heartbeat of another member.

    ``counter_received_at`` is when its counter was received for the first time.
    """

    row: MemberRow
    counter_received_at: float


@dataclass(slots=True)
class MemberState:
    """Membership state of one daemon; times are monotonic seconds.

    ``row_version`` is the version of the assignment row in the table, or 0 if there is
    none, and ``row_versions`` the versions of all rows in the last read, by key.
    ``sent_at`` holds the send times of recent heartbeats by counter; ``table_sent_at``
    and ``echoed_sent_at`` are the send times of the last heartbeat that was written to
    the table and that each member echoed. ``observed`` holds the last heartbeat of each
    other member by VM, and ``removing`` the members whose removal this daemon has
    proposed and not yet read back. ``platform_failed_at`` and ``peer_failed_at`` are
    when the last failed call was sent, unless one succeeded since;
    ``platform_ok_since`` is when the first successful call after the last failure or
    pause ended.
    """

    vm: str
    incarnation: str
    data_centre: str
    counter: int
    config_version: int = 0
    leaving: bool = False
    assignment: Assignment | None = None
    row_version: int = 0
    adopted_version: int = 0
    sent_at: dict[int, float] = field(default_factory=dict)
    table_sent_at: float | None = None
    platform_failed_at: float | None = None
    platform_ok_since: float | None = None
    last_active_at: float | None = None
    lease_end: float = 0.0
    peer_failed_at: dict[str, float] = field(default_factory=dict)
    echoed_sent_at: dict[str, float] = field(default_factory=dict)
    observed: dict[str, ObservedMember] = field(default_factory=dict)
    row_versions: dict[str, int] = field(default_factory=dict)
    removing: frozenset[str] = frozenset()


@dataclass(slots=True)
class ShareState:
    """The endpoint shares that one daemon may use under its latest assignment.

    ``is_granted`` is whether all members have adopted that assignment.
    """

    vm: str
    assignment: Assignment | None = None
    is_granted: bool = False
    shares: dict[str, EndpointShare] = field(default_factory=dict)
