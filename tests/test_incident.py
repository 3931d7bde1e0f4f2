"""Records of routers and the analysis of incidents: merge, gaps, clocks, likely causes, and the report."""

from __future__ import annotations

import asyncio
import json
import random
import re
import shutil
import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from pathlib import Path

import pyarrow as pa
import pyarrow.parquet as pq
from click.testing import CliRunner, Result

from onyxpulley.incident import files
from onyxpulley.incident.causes import find_incidents
from onyxpulley.incident.cli import main
from onyxpulley.incident.collector import MAX_EVENTS, MAX_KEYS, RecordCollector
from onyxpulley.incident.fleet import Fleet
from onyxpulley.incident.merge import (
    US_PER_SECOND,
    Entry,
    Gap,
    estimate_clocks,
    find_anchors,
    records_and_gaps,
)
from onyxpulley.incident.record_set import RecordSet, load_record_set
from onyxpulley.incident.recorder import Recorder
from onyxpulley.incident.records import Kind, Record, RunId
from onyxpulley.incident.report import render_report
from onyxpulley.incident.settings import RecordSettings

from .player import ExchangePlayer

START = 1_790_000_000 * US_PER_SECOND
CLOCK_OFFSETS = {"n0": 0.0, "n1": 2.0, "n2": -1.5}  # seconds, by router
SCRIPT_NAME = "<script>alert('x')</script>"


def make_run(
    name: str, until: int = 60, killed_after: int | None = None, failing: str = "c1"
) -> tuple[RunId, list[Record]]:
    """The records of a router over a minute: the membership at its start, then purges; the server `failing`
    stops answering at 30 s and is gone at 45 s. `killed_after`: second after which the records end."""
    random_source, records = random.Random(name), list[Record]()
    run_id = RunId(name, START + round(CLOCK_OFFSETS[name] * US_PER_SECOND))

    def add(second: float, kind: Kind, **fields: object) -> None:
        at = START + round((second + CLOCK_OFFSETS[name]) * US_PER_SECOND)
        records.append(Record(len(records), at, kind, **fields))  # type: ignore[arg-type]

    add(0.0, Kind.PHASE, cause="starting", value=16.0)
    for uid in ("c0", "c1", "c2", "p0"):
        add(0.1, Kind.LIST, server=uid, cause="Ready", detail=f"{'parent' if uid == 'p0' else 'box'}@edge-1")
    add(0.2, Kind.PHASE, cause="serving")
    for second in range(1, until + 1):
        if killed_after is not None and second > killed_after:
            return run_id, records
        delay = random_source.uniform(0.0, 0.1)
        if second % 4 == 0:
            add(second - 0.5 + delay, Kind.PURGE, value=float(second), detail=f"object {second:016x}")
        if second == 31:
            add(
                30.8 + delay,
                Kind.AVOID,
                server=failing,
                cause="down",
                detail=f"cache {failing} down after 3 failures",
            )
        if second == 20:
            boot_ms = (START // US_PER_SECOND + 19) * 1000.0
            add(
                second - 0.3 + delay,
                Kind.LIST,
                server="c9",
                cause="Ready",
                value=boot_ms,
                detail="box@edge-1",
            )
        add(second, Kind.LOAD, server="c0", value=float(second % 7))
        if second == 45:
            add(44.5 + delay, Kind.LIST, server=failing, cause="Gone", detail="box@edge-1")
        in_incident = 30 <= second - 1 < 36
        add(second, Kind.ANSWER, cls="page-file", cause="served", count=6 if in_incident else 10)
        if in_incident:
            add(second, Kind.ANSWER, cls="page-file", cause="refused", count=4)
            add(second, Kind.ATTEMPT, server=failing, cause="timed out", count=4, value=800.0)
        add(second, Kind.ATTEMPT, server="c0", cause="served", count=6, value=40.0)
    add(until + 0.1, Kind.PHASE, cause="stopped")
    return run_id, records


def write(folder: Path, run_id: RunId, records: Sequence[Record], part: int = 0, batch_size: int = 7) -> Path:
    """Writes the records to a file as a recorder does, and returns its path."""
    path = folder / f"{run_id.router}-{run_id.epoch}-{part:05d}{files.SUFFIX}"
    with (
        path.open("wb") as file,
        pa.ipc.new_stream(file, files.file_schema(run_id, part, "edge-1")) as stream,
    ):
        for index in range(0, len(records), batch_size):
            stream.write_batch(files.record_batch(records[index : index + batch_size]))
    return path


def write_runs(folder: Path, names: Iterable[str] = CLOCK_OFFSETS) -> Path:
    """Writes a run of each router, and returns the folder."""
    for name in names:
        write(folder, *make_run(name))
    return folder


def timeline(record_set: RecordSet) -> list[tuple[float, str, str]]:
    """The timeline without purges: seconds since the start, subject, text."""
    return [
        (round((e.time - START) / US_PER_SECOND, 1), e.subject, e.text)
        for e in record_set.build_fleet().events
        if e.kind != "purge"
    ]


def test_clock_offsets_are_estimated_and_the_likely_cause_is_named(tmp_path: Path) -> None:
    record_set = load_record_set([write_runs(tmp_path)])
    middle = sorted(CLOCK_OFFSETS.values())[1]
    for name, offset in CLOCK_OFFSETS.items():
        clock = record_set.clocks[name]
        assert clock.is_estimated and abs(clock.offset / US_PER_SECOND - (offset - middle)) < 0.15
    fleet = record_set.build_fleet()
    (incident,) = find_incidents(fleet)
    assert (
        abs(incident.first_second - START // US_PER_SECOND - 30) <= 1
        and abs(incident.last_second - START // US_PER_SECOND - 36) <= 1
    )
    assert incident.not_served == 3 * 6 * 4 and dict(incident.not_served_by_class) == {"page-file": 72}
    first = incident.suspects[0]
    assert first.subjects == ["c1"] and first.kind == "avoid"
    assert (
        "100% of the 72 failed attempts were there" in first.evidence
        and "seen by 3 routers" in first.evidence
    )
    times = {(subject, text): time for time, subject, text in timeline(record_set)}
    assert abs(times["c1", "down"] - 30.8) < 1 and abs(times["c1", "gone"] - 44.5) < 1
    (slow_start,) = fleet.servers["c9"].slow_starts
    assert [round((t - START) / US_PER_SECOND) for t in (slow_start.since, slow_start.until or 0)] == [19, 35]
    assert max(fleet.servers["c0"].load.values()) == 6.0 and ("c9", "ready") in times
    assert len([e for e in fleet.events if e.subject == "c1"]) == 2, "three routers report each event"


def same_result(first: RecordSet, second: RecordSet) -> bool:
    """Whether two sets of records give the same timeline, counts and gaps."""
    a, b = first.build_fleet(), second.build_fleet()
    return (
        timeline(first) == timeline(second)
        and a.seconds == b.seconds
        and a.attempts == b.attempts
        and [r.gaps for r in a.routers.values()] == [r.gaps for r in b.routers.values()]
    )


def test_shuffled_and_duplicate_records_change_nothing(tmp_path: Path) -> None:
    ordered, shuffled = tmp_path / "a", tmp_path / "b"
    ordered.mkdir()
    shuffled.mkdir()
    expected = load_record_set([write_runs(ordered)])
    for name in CLOCK_OFFSETS:
        run_id, records = make_run(name)
        with_duplicates = [*records, *records[10:40]]
        random.Random(7).shuffle(with_duplicates)
        path = write(shuffled, run_id, with_duplicates)
        shutil.copy(path, shuffled / f"copy-of-{path.name}")
    assert same_result(expected, load_record_set([shuffled]))


def test_a_truncated_file_is_used_up_to_its_end_and_the_rest_is_a_gap(tmp_path: Path) -> None:
    run_id, records = make_run("n1")
    complete = write(tmp_path, run_id, records).read_bytes()
    path = tmp_path / f"cut{files.SUFFIX}"
    lengths = set[int]()
    for cut in (*range(0, len(complete), 61), len(complete)):
        path.write_bytes(complete[:cut])
        try:
            found = files.read_file(path)
        except files.UnreadableFile as problem:
            assert problem.offset == 0 and path.name in str(problem)
            continue
        kept = list(found.records())
        assert kept == records[: len(kept)], "what is read is what was written"
        lengths.add(len(kept))
        rows = list(records_and_gaps(run_id, [iter(kept)], found.truncated_at >= 0))
        assert [row for row in rows if isinstance(row, Record)] == kept
        if len(kept) < len(records):
            assert isinstance(rows[-1], Gap) and rows[-1].until is None
    assert len(lengths) > 20 and max(lengths) == len(records)


def test_missing_records_are_a_gap_with_their_number() -> None:
    run_id, records = make_run("n0")
    rows = list(records_and_gaps(run_id, [iter(records[:50]), iter(records[80:])], False))
    (gap,) = [row for row in rows if isinstance(row, Gap)]
    assert gap.missing == 30 and gap.since == records[49].at and gap.until == records[80].at
    (late,) = [row for row in records_and_gaps(run_id, [iter(records[20:])], False) if isinstance(row, Gap)]
    assert late.missing == 20 and late.since == run_id.epoch


def test_a_router_that_is_killed_and_restarted_has_a_gap_and_two_runs(tmp_path: Path) -> None:
    run_id, records = make_run("n0", killed_after=20)
    write(tmp_path, run_id, records)
    second_run = RunId("n0", run_id.epoch + 25 * US_PER_SECOND)
    second_records = [
        replace(r, seq=seq, at=r.at + 25 * US_PER_SECOND) for seq, r in enumerate(make_run("n0", until=10)[1])
    ]
    write(tmp_path, second_run, second_records)
    router = load_record_set([tmp_path]).build_fleet().routers["n0"]
    assert router.runs == 2
    (gap,) = router.gaps
    assert gap.state == "it ended without a shutdown" and gap.until is not None
    assert abs((gap.until - gap.since) / US_PER_SECOND - 5.0) < 1.0, "from the last record to the next start"


def test_clocks_with_too_few_shared_events_are_not_corrected() -> None:
    (first_id, first), (second_id, second) = make_run("n0", until=6), make_run("n1", until=6)
    anchors = {i.router: find_anchors(i, r) for i, r in ((first_id, first), (second_id, second))}
    assert all(not clock.is_estimated and clock.offset == 0 for clock in estimate_clocks(anchors).values())


# ---- The command
def run(*words: object) -> Result:
    """Runs the command with these arguments."""
    return CliRunner().invoke(main, [str(word) for word in words])


def test_an_unreadable_file_is_reported_with_its_offset_and_the_others_are_used(tmp_path: Path) -> None:
    write_runs(tmp_path)
    (tmp_path / f"noise{files.SUFFIX}").write_bytes(b"noise" * 100)
    newer = tmp_path / f"newer{files.SUFFIX}"
    metadata = {"format": "onyxpulley-incident", "version": 2, "router": "n9", "epoch": 1, "part": 0}
    schema = files.COLUMNS.with_metadata({"onyxpulley": json.dumps(metadata)})
    with newer.open("wb") as file, pa.ipc.new_stream(file, schema):
        pass
    found = run("inspect", tmp_path)
    assert found.exit_code == 1
    assert f"noise{files.SUFFIX}: at byte 0: not a file of records" in found.output
    assert f"newer{files.SUFFIX}: at byte 0: version 2" in found.output
    assert "incident 1: " in found.output and "c1 stopped answering" in found.output
    text = render_report(load_record_set([tmp_path]))
    assert "noise.arrows: at byte 0" in text and "not used" in text


def test_merge_replay_follow_and_report(tmp_path: Path) -> None:
    folder = write_runs(tmp_path)
    assert run("merge", folder, "-o", tmp_path / "all.parquet").exit_code == 0
    table = pq.read_table(tmp_path / "all.parquet")
    times = table["time"].to_pylist()
    assert table.num_rows == load_record_set([folder]).record_count and times == sorted(times)
    lines = run("replay", folder).output.splitlines()
    assert [line[:23] for line in lines] == sorted(line[:23] for line in lines)
    assert any("c1: down" in line for line in lines)
    part = run("replay", folder, "--since", "2026-09-21T14:13:50", "--until", "2026-09-21T14:13:52").output
    assert "c1: down" in part and "serving" not in part
    last = run("follow", folder, "--rounds", "1").output.splitlines()[-1]
    assert re.match(
        r"-- \d\d requests a second, 0 of 1\d0 not served; servers: 4 ready, 0 draining, 0 ejected", last
    )
    assert run("report", folder, "-o", tmp_path / "r.html").exit_code == 0
    text = (tmp_path / "r.html").read_text()
    assert "Likely first cause:" in text and "c1" in text and "http" not in text.replace("http-equiv", "")
    assert run("inspect", tmp_path / f"absent{files.SUFFIX}").exit_code == 2


def test_names_are_escaped_in_the_report(tmp_path: Path) -> None:
    write(tmp_path, *make_run("n0", failing=SCRIPT_NAME))
    text = render_report(load_record_set([tmp_path]))
    assert SCRIPT_NAME not in text and "&lt;script&gt;" in text


# ---- In the router
def test_a_collector_counts_everything_within_its_limits_and_records_what_it_dropped() -> None:
    collector = RecordCollector(lambda: START)
    for number in range(MAX_KEYS + 50):
        collector.attempted(f"s{number}", "served", 1000)
    for _ in range(MAX_EVENTS + 7):
        collector.add_event(Kind.NEWS, detail="x" * 1000)
    for took_us in (5_000, 7_000, 900_000):
        collector.answered("page-file", "served", took_us)
    records = collector.take_records()
    assert [r.seq for r in records] == list(range(len(records)))
    assert next(r.count for r in records if r.kind is Kind.DROPPED) == 57
    assert all(len(r.detail) <= 200 for r in records if r.kind is Kind.NEWS)
    (answers,) = [r for r in records if r.kind is Kind.ANSWER]
    fleet = Fleet()
    fleet.apply(Entry(START, RunId("n0", START), answers))
    histogram = fleet.latencies["page-file"]
    assert histogram.total_count == 3 and 890 <= histogram.get_value_at_percentile(100) <= 910
    assert answers.count == 3 and [r.kind for r in collector.take_records()] == [Kind.HERE]


def test_files_are_rotated_and_the_oldest_deleted(tmp_path: Path) -> None:
    recorder = Recorder("n/0 <x>", "edge-1", RecordSettings(tmp_path, 0.01, 3))
    for second in range(60):
        for number in range(40):
            recorder.collector.add_event(Kind.NEWS, detail=f"{second} {number} " + "y" * 100)
        while recorder.queue.full():
            time.sleep(0.001)
        recorder._enqueue()
    recorder.close()
    recorder.thread.join(5)
    found = sorted(tmp_path.iterdir())
    assert 1 < len(found) <= 4 and all(f.name.startswith("n_0__x_-") for f in found)
    record_set = load_record_set([tmp_path])
    (run,) = record_set.runs
    assert run.run_id.router == "n/0 <x>" and not record_set.truncated
    assert any(isinstance(row, Gap) and row.missing for row in run.records_and_gaps()), "deleted files"


def test_a_disk_that_falls_behind_costs_records_but_blocks_nothing(tmp_path: Path) -> None:
    recorder = Recorder("n0", "edge-1", RecordSettings(tmp_path))
    recorder.queue.put(None)  # ends its thread, so that nothing takes from the queue any more
    recorder.thread.join(5)
    for _ in range(10):
        recorder.collector.add_event(Kind.NEWS, detail="x")
        recorder._enqueue()
    assert recorder.collector.dropped > 0


class RecordedPlayer(ExchangePlayer):
    """Plays an exchange with a program that records. `step_times`: wall clock at start and end of a step."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, operator='[records]\nfolder = "records"\n')
        self.step_times: dict[str, tuple[float, float]] = {}

    async def step(self, line: str) -> None:
        """Runs a step and notes its times."""
        started_at = time.time()
        await super().step(line)
        self.step_times[line] = (started_at, time.time())


def test_the_records_of_the_program_show_a_failure_as_it_was_played(tmp_path: Path) -> None:
    """A server accepts requests but doesn't answer, then drains; a purge, and the shutdown."""
    player = RecordedPlayer(tmp_path)
    steps = ["servers c0 p0 o"]
    for number in range(1, 9):
        page = f"page-file txn={number:016x},limit=400,item=7f3a9c21e0b4d655,part=0,group=1,ram=40"
        steps += [f"c1 > ASK {number} {page}", "wait 0.45"]
    steps += ["b lists c0=Terminating", "b purges 7f3a9c21e0b4d651", "wait 1.2", "term", "exit 0"]
    asyncio.run(player.run([*steps, *(f"{name} forget" for name in ("c0", "p0", "o", "c1"))]))
    record_set = load_record_set([tmp_path / "records"])
    assert not record_set.unreadable and not record_set.truncated
    fleet = record_set.build_fleet()
    (router,) = fleet.routers.values()
    assert [p.state for p in router.phases] == ["starting", "serving", "lingering", "draining", "stopped"]
    assert not router.gaps and router.dropped == 0
    event_times = {(e.subject, e.text): e.time / US_PER_SECOND for e in fleet.events}
    first, last = player.step_times["wait 0.45"][0] - 4.0, player.step_times["wait 0.45"][1]
    for event, earliest, latest in (
        (("c0", "down"), first, last),
        (("c0", "draining"), *player.step_times["b lists c0=Terminating"]),
        (("n0", "lingering"), *player.step_times["term"]),
    ):
        assert earliest - 1.0 <= event_times[event] <= latest + 1.0, event
    assert fleet.servers["c0"].state == "draining" and fleet.servers["p0"].state == "ready"
    assert sum(second.requests() for second in fleet.seconds.values()) == 8
    (incident,) = find_incidents(fleet)
    assert incident.not_served >= 4 and incident.suspects[0].subjects[0] == "c0", incident.suspects
    assert any(e.kind == "purge" and e.subject == "object 7f3a9c21e0b4d651" for _, e in record_set.replay())
