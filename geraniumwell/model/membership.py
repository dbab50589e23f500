"""Members of a data centre and the assignment of shares among them."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class MemberRow:
    """A member's heartbeat, the same in the table and between peers.

    ``counter`` rises with each heartbeat. ``heard`` holds the last counter heard
    from each other member, keyed by VM.
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

    ``joined`` holds the version in which each member joined without a break since.
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
    """The part of one endpoint that one daemon may use."""

    slots: int
    connections: int


@dataclass(slots=True)
class ObservedMember:
    """Another member as last heard; ``first_heard_at`` is of its last counter."""

    row: MemberRow
    first_heard_at: float


@dataclass(slots=True)
class MemberState:
    """What one member knows of its data centre; times are monotonic seconds.

    ``row_version`` is the version of the assignment row in the table, 0 where it
    does not exist. ``removing`` names members whose removal this daemon has proposed
    and not yet read back. ``platform_failed_at`` and ``peer_failed_at`` are when the
    last failed call was sent, with no successful one since; ``platform_ok_since`` is
    when the first of the successful calls after the last failure or pause ended.
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
    heard: dict[str, ObservedMember] = field(default_factory=dict)
    row_versions: dict[str, int] = field(default_factory=dict)
    removing: frozenset[str] = frozenset()


@dataclass(slots=True)
class ShareState:
    """The shares that one daemon may use under the assignment it last learned."""

    vm: str
    assignment: Assignment | None = None
    is_granted: bool = False
    shares: dict[str, EndpointShare] = field(default_factory=dict)
