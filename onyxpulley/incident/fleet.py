"""What was when: the fleet's state, folded out of entries in the order of time. Free of I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from onyxpulley.incident.merge import FRESH, SECOND, Entry, Gap
from onyxpulley.incident.records import Kind, Record
from onyxpulley.incident.tally import DIGITS, LONGEST

TOGETHER = 10 * SECOND  # the same told by several routers within that is one happening
PURGE = "purge"
BUCKET = 5  # seconds in which the attempts at one server are added up
FAILING = frozenset({"failed", "timed out", "unreachable", "broken", "full"})
STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}


@dataclass(slots=True)
class Span:
    """Something that held for a while."""

    state: str
    since: int
    until: int | None = None


@dataclass(slots=True)
class Happening:
    """What staff would put on the timeline. `routers`: who said so."""

    time: int
    kind: Kind | str
    who: str
    what: str
    last: int
    routers: set[str] = field(default_factory=set)
    value: float = 0.0


@dataclass(slots=True)
class Box:
    uid: str
    role: str = ""
    zone: str = ""
    spans: list[Span] = field(default_factory=list)
    avoided: list[Span] = field(default_factory=list)  # while any router avoids it
    warming: list[Span] = field(default_factory=list)  # cold after a start, as long as the settings say
    avoiders: set[str] = field(default_factory=set)
    boot: float = 0.0
    load: dict[int, float] = field(default_factory=dict)  # by bucket, the most that any router heard

    @property
    def state(self) -> str:
        return self.spans[-1].state if self.spans else ""


@dataclass(slots=True)
class Router:
    name: str
    runs: int = 0
    phases: list[Span] = field(default_factory=list)
    gaps: list[Span] = field(default_factory=list)
    dropped: int = 0


@dataclass(slots=True)
class Second:
    answers: Counter[tuple[str, str]] = field(default_factory=Counter)  # by class and verdict

    def asked(self) -> int:
        return self.answers.total()

    def lost(self) -> int:
        return sum(n for (_, verdict), n in self.answers.items() if verdict != "served")


class Fleet:
    def __init__(self) -> None:
        self.boxes: dict[str, Box] = {}
        self.routers: dict[str, Router] = {}
        self.seconds: dict[int, Second] = {}
        self.attempts: dict[int, Counter[tuple[str, str]]] = {}  # by bucket: server and outcome
        self.times: dict[str, HdrHistogram] = {}  # by class, ms of what was served
        self.happenings: list[Happening] = []
        self.open: dict[tuple[str, str, str, float], Happening] = {}
        self.first = self.last = 0
        self.cold = 0.0  # seconds

    # ---- Feeding, in the order of time
    def feed(self, entry: Entry) -> Happening | None:
        """The happening that this entry begins, if it begins one."""
        self.first, self.last = self.first or entry.time, max(self.last, entry.time)
        router = self.routers.setdefault(entry.origin.router, Router(entry.origin.router))
        if isinstance(entry.what, Gap):
            return self._gap(entry, entry.what, router)
        record = entry.what
        match record.kind:
            case Kind.ANSWER:
                second = self.seconds.setdefault(entry.time // SECOND, Second())
                second.answers[record.cls, record.cause] += record.count
                if record.detail:
                    times = self.times.setdefault(record.cls, HdrHistogram(1, LONGEST, DIGITS))
                    times.decode_and_add(record.detail)
            case Kind.ATTEMPT:
                bucket = self.attempts.setdefault(entry.time // SECOND // BUCKET, Counter())
                bucket[record.server, record.cause] += record.count
            case Kind.LOAD:
                load, at = self._box(record.server).load, entry.time // SECOND // BUCKET
                load[at] = max(load.get(at, 0.0), record.value)
            case Kind.LIST:
                return self._listed(entry, record)
            case Kind.AVOID:
                return self._avoided(entry, record)
            case Kind.PHASE:
                return self._phase(entry, record, router)
            case Kind.PURGE:
                return self._happens(entry, PURGE, record.detail, "purged", record.value)
            case Kind.RELOAD:
                return self._happens(entry, Kind.RELOAD, entry.origin.router, f"reload {record.cause}")
            case Kind.NEWS:
                return self._happens(entry, Kind.NEWS, "bulletin", record.detail.partition(" after ")[0], 0.0)
            case Kind.DROPPED:
                router.dropped += record.count
        return None

    def _box(self, uid: str) -> Box:
        return self.boxes.setdefault(uid, Box(uid))

    def _happens(
        self, entry: Entry, kind: Kind | str, who: str, what: str, value: float = 0.0
    ) -> Happening | None:
        """One happening, however many routers tell of it."""
        key = (str(kind), who, what, value)
        found = self.open.get(key)
        if found is not None and entry.time - found.last < TOGETHER:
            found.last = entry.time
            found.routers.add(entry.origin.router)
            return None
        new = Happening(entry.time, kind, who, what, entry.time, {entry.origin.router}, value)
        self.open[key] = new
        if kind != PURGE:  # there may be thousands an hour: they are replayed, not kept
            self.happenings.append(new)
        if len(self.open) > 10_000:
            self.open = {k: h for k, h in self.open.items() if entry.time - h.last < TOGETHER}
        return new

    def _listed(self, entry: Entry, record: Record) -> Happening | None:
        box = self._box(record.server)
        box.role, _, box.zone = record.detail.partition("@")
        state = STATES.get(record.cause, record.cause)
        begins = state == box.state and record.value != box.boot and record.value > 0
        if state == box.state and not begins:
            self._happens_again(entry, record.server, state, record.value)
            return None
        if _order(state) < _order(box.state) and record.value == box.boot and box.state == "draining":
            return None  # a router that is late: the same start was told to drain already
        if box.spans:
            box.spans[-1].until = entry.time
        cold = record.value > 0 and record.value != box.boot and state == "ready"
        box.boot = record.value or box.boot
        until = round((record.value / 1000 + self.cold) * SECOND)
        if cold and until > entry.time:
            box.warming.append(Span("warming", round(record.value * 1000), until))
        if state == "gone":
            box.avoiders.clear()
            if box.avoided and box.avoided[-1].until is None:
                box.avoided[-1].until = entry.time
        box.spans.append(Span(state, entry.time))
        if len(box.spans) == 1 and state == "ready" and record.at - entry.origin.epoch < FRESH:
            return None  # what it knew at its start
        return self._happens(entry, "started" if cold else Kind.LIST, record.server, state, record.value)

    def _happens_again(self, entry: Entry, who: str, what: str, value: float) -> None:
        for kind in ("started", str(Kind.LIST)):
            found = self.open.get((kind, who, what, value))
            if found is not None and entry.time - found.last < TOGETHER:
                found.last = entry.time
                found.routers.add(entry.origin.router)

    def _avoided(self, entry: Entry, record: Record) -> Happening | None:
        box = self._box(record.server)
        box.role = box.role or record.detail.partition(" ")[0]
        if record.cause == "down":
            if not box.avoiders:
                box.avoided.append(Span("avoided", entry.time))
            box.avoiders.add(entry.origin.router)
        else:
            box.avoiders.discard(entry.origin.router)
            if not box.avoiders and box.avoided:
                box.avoided[-1].until = entry.time
        return self._happens(entry, Kind.AVOID, record.server, record.cause)

    def _phase(self, entry: Entry, record: Record, router: Router) -> Happening | None:
        if record.cause == "starting":
            self.cold = record.value or self.cold
            router.runs += 1
            self._closes(router, entry.time)
            for box in self.boxes.values():  # a new run avoids nobody
                box.avoiders.discard(router.name)
                if not box.avoiders and box.avoided and box.avoided[-1].until is None:
                    box.avoided[-1].until = entry.time
        if router.phases:
            router.phases[-1].until = entry.time
        router.phases.append(Span(record.cause, entry.time))
        return self._happens(entry, Kind.PHASE, router.name, record.cause)

    def _gap(self, entry: Entry, gap: Gap, router: Router) -> Happening | None:
        self._closes(router, entry.time)
        until = entry.time + (gap.until - gap.since) if gap.until is not None else None
        router.gaps.append(Span(gap.why, entry.time, until))
        return self._happens(entry, "gap", router.name, gap.why, float(gap.missing))

    @staticmethod
    def _closes(router: Router, time: int) -> None:
        if router.gaps and router.gaps[-1].until is None:
            router.gaps[-1].until = time


def _order(state: str) -> int:
    return {"": 0, "ready": 1, "draining": 2, "gone": 3}.get(state, 0)
