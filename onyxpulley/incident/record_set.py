"""Reads the files of many routers. Whatever can be read is used; the rest is listed."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import groupby
from pathlib import Path

from onyxpulley.incident import files
from onyxpulley.incident.files import RecordFile, UnreadableFile
from onyxpulley.incident.fleet import Fleet, TimelineEvent
from onyxpulley.incident.merge import (
    ANCHOR_KINDS,
    AnchorKey,
    Clock,
    Entry,
    Gap,
    estimate_clocks,
    find_anchors,
    merge_runs,
    records_and_gaps,
)
from onyxpulley.incident.records import Record, RunId


@dataclass(slots=True)
class Run:
    """The files of one run of a router, with their part numbers.

    Each pass reads them anew, one part after the other, so that memory holds the columns of one file per run.
    """

    run_id: RunId
    parts: list[tuple[int, Path]] = field(default_factory=list)
    truncated: bool = False  # the last part is not complete

    def records_and_gaps(self) -> Iterator[Record | Gap]:
        """The records in the order of their numbers, without duplicates, and the gaps between them."""
        return records_and_gaps(self.run_id, [self._records()], self.truncated)

    def _records(self) -> Iterator[Record]:
        for _, same_part in groupby(sorted(self.parts), key=lambda part: part[0]):
            copies = [files.read_file(path).records() for _, path in same_part]
            yield from heapq.merge(*copies, key=lambda record: record.seq)

    def anchors(self) -> dict[AnchorKey, int]:
        """The events by which its clock is compared. Reads only their kinds of records; copies count once."""
        by_seq: dict[int, Record] = {}
        for _, path in self.parts:
            by_seq |= {record.seq: record for record in files.read_file(path).records(ANCHOR_KINDS)}
        return find_anchors(self.run_id, (by_seq[seq] for seq in sorted(by_seq)))


@dataclass(slots=True)
class RecordSet:
    """The runs that were found, and the files of which all or a part could not be read."""

    runs: list[Run]
    unreadable: list[UnreadableFile]
    truncated: list[tuple[Path, int]]  # with the byte offset of the first batch that cannot be read
    clocks: dict[str, Clock]  # by router
    record_count: int = 0  # copies included

    def entries(self) -> Iterator[Entry]:
        """The records and gaps of all runs on the common clock, in the order of time."""
        offsets = {name: clock.offset for name, clock in self.clocks.items()}
        return merge_runs([(run.run_id, run.records_and_gaps) for run in self.runs], offsets)

    def build_fleet(self) -> Fleet:
        """The state of the fleet after all entries."""
        fleet = Fleet()
        for entry in self.entries():
            fleet.apply(entry)
        return fleet

    def replay(self) -> Iterator[tuple[Entry, TimelineEvent]]:
        """The events of the timeline, each with the entry that reported it first."""
        fleet = Fleet()
        for entry in self.entries():
            event = fleet.apply(entry)
            if event is not None:
                yield entry, event


def load_record_set(paths: Iterable[Path]) -> RecordSet:
    """Reads files of records and folders of them."""
    runs: dict[RunId, Run] = {}
    unreadable, truncated = list[UnreadableFile](), list[tuple[Path, int]]()
    last_part: dict[RunId, int] = {}
    record_count = 0
    for path in files.find_files(paths):
        try:
            file: RecordFile = files.read_file(path)
        except UnreadableFile as error:
            unreadable.append(error)
            continue
        run = runs.setdefault(file.run_id, Run(file.run_id))
        run.parts.append((file.part, path))
        record_count += file.table.num_rows
        if file.truncated_at >= 0:
            truncated.append((path, file.truncated_at))
        if file.part >= last_part.get(file.run_id, -1):
            last_part[file.run_id] = file.part
            run.truncated = file.truncated_at >= 0
    sorted_runs = sorted(runs.values(), key=lambda run: run.run_id)
    anchors: dict[str, dict[AnchorKey, int]] = {}
    for run in sorted_runs:
        for key, at in run.anchors().items():
            anchors.setdefault(run.run_id.router, {}).setdefault(key, at)
        anchors.setdefault(run.run_id.router, {})
    return RecordSet(sorted_runs, unreadable, truncated, estimate_clocks(anchors), record_count)
