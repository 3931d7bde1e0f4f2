"""Types that cross the boundary of the routing decisions: settings and events go in, actions come out.

Durations and timestamps are whole microseconds; timestamps are on the clock of the events. The module holds
data types only and makes no decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    MISS = "miss"
    NOT_CONNECTED = "not connected"  # this machine lacked a resource: says nothing about the server


# Outcomes that prove that the server did not run the request.
NEVER_RAN = frozenset(
    {Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_SENT, Outcome.MISS, Outcome.NOT_CONNECTED}
)


class Note(IntEnum):
    """What a server reports about how it produced its answer: from its copy, by a fill, or why not."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_MISS = 8
    NO_FILL_CAPACITY = 9
    ORIGIN_FAILED = 10


class Effect(Enum):
    """Whether a request may run twice: yes, only where servers drop repeats by a key, or no."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class ServerState(IntEnum):
    """State of a server in the membership list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    """What a membership update contains: changes, the whole list, a cached whole list, or a failed read."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of one class of requests.

    An answer earns its full worth within `aim`, which is extended by `aim_stretch` times the request's own
    transfer time, and `late_share` of it when it comes later.
    """

    name: str
    aim: int
    deadline: int
    aim_stretch: float = 0.0
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.UNSAFE
    dedup_by: str = "all"  # keyed classes: which servers drop repeats together: "all", "zone" or "cell"
    dedup_window: int = 0  # for how long they drop repeats
    streamed: bool = False
    freshness_lifetime: int = 0  # 0: a copy is fresh until it is purged
    grace: int = 0  # how long beyond that a stale copy may be served while it cannot be refreshed
    stale_worth: float = 0.0
    uncached: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router. A field with a default may be left out of the deployment's settings."""

    zone: str
    classes: tuple[ClassSettings, ...]
    zones: tuple[str, ...] = ()
    router_index: int = 0
    routers: int = 1  # number of routers in the deployment
    tick: int = 1000  # resolution of the events' clock
    parent_kind: str | None = None
    origin_kind: str | None = None
    zone_routers: int = 1  # number of routers in this router's zone
    zone_hubs: tuple[int, ...] = ()
    bypass_allowed: bool = False  # requests may go past the caches, to a parent or the origin
    may_join: bool = False  # a request may join a fill under way
    sibling_scope: str = "none"  # "none", "location" or "any"
    notes: str = "none"  # which notes servers send: "all", "hit" or "none"
    flow_kb_per_s: float = 0.0  # rate of one transfer at full speed; 0: unknown
    weights_are_nominal: bool = False  # a server's weight is the number of transfers that its link carries
    subscribe: bool = False  # membership changes must be subscribed to
    must_ask_in: int = 0
    may_probe: bool = False
    may_cancel: bool = False
    may_hedge: bool = False  # a safe request may have two attempts in flight
    sends_retry_after: bool = False
    max_retry_after: int = 0
    max_attempts: int = 3
    drain_grace: int = 0
    answer_grace: int = 0
    cold_initial_share: float = 0.1  # share of its capacity that a server has right after its start
    warm_up_time: int = 30_000_000
    cold_multiple: float = 2.0  # multiple of its current capacity that a cold server may be sent
    cold_window: int = 2_000_000  # window over which that limit is counted
    parent_cold_initial_share: float = 0.1
    parent_warm_up_time: int = 30_000_000
    parent_cold_multiple: float = 2.0
    purge_grace: int = 0
    purge_duration: int = 10_000_000  # within this time servers drop purged copies
    max_notice_delay: int = (
        0  # by then an event of discovery counts as known, received or not; 0: if received
    )
    max_notice_delay_after_move: int = 0  # the same for what it has told when it moved to another address
    load_report_fields: tuple[str, ...] = ()  # names of the values in a load report, in order
    max_tracked_objects: int = 40_000  # entries per table: rankings, request rates, learned sizes
    link_transfers: float = 0.0  # full-speed transfers that this router's link carries; 0: keeps no copies


# Events


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the membership list: an edge cache, a parent or the origin, according to its kind."""

    server: str
    zone: str
    kind: str
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    start_time: int = 0  # identifies a start of the server: differs after each restart; 0: long ago
    latest_start: int | None = None  # upper bound of the start, on the events' clock; None: `start_time`

    @property
    def cold_since(self) -> int:
        """The time from which the server's warm-up is counted."""
        return self.start_time if self.latest_start is None else self.latest_start


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """Servers reported by discovery: all of them or, for CHANGES, those that changed."""

    kind: UpdateKind
    entries: tuple[ServerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A new request, which is owed exactly one final answer."""

    id: str
    cls: str
    object: str
    time_left: int
    group: int | None = None
    size_kb: float = 0.0
    part: int = 0
    is_write: bool = False
    is_repeat: bool = False
    tenant: str | None = None
    own_copy_age: int | None = None  # age of this router's own copy; None: it has none
    client_has_copy: bool = False  # the client holds that same copy: no body has to be sent


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has started. No other answer can be sent to the client any more."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The end of one attempt."""

    id: str
    attempt: int
    server: str
    outcome: Outcome
    duration: int = 0
    request_done: bool = False  # the request needs no further answer
    note: int = Note.NONE
    waited: int = 0  # time that the server waited for the source of its fill
    load: tuple[float, ...] = ()
    not_modified: bool = False  # the client's copy was confirmed: without a body, the time shows no rate


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client gave up the request: no answer is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by SetTimer expired."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a health probe."""

    server: str
    outcome: Outcome
    duration: int = 0
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Purged:
    """Copies of `object` (None: of the whole group) that are older than `age` are out of date."""

    group: int | None
    age: int
    object: str | None = None


@dataclass(frozen=True, slots=True)
class EventsConfirmed:
    """Discovery has shown that every event that it had `age` ago was received."""

    age: int


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """Discovery has another address from now on; events of the old one are received no more."""


Event = (
    MembershipUpdate
    | Request
    | StreamStarted
    | Finished
    | ClientGone
    | TimerDue
    | Probed
    | Purged
    | EventsConfirmed
    | DiscoveryMoved
)


# Actions


@dataclass(frozen=True, slots=True)
class Forward:
    """Sends an attempt that the server answers itself, without a fill."""

    id: str
    server: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Fetch:
    """Sends an attempt that names the source from which the server may fill a miss."""

    id: str
    server: str
    timeout: int
    source: str
    retention_rank: int = 0  # rank under which the server keeps the filled copy; 0: not told
    max_age: int = 0  # age of the oldest acceptable copy; 0: the freshness lifetime of the class
    may_join: bool = False  # the server may make the request wait for a fill under way
    only_if_cached: bool = False  # the server must not fill
    refresh_in_background: bool = False  # the server may refresh its copy in the background


@dataclass(frozen=True, slots=True)
class ServeOwnCopy:
    """Answers the request from the router's own copy."""

    id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses the request. `retry_after`: how long the client should wait; 0: not told."""

    id: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Answers that the request failed; it may have run."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels one attempt of a request."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Asks for a TimerDue event with this token after `delay`."""

    token: int
    delay: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks for a health probe of a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks discovery to send membership changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a line to the log."""

    text: str


Action = Forward | Fetch | ServeOwnCopy | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | Log
