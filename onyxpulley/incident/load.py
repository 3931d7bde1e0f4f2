"""From files to one fleet: what can be read is used, and what can't is named."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from onyxpulley.incident import files
from onyxpulley.incident.files import Diary, Unreadable
from onyxpulley.incident.fleet import Fleet, Happening
from onyxpulley.incident.merge import Clock, Entry, Gap, Key, anchors_of, clocks, merged, whole
from onyxpulley.incident.records import Origin, Record


@dataclass(slots=True)
class Run:
    """All files of one run of a router. They are opened anew at each pass: columns in memory, no records."""

    origin: Origin
    parts: list[Path] = field(default_factory=list)
    torn: bool = False

    def rows(self) -> Iterator[Record | Gap]:
        return whole(self.origin, [files.read(path).records() for path in self.parts], self.torn)


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
        run.parts.append(path)
        count += diary.table.num_rows
        if diary.torn_at >= 0:
            torn.append((path, diary.torn_at))
        if diary.part >= last.get(diary.origin, -1):
            last[diary.origin] = diary.part
            run.torn = diary.torn_at >= 0
    found = sorted(runs.values(), key=lambda run: run.origin)
    seen: dict[str, dict[Key, int]] = {}
    for run in found:
        rows = (row for row in run.rows() if isinstance(row, Record))
        for key, at in anchors_of(run.origin, rows).items():
            seen.setdefault(run.origin.router, {}).setdefault(key, at)
        seen.setdefault(run.origin.router, {})
    return Case(found, bad, torn, clocks(seen), count)
