"""Merges the records of many routers into one timeline: missing records, gaps, and clock offsets. No I/O.

The records of a run are numbered consecutively. So missing records are noticed whatever became of the file,
and duplicates count once. Clock offsets are estimated from events that all routers receive: a change of the
membership and a purge reach all of them within fractions of a second.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from onyxpulley.incident.records import Kind, Record, RunId

US_PER_SECOND = 1_000_000
MAX_SILENCE_US = 3 * US_PER_SECOND  # a run writes at least one record each second
STARTUP_US = 2 * US_PER_SECOND  # what a run is told in this time may be old, and compares no clocks
MAX_ANCHORS = 20_000  # kept of each run
MIN_ANCHORS = 3  # shared with other routers, from which a clock offset is estimated
CLOCK_ITERATIONS = 5


@dataclass(frozen=True, slots=True)
class Gap:
    """A time of which nothing is known of a run. It doesn't mean that nothing happened."""

    since: int  # Unix microseconds by the run's own clock
    until: int | None  # None: to the end of the run, which is not known either
    missing: int  # number of missing records, as far as the sequence numbers tell
    reason: str


@dataclass(frozen=True, slots=True)
class Entry:
    """A record or a gap, placed on the common clock."""

    time: int  # on the common clock, Unix microseconds
    run_id: RunId
    content: Record | Gap


@dataclass(frozen=True, slots=True)
class Clock:
    """The estimated offset of a router's clock."""

    offset: int  # microseconds by which it is ahead of the common clock
    spread: int  # median deviation of the single anchors, in microseconds: events take time to arrive
    anchor_count: int

    @property
    def is_estimated(self) -> bool:
        """Whether enough anchors were shared; else the offset is 0."""
        return self.anchor_count >= MIN_ANCHORS


def records_and_gaps(
    run_id: RunId, parts: Iterable[Iterable[Record]], truncated: bool
) -> Iterator[Record | Gap]:
    """The records of one run in the order of their numbers, without duplicates, and the gaps between them.

    `parts` are its files in any order, copies included, each sorted by number. `truncated`: the last of them
    is not complete.
    """
    last: Record | None = None
    for record in heapq.merge(*parts, key=lambda r: r.seq):
        expected_seq = last.seq + 1 if last is not None else 0
        if record.seq < expected_seq:
            continue
        since = last.at if last is not None else min(run_id.epoch, record.at)
        if record.seq > expected_seq:
            yield Gap(since, record.at, record.seq - expected_seq, "records are missing")
        elif record.at - since > MAX_SILENCE_US:
            yield Gap(since, record.at, 0, "nothing was recorded")
        last = record
        yield record
    has_stopped = last is not None and last.kind is Kind.PHASE and last.cause == "stopped"
    if not has_stopped:
        reason = "its last file is truncated" if truncated else "it ended without a shutdown"
        yield Gap(last.at if last is not None else run_id.epoch, None, 0, reason)


# ---- Clocks

# Identifies an event that several routers receive: kind, server or object, state, and time or 0.
AnchorKey = tuple[str, str, str, float]
ANCHOR_KINDS = frozenset({Kind.LIST, Kind.PURGE})


def anchor_key(record: Record) -> AnchorKey | None:
    """The key of a record that can serve as an anchor; None for all others."""
    if record.kind is Kind.LIST:
        return "list", record.server, record.cause, record.value
    if record.kind is Kind.PURGE:
        return "purge", record.detail, "", record.value
    return None


def find_anchors(run_id: RunId, records: Iterable[Record]) -> dict[AnchorKey, int]:
    """When this run received events that others received as well, by its own clock, in Unix microseconds.

    An event that it received twice is left out, since the two can't be told apart.
    """
    anchors: dict[AnchorKey, int] = {}
    repeated = set[AnchorKey]()
    for record in records:
        key = anchor_key(record)
        if key is None or record.at - run_id.epoch < STARTUP_US:
            continue
        if key in anchors:
            repeated.add(key)
        elif len(anchors) < MAX_ANCHORS:
            anchors[key] = record.at
    return {key: at for key, at in anchors.items() if key not in repeated}


def estimate_clocks(anchors: Mapping[str, Mapping[AnchorKey, int]]) -> dict[str, Clock]:
    """The clock of each router, from its anchors. Both are by the router's name: a restart keeps the clock.

    The common clock is the median of all. Of two routers alone, each is off by half of their difference.
    """
    shared: dict[AnchorKey, dict[str, int]] = {}
    for name, own_anchors in anchors.items():
        for key, at in own_anchors.items():
            shared.setdefault(key, {})[name] = at
    shared = {key: times for key, times in shared.items() if len(times) > 1}
    count = dict.fromkeys(anchors, 0)
    for times in shared.values():
        for name in times:
            count[name] += 1
    offset = dict.fromkeys(anchors, 0.0)
    deviations: dict[str, list[float]] = {}
    for _ in range(CLOCK_ITERATIONS):
        deviations = {name: [] for name in anchors}
        for times in shared.values():
            middle = median(at - offset[name] for name, at in times.items())
            for name, at in times.items():
                deviations[name].append(at - middle)
        offset = {n: median(rest) if count[n] >= MIN_ANCHORS else 0.0 for n, rest in deviations.items()}
    estimated = [offset[name] for name in anchors if count[name] >= MIN_ANCHORS]
    common = median(estimated) if estimated else 0.0
    clocks = {}
    for name in anchors:
        ahead = offset[name] - common if count[name] >= MIN_ANCHORS else 0.0
        spread = median(abs(rest - offset[name]) for rest in deviations[name]) if deviations[name] else 0.0
        clocks[name] = Clock(round(ahead), round(spread), count[name])
    return clocks


# ---- One timeline
Reader = Callable[[], Iterable[Record | Gap]]


def run_entries(run_id: RunId, contents: Iterable[Record | Gap], offset: int) -> Iterator[Entry]:
    """The records and gaps of a run on the common clock. Time never goes back: if the router's
    clock was set back, the order of the sequence numbers is kept."""
    latest = -(2**62)
    for content in contents:
        latest = max(latest, (content.since if isinstance(content, Gap) else content.at) - offset)
        yield Entry(latest, run_id, content)


def merge_runs(runs: Sequence[tuple[RunId, Reader]], offsets: Mapping[str, int]) -> Iterator[Entry]:
    """The entries of all runs in the order of time. Reads each run only as far as the merge needs it.

    `offsets`: clock offsets by router, in microseconds.
    """
    streams = [run_entries(run_id, reader(), offsets.get(run_id.router, 0)) for run_id, reader in runs]
    return heapq.merge(*streams, key=lambda e: (e.time, e.run_id))
