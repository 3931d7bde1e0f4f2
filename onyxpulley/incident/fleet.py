"""The state of the fleet over time: servers, routers, requests and events, from merged entries. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from onyxpulley.incident.collector import HISTOGRAM_DIGITS, MAX_LATENCY_MS
from onyxpulley.incident.merge import STARTUP_US, US_PER_SECOND, Entry, Gap
from onyxpulley.incident.records import Kind, Record

SAME_EVENT_US = 10 * US_PER_SECOND  # equal reports of several routers within this time are one event
PURGE = "purge"
BUCKET_S = 5  # seconds over which the attempts at one server are added up
FAILED_OUTCOMES = frozenset({"failed", "timed out", "unreachable", "broken", "full"})
SERVER_STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}


@dataclass(slots=True)
class Interval:
    """A state and how long it lasted, in Unix microseconds. `until` is None while it lasts."""

    state: str
    since: int
    until: int | None = None


@dataclass(slots=True)
class TimelineEvent:
    """An event of the timeline, as one or several routers reported it. Times are in Unix microseconds."""

    time: int
    kind: Kind | str
    subject: str  # a server, a router, an object or group, or the bulletin
    text: str
    last_reported_at: int
    routers: set[str] = field(default_factory=set)  # that reported it
    value: float = 0.0


@dataclass(slots=True)
class Server:
    """A server that requests are routed to, as the routers saw it."""

    uid: str
    role: str = ""
    zone: str = ""
    states: list[Interval] = field(default_factory=list)
    ejections: list[Interval] = field(default_factory=list)  # while at least one router ejects it
    slow_starts: list[Interval] = field(default_factory=list)  # cold after a start, for the configured time
    ejected_by: set[str] = field(default_factory=set)  # routers
    boot_ms: float = 0.0  # Unix milliseconds, 0: not known
    load: dict[int, float] = field(default_factory=dict)  # by bucket, the highest that any router was told

    @property
    def state(self) -> str:
        """The last state, or an empty string."""
        return self.states[-1].state if self.states else ""


@dataclass(slots=True)
class Router:
    """A router that wrote records, over all its runs."""

    name: str
    runs: int = 0
    phases: list[Interval] = field(default_factory=list)
    gaps: list[Interval] = field(default_factory=list)
    dropped: int = 0  # records


@dataclass(slots=True)
class SecondCounts:
    """The answers of one second, of all routers together."""

    answers: Counter[tuple[str, str]] = field(default_factory=Counter)  # by class and verdict

    def requests(self) -> int:
        """The number of requests that were answered, whatever the verdict."""
        return self.answers.total()

    def not_served(self) -> int:
        """The number of requests with any other verdict than served."""
        return sum(n for (_, verdict), n in self.answers.items() if verdict != "served")


class Fleet:
    """The state of all servers and routers, built up by applying entries in the order of time."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        self.routers: dict[str, Router] = {}
        self.seconds: dict[int, SecondCounts] = {}  # by Unix time
        self.attempts: dict[int, Counter[tuple[str, str]]] = {}  # by bucket: server and outcome
        self.latencies: dict[str, HdrHistogram] = {}  # of served requests by class, ms
        self.events: list[TimelineEvent] = []  # without purges
        self.recent_events: dict[tuple[str, str, str, float], TimelineEvent] = {}
        self.first = self.last = 0  # Unix microseconds
        self.slow_start_s = 0.0

    # ---- Applying entries, in the order of time
    def apply(self, entry: Entry) -> TimelineEvent | None:
        """Updates the state. Returns the event that this entry is the first to report, if there is one."""
        self.first, self.last = self.first or entry.time, max(self.last, entry.time)
        router = self.routers.setdefault(entry.run_id.router, Router(entry.run_id.router))
        if isinstance(entry.content, Gap):
            return self._apply_gap(entry, entry.content, router)
        record = entry.content
        match record.kind:
            case Kind.ANSWER:
                second = self.seconds.setdefault(entry.time // US_PER_SECOND, SecondCounts())
                second.answers[record.cls, record.cause] += record.count
                if record.detail:
                    latencies = self.latencies.setdefault(
                        record.cls, HdrHistogram(1, MAX_LATENCY_MS, HISTOGRAM_DIGITS)
                    )
                    latencies.decode_and_add(record.detail)
            case Kind.ATTEMPT:
                bucket = self.attempts.setdefault(entry.time // US_PER_SECOND // BUCKET_S, Counter())
                bucket[record.server, record.cause] += record.count
            case Kind.LOAD:
                load, index = self._server(record.server).load, entry.time // US_PER_SECOND // BUCKET_S
                load[index] = max(load.get(index, 0.0), record.value)
            case Kind.LIST:
                return self._apply_membership(entry, record)
            case Kind.AVOID:
                return self._apply_ejection(entry, record)
            case Kind.PHASE:
                return self._apply_phase(entry, record, router)
            case Kind.PURGE:
                return self._add_event(entry, PURGE, record.detail, "purged", record.value)
            case Kind.RELOAD:
                return self._add_event(entry, Kind.RELOAD, entry.run_id.router, f"reload {record.cause}")
            case Kind.NEWS:
                return self._add_event(
                    entry, Kind.NEWS, "bulletin", record.detail.partition(" after ")[0], 0.0
                )
            case Kind.DROPPED:
                router.dropped += record.count
        return None

    def _server(self, uid: str) -> Server:
        return self.servers.setdefault(uid, Server(uid))

    def _add_event(
        self, entry: Entry, kind: Kind | str, subject: str, text: str, value: float = 0.0
    ) -> TimelineEvent | None:
        """Adds a new event, or a router to an event that others reported within the last seconds."""
        key = (str(kind), subject, text, value)
        recent = self.recent_events.get(key)
        if recent is not None and entry.time - recent.last_reported_at < SAME_EVENT_US:
            recent.last_reported_at = entry.time
            recent.routers.add(entry.run_id.router)
            return None
        new = TimelineEvent(entry.time, kind, subject, text, entry.time, {entry.run_id.router}, value)
        self.recent_events[key] = new
        if kind != PURGE:  # there may be thousands an hour: they are replayed, but not kept
            self.events.append(new)
        if len(self.recent_events) > 10_000:
            self.recent_events = {
                k: event
                for k, event in self.recent_events.items()
                if entry.time - event.last_reported_at < SAME_EVENT_US
            }
        return new

    def _apply_membership(self, entry: Entry, record: Record) -> TimelineEvent | None:
        server = self._server(record.server)
        server.role, _, server.zone = record.detail.partition("@")
        state = SERVER_STATES.get(record.cause, record.cause)
        has_restarted = state == server.state and record.value != server.boot_ms and record.value > 0
        if state == server.state and not has_restarted:
            self._confirm_event(entry, record.server, state, record.value)
            return None
        if (
            _state_order(state) < _state_order(server.state)
            and record.value == server.boot_ms
            and server.state == "draining"
        ):
            return None  # a late report: another router has reported the drain of the same start already
        if server.states:
            server.states[-1].until = entry.time
        is_cold = record.value > 0 and record.value != server.boot_ms and state == "ready"
        server.boot_ms = record.value or server.boot_ms
        until = round((record.value / 1000 + self.slow_start_s) * US_PER_SECOND)
        if is_cold and until > entry.time:
            server.slow_starts.append(Interval("slow start", round(record.value * 1000), until))
        if state == "gone":
            server.ejected_by.clear()
            if server.ejections and server.ejections[-1].until is None:
                server.ejections[-1].until = entry.time
        server.states.append(Interval(state, entry.time))
        if len(server.states) == 1 and state == "ready" and record.at - entry.run_id.epoch < STARTUP_US:
            return None  # the membership that the router learnt at its start
        return self._add_event(entry, "started" if is_cold else Kind.LIST, record.server, state, record.value)

    def _confirm_event(self, entry: Entry, subject: str, text: str, value: float) -> None:
        """Adds a router to a recent event of the membership."""
        for kind in ("started", str(Kind.LIST)):
            recent = self.recent_events.get((kind, subject, text, value))
            if recent is not None and entry.time - recent.last_reported_at < SAME_EVENT_US:
                recent.last_reported_at = entry.time
                recent.routers.add(entry.run_id.router)

    def _apply_ejection(self, entry: Entry, record: Record) -> TimelineEvent | None:
        server = self._server(record.server)
        server.role = server.role or record.detail.partition(" ")[0]
        if record.cause == "down":
            if not server.ejected_by:
                server.ejections.append(Interval("ejected", entry.time))
            server.ejected_by.add(entry.run_id.router)
        else:
            server.ejected_by.discard(entry.run_id.router)
            if not server.ejected_by and server.ejections:
                server.ejections[-1].until = entry.time
        return self._add_event(entry, Kind.AVOID, record.server, record.cause)

    def _apply_phase(self, entry: Entry, record: Record, router: Router) -> TimelineEvent | None:
        if record.cause == "starting":
            self.slow_start_s = record.value or self.slow_start_s
            router.runs += 1
            self._end_gap(router, entry.time)
            for server in self.servers.values():  # a new run has ejected no server yet
                server.ejected_by.discard(router.name)
                if not server.ejected_by and server.ejections and server.ejections[-1].until is None:
                    server.ejections[-1].until = entry.time
        if router.phases:
            router.phases[-1].until = entry.time
        router.phases.append(Interval(record.cause, entry.time))
        return self._add_event(entry, Kind.PHASE, router.name, record.cause)

    def _apply_gap(self, entry: Entry, gap: Gap, router: Router) -> TimelineEvent | None:
        self._end_gap(router, entry.time)
        until = entry.time + (gap.until - gap.since) if gap.until is not None else None
        router.gaps.append(Interval(gap.reason, entry.time, until))
        return self._add_event(entry, "gap", router.name, gap.reason, float(gap.missing))

    @staticmethod
    def _end_gap(router: Router, time: int) -> None:
        if router.gaps and router.gaps[-1].until is None:
            router.gaps[-1].until = time


def _state_order(state: str) -> int:
    return {"": 0, "ready": 1, "draining": 2, "gone": 3}.get(state, 0)
