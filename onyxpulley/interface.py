"""Types of onyxpulley: the settings and events a router reads, the actions it answers with.

Times are whole microseconds on the events' clock. Nothing here decides anything.
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
    NOT_CONNECTED = "not connected"  # for want of something on this machine: it says nothing of the server


# The outcomes that prove that an attempt never ran.
NEVER_RAN = frozenset(
    {Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_SENT, Outcome.MISS, Outcome.NOT_CONNECTED}
)


class Note(IntEnum):
    """What an answer tells of how it came about."""

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
    """May a request run twice?"""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class ServerState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests. `aim` grows by `aim_stretch` times the request's own sending time."""

    name: str
    aim: int
    deadline: int
    aim_stretch: float = 0.0
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.UNSAFE
    dedup_by: str = "all"  # keyed: who drops repeats: "all", "zone" or "cell"
    dedup_window: int = 0
    streamed: bool = False
    freshness_lifetime: int = 0  # 0: a copy is good until purged
    grace: int = 0
    stale_worth: float = 0.0
    uncached: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router is told at its start. A default stands where a deployment may leave a figure out."""

    zone: str
    classes: tuple[ClassSettings, ...]
    zones: tuple[str, ...] = ()
    router_index: int = 0
    routers: int = 1
    tick: int = 1000
    parent_kind: str | None = None
    origin_kind: str | None = None
    zone_routers: int = 1  # routers of this router's own location
    zone_hubs: tuple[int, ...] = ()
    bypass_allowed: bool = False
    may_join: bool = False
    sibling_scope: str = "none"  # "none", "location" or "any"
    notes: str = "none"  # "all", "hit" or "none"
    flow_kb_per_s: float = 0.0
    weights_are_nominal: bool = False
    subscribe: bool = False
    must_ask_in: int = 0
    may_probe: bool = False
    may_cancel: bool = False
    may_hedge: bool = False
    sends_retry_after: bool = False
    max_retry_after: int = 0
    max_attempts: int = 3
    drain_grace: int = 0
    answer_grace: int = 0
    cold_initial_share: float = 0.1
    warm_up_time: int = 30_000_000
    cold_multiple: float = 2.0
    cold_window: int = 2_000_000
    parent_cold_initial_share: float = 0.1
    parent_warm_up_time: int = 30_000_000
    parent_cold_multiple: float = 2.0
    purge_grace: int = 0
    purge_duration: int = 10_000_000
    load_report_fields: tuple[str, ...] = ()
    max_tracked_objects: int = (
        40_000  # entries of each table of objects: rankings, what was asked for, learned sizes
    )
    link_transfers: float = 0.0  # at full pace, that fit on this router's own link; 0: it keeps no copies


# Events


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the list: an edge cache, a parent or the origin, by its kind."""

    server: str
    zone: str
    kind: str
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    start_time: int = 0  # which start of it this is: a later one has another number; 0: long ago
    latest_start: int | None = None  # when that was on the events' clock, at the latest; else `started`

    @property
    def cold_since(self) -> int:
        return self.start_time if self.latest_start is None else self.latest_start


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    kind: UpdateKind
    entries: tuple[ServerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request:
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
    own_copy_age: int | None = None  # age of the copy that this router holds itself
    client_has_copy: bool = False  # that copy is the client's too: no bytes are needed


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has started: it belongs to the client now."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The end of one attempt. `over`: the request needs no further answer."""

    id: str
    attempt: int
    server: str
    outcome: Outcome
    duration: int = 0
    request_done: bool = False
    note: int = Note.NONE
    waited: int = 0
    load: tuple[float, ...] = ()
    not_modified: bool = (
        False  # the client's own copy was confirmed: no bytes came, so its time tells no pace
    )


@dataclass(frozen=True, slots=True)
class ClientGone:
    id: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    server: str
    outcome: Outcome
    duration: int = 0
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Purged:
    """Copies of `object` (None: of the whole group) older than `age` ago are out of date."""

    group: int | None
    age: int
    object: str | None = None


Event = MembershipUpdate | Request | StreamStarted | Finished | ClientGone | TimerDue | Probed | Purged


# Actions


@dataclass(frozen=True, slots=True)
class Forward:
    """An attempt that takes only what the server holds."""

    id: str
    server: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Fetch:
    """An attempt that names where a miss is filled from, the copy's rank and the oldest copy that will do."""

    id: str
    server: str
    timeout: int
    source: str
    retention_rank: int = 0
    max_age: int = 0
    may_join: bool = False
    only_if_cached: bool = False
    refresh_in_background: bool = False


@dataclass(frozen=True, slots=True)
class ServeOwnCopy:
    """Serve the router's own copy."""

    id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    id: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    delay: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery to send changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Forward | Fetch | ServeOwnCopy | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | Log
