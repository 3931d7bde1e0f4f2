"""One order of time out of the diaries of many routers: numbers, gaps, and how far each clock is off. Free of
I/O.

A diary is known by its origin (a run of a router). Its records are numbered without holes, so what is missing
shows, whatever became of the file; what comes twice counts once. Clocks are compared by what all routers are
told alike: a change of the list and a purge reach all of them within fractions of a second.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from onyxpulley.incident.records import Kind, Origin, Record

SECOND = 1_000_000
STILL = 3 * SECOND  # every second has a record: a longer pause is one of the router
FRESH = 2 * SECOND  # what a run is told at its start is old news, and no anchor
ANCHORS = 20_000  # that are remembered
ENOUGH = 3  # shared anchors by which a clock is judged
ROUNDS = 5


@dataclass(frozen=True, slots=True)
class Gap:
    """From `since` on nothing is known of a run: not that all was calm."""

    since: int  # by its own clock
    until: int | None  # None: to its end, which is not known either
    missing: int  # records, as far as the numbers tell
    why: str


@dataclass(frozen=True, slots=True)
class Entry:
    time: int  # on the common clock, Unix microseconds
    origin: Origin
    what: Record | Gap


@dataclass(frozen=True, slots=True)
class Clock:
    offset: int  # microseconds by which it is ahead of the common clock
    spread: int  # how far single anchors lie from that: the news takes its time
    anchors: int

    @property
    def judged(self) -> bool:
        return self.anchors >= ENOUGH


def whole(origin: Origin, parts: Iterable[Iterable[Record]], torn: bool) -> Iterator[Record | Gap]:
    """The records of one run in the order of their numbers, each once, and its gaps. `parts`: files in any
    order, each sorted by number; copies of the same ones may be among them."""
    last: Record | None = None
    for record in heapq.merge(*parts, key=lambda r: r.seq):
        expected = last.seq + 1 if last is not None else 0
        if record.seq < expected:
            continue
        since = last.at if last is not None else min(origin.epoch, record.at)
        if record.seq > expected:
            yield Gap(since, record.at, record.seq - expected, "records are missing")
        elif record.at - since > STILL:
            yield Gap(since, record.at, 0, "it wrote nothing")
        last = record
        yield record
    ended = last is not None and last.kind is Kind.PHASE and last.cause == "stopped"
    if not ended:
        why = "its file ends torn" if torn else "it ends without a word"
        yield Gap(last.at if last is not None else origin.epoch, None, 0, why)


# ---- Clocks
Key = tuple[str, str, str, float]
ANCHORED = frozenset({Kind.LIST, Kind.PURGE})


def anchor(record: Record) -> Key | None:
    if record.kind is Kind.LIST:
        return "list", record.server, record.cause, record.value
    if record.kind is Kind.PURGE:
        return "purge", record.detail, "", record.value
    return None


def anchors_of(origin: Origin, records: Iterable[Record]) -> dict[Key, int]:
    """When this run was told what others were told as well. What it was told twice compares nothing."""
    found: dict[Key, int] = {}
    twice = set[Key]()
    for record in records:
        key = anchor(record)
        if key is None or record.at - origin.epoch < FRESH:
            continue
        if key in found:
            twice.add(key)
        elif len(found) < ANCHORS:
            found[key] = record.at
    return {key: at for key, at in found.items() if key not in twice}


def clocks(seen: Mapping[str, Mapping[Key, int]]) -> dict[str, Clock]:
    """How far the clock of each router is off the common one, by name: a restart doesn't change the machine.
    The common clock is the middle one of all; two alone are both off by half of what they differ."""
    shared: dict[Key, dict[str, int]] = {}
    for name, told in seen.items():
        for key, at in told.items():
            shared.setdefault(key, {})[name] = at
    shared = {key: row for key, row in shared.items() if len(row) > 1}
    count = dict.fromkeys(seen, 0)
    for row in shared.values():
        for name in row:
            count[name] += 1
    offset = dict.fromkeys(seen, 0.0)
    apart: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        apart = {name: [] for name in seen}
        for row in shared.values():
            middle = median(at - offset[name] for name, at in row.items())
            for name, at in row.items():
                apart[name].append(at - middle)
        offset = {n: median(rest) if count[n] >= ENOUGH else 0.0 for n, rest in apart.items()}
    judged = [offset[name] for name in seen if count[name] >= ENOUGH]
    common = median(judged) if judged else 0.0
    found = {}
    for name in seen:
        off = offset[name] - common if count[name] >= ENOUGH else 0.0
        spread = median(abs(rest - offset[name]) for rest in apart[name]) if apart[name] else 0.0
        found[name] = Clock(round(off), round(spread), count[name])
    return found


# ---- One order
Reader = Callable[[], Iterable[Record | Gap]]


def entries(origin: Origin, rows: Iterable[Record | Gap], offset: int) -> Iterator[Entry]:
    """On the common clock, never backwards: a clock that was set back keeps the order of the numbers."""
    latest = -(2**62)
    for row in rows:
        latest = max(latest, (row.since if isinstance(row, Gap) else row.at) - offset)
        yield Entry(latest, origin, row)


def merged(runs: Sequence[tuple[Origin, Reader]], offsets: Mapping[str, int]) -> Iterator[Entry]:
    """All entries of all runs in one order, a run at a time in memory no further than its reader goes."""
    streams = [entries(origin, reader(), offsets.get(origin.router, 0)) for origin, reader in runs]
    return heapq.merge(*streams, key=lambda e: (e.time, e.origin))
