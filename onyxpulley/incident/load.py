"""From files to one fleet: what can be read is used, and what can't is named."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import groupby
from pathlib import Path

from onyxpulley.incident import files
from onyxpulley.incident.files import Diary, Unreadable
from onyxpulley.incident.fleet import Fleet, Happening
from onyxpulley.incident.merge import ANCHORED, Clock, Entry, Gap, Key, anchors_of, clocks, merged, whole
from onyxpulley.incident.records import Origin, Record


@dataclass(slots=True)
class Run:
    """All files of one run of a router, with their part numbers. They are opened anew at each pass, one part
    after the other: in memory are the columns of one file for each router."""

    origin: Origin
    parts: list[tuple[int, Path]] = field(default_factory=list)
    torn: bool = False

    def rows(self) -> Iterator[Record | Gap]:
        return whole(self.origin, [self._records()], self.torn)

    def _records(self) -> Iterator[Record]:
        for _, same in groupby(sorted(self.parts), key=lambda part: part[0]):
            copies = [files.read(path).records() for _, path in same]
            yield from heapq.merge(*copies, key=lambda record: record.seq)

    def anchors(self) -> dict[Key, int]:
        """A look at a small part of the records; copies of a file tell nothing twice."""
        found: dict[int, Record] = {}
        for _, path in self.parts:
            found |= {record.seq: record for record in files.read(path).records(ANCHORED)}
        return anchors_of(self.origin, (found[seq] for seq in sorted(found)))


@dataclass(slots=True)
class Case:
    """What was found, and what is missing of it."""

    runs: list[Run]
    bad: list[Unreadable]
    torn: list[tuple[Path, int]]
    clocks: dict[str, Clock]
    records: int = 0

    def entries(self) -> Iterator[Entry]:
        offsets = {name: clock.offset for name, clock in self.clocks.items()}
        return merged([(run.origin, run.rows) for run in self.runs], offsets)

    def fleet(self) -> Fleet:
        fleet = Fleet()
        for entry in self.entries():
            fleet.feed(entry)
        return fleet

    def replay(self) -> Iterator[tuple[Entry, Happening]]:
        """The happenings as they begin."""
        fleet = Fleet()
        for entry in self.entries():
            happening = fleet.feed(entry)
            if happening is not None:
                yield entry, happening


def case_of(paths: Iterable[Path]) -> Case:
    runs: dict[Origin, Run] = {}
    bad, torn = list[Unreadable](), list[tuple[Path, int]]()
    last: dict[Origin, int] = {}
    count = 0
    for path in files.find(paths):
        try:
            diary: Diary = files.read(path)
        except Unreadable as problem:
            bad.append(problem)
            continue
        run = runs.setdefault(diary.origin, Run(diary.origin))
        run.parts.append((diary.part, path))
        count += diary.table.num_rows
        if diary.torn_at >= 0:
            torn.append((path, diary.torn_at))
        if diary.part >= last.get(diary.origin, -1):
            last[diary.origin] = diary.part
            run.torn = diary.torn_at >= 0
    found = sorted(runs.values(), key=lambda run: run.origin)
    seen: dict[str, dict[Key, int]] = {}
    for run in found:
        for key, at in run.anchors().items():
            seen.setdefault(run.origin.router, {}).setdefault(key, at)
        seen.setdefault(run.origin.router, {})
    return Case(found, bad, torn, clocks(seen), count)
