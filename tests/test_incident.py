"""Seeing an incident: what is recorded, one order of time, gaps, likely causes, and the report."""

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
from onyxpulley.incident.causes import incidents
from onyxpulley.incident.cli import main
from onyxpulley.incident.fleet import Fleet
from onyxpulley.incident.keep import Keep
from onyxpulley.incident.load import Case, case_of
from onyxpulley.incident.merge import SECOND, Entry, Gap, anchors_of, clocks, whole
from onyxpulley.incident.recorder import Recorder
from onyxpulley.incident.records import Kind, Origin, Record
from onyxpulley.incident.report import render
from onyxpulley.incident.tally import EVENTS, KEYS, Tally

from .player import ExchangePlayer

START = 1_790_000_000 * SECOND
OFF = {"n0": 0.0, "n1": 2.0, "n2": -1.5}  # seconds by which the clocks are off
NASTY = "<script>alert('x')</script>"


def diary(
    name: str, until: int = 60, dies: int | None = None, silent: str = "c1"
) -> tuple[Origin, list[Record]]:
    """A minute of a router: the list at its start, purges, then a box falls silent at 30 s and is taken out
    at 45 s. `dies`: killed at that second, without a word."""
    luck, rows = random.Random(name), list[Record]()
    origin = Origin(name, START + round(OFF[name] * SECOND))

    def add(at: float, kind: Kind, **fields: object) -> None:
        when = START + round((at + OFF[name]) * SECOND)
        rows.append(Record(len(rows), when, kind, **fields))  # type: ignore[arg-type]

    add(0.0, Kind.PHASE, cause="starting", value=16.0)
    for uid in ("c0", "c1", "c2", "p0"):
        add(0.1, Kind.LIST, server=uid, cause="Ready", detail=f"{'parent' if uid == 'p0' else 'box'}@edge-1")
    add(0.2, Kind.PHASE, cause="serving")
    for second in range(1, until + 1):
        if dies is not None and second > dies:
            return origin, rows
        late = luck.uniform(0.0, 0.1)
        if second % 4 == 0:
            add(second - 0.5 + late, Kind.PURGE, value=float(second), detail=f"object {second:016x}")
        if second == 31:
            add(
                30.8 + late,
                Kind.AVOID,
                server=silent,
                cause="down",
                detail=f"cache {silent} down after 3 failures",
            )
        if second == 20:
            boot = (START // SECOND + 19) * 1000.0
            add(second - 0.3 + late, Kind.LIST, server="c9", cause="Ready", value=boot, detail="box@edge-1")
        add(second, Kind.LOAD, server="c0", value=float(second % 7))
        if second == 45:
            add(44.5 + late, Kind.LIST, server=silent, cause="Gone", detail="box@edge-1")
        bad = 30 <= second - 1 < 36
        add(second, Kind.ANSWER, cls="page-file", cause="served", count=6 if bad else 10)
        if bad:
            add(second, Kind.ANSWER, cls="page-file", cause="refused", count=4)
            add(second, Kind.ATTEMPT, server=silent, cause="timed out", count=4, value=800.0)
        add(second, Kind.ATTEMPT, server="c0", cause="served", count=6, value=40.0)
    add(until + 0.1, Kind.PHASE, cause="stopped")
    return origin, rows


def write(folder: Path, origin: Origin, rows: Sequence[Record], part: int = 0, chunk: int = 7) -> Path:
    path = folder / f"{origin.router}-{origin.epoch}-{part:05d}{files.SUFFIX}"
    with path.open("wb") as file, pa.ipc.new_stream(file, files.schema_of(origin, part, "edge-1")) as stream:
        for at in range(0, len(rows), chunk):
            stream.write_batch(files.batch_of(rows[at : at + chunk]))
    return path


def folder_of(tmp_path: Path, names: Iterable[str] = OFF) -> Path:
    for name in names:
        write(tmp_path, *diary(name))
    return tmp_path


def told(case: Case) -> list[tuple[float, str, str]]:
    """The timeline: seconds from the true start, who, what."""
    return [
        (round((h.time - START) / SECOND, 1), h.who, h.what)
        for h in case.fleet().happenings
        if h.kind != "purge"
    ]


def test_clocks_are_judged_by_what_all_were_told_and_the_likely_cause_is_named(tmp_path: Path) -> None:
    case = case_of([folder_of(tmp_path)])
    middle = sorted(OFF.values())[1]
    for name, off in OFF.items():
        clock = case.clocks[name]
        assert clock.judged and abs(clock.offset / SECOND - (off - middle)) < 0.15
    fleet = case.fleet()
    (incident,) = incidents(fleet)
    assert abs(incident.since - START // SECOND - 30) <= 1 and abs(incident.until - START // SECOND - 36) <= 1
    assert incident.lost == 3 * 6 * 4 and dict(incident.classes) == {"page-file": 72}
    first = incident.suspects[0]
    assert first.who == ["c1"] and first.kind == "avoid"
    assert (
        "100% of the 72 failed attempts were there" in first.evidence
        and "seen by 3 routers" in first.evidence
    )
    line = {(who, what): at for at, who, what in told(case)}
    assert abs(line["c1", "down"] - 30.8) < 1 and abs(line["c1", "gone"] - 44.5) < 1
    (warming,) = fleet.boxes["c9"].warming
    assert [round((t - START) / SECOND) for t in (warming.since, warming.until or 0)] == [19, 35]
    assert max(fleet.boxes["c0"].load.values()) == 6.0 and ("c9", "ready") in line
    assert len([h for h in fleet.happenings if h.who == "c1"]) == 2, "three tell of it, and it happened once"


def same(one: Case, other: Case) -> bool:
    a, b = one.fleet(), other.fleet()
    return (
        told(one) == told(other)
        and a.seconds == b.seconds
        and a.attempts == b.attempts
        and [r.gaps for r in a.routers.values()] == [r.gaps for r in b.routers.values()]
    )


def test_records_shuffled_or_twice_change_nothing(tmp_path: Path) -> None:
    plain, mixed = tmp_path / "a", tmp_path / "b"
    plain.mkdir()
    mixed.mkdir()
    before = case_of([folder_of(plain)])
    for name in OFF:
        origin, rows = diary(name)
        many = [*rows, *rows[10:40]]
        random.Random(7).shuffle(many)
        path = write(mixed, origin, many)
        shutil.copy(path, mixed / f"copy-of-{path.name}")
    assert same(before, case_of([mixed]))


def test_a_file_cut_anywhere_is_used_up_to_there_and_the_rest_is_a_gap(tmp_path: Path) -> None:
    origin, rows = diary("n1")
    whole_file = write(tmp_path, origin, rows).read_bytes()
    path = tmp_path / f"cut{files.SUFFIX}"
    lengths = set[int]()
    for cut in (*range(0, len(whole_file), 61), len(whole_file)):
        path.write_bytes(whole_file[:cut])
        try:
            found = files.read(path)
        except files.Unreadable as problem:
            assert problem.offset == 0 and path.name in str(problem)
            continue
        kept = list(found.records())
        assert kept == rows[: len(kept)], "what is read is what was written"
        lengths.add(len(kept))
        parts = list(whole(origin, [iter(kept)], found.torn_at >= 0))
        assert [p for p in parts if isinstance(p, Record)] == kept
        if len(kept) < len(rows):
            assert isinstance(parts[-1], Gap) and parts[-1].until is None
    assert len(lengths) > 20 and max(lengths) == len(rows)


def test_what_is_missing_in_between_is_a_gap_with_its_number() -> None:
    origin, rows = diary("n0")
    parts = list(whole(origin, [iter(rows[:50]), iter(rows[80:])], False))
    (gap,) = [p for p in parts if isinstance(p, Gap)]
    assert gap.missing == 30 and gap.since == rows[49].at and gap.until == rows[80].at
    (late,) = [p for p in whole(origin, [iter(rows[20:])], False) if isinstance(p, Gap)]
    assert late.missing == 20 and late.since == origin.epoch


def test_a_router_that_is_killed_and_starts_again_is_a_gap_and_another_run(tmp_path: Path) -> None:
    origin, rows = diary("n0", dies=20)
    write(tmp_path, origin, rows)
    again = Origin("n0", origin.epoch + 25 * SECOND)
    later = [replace(r, seq=no, at=r.at + 25 * SECOND) for no, r in enumerate(diary("n0", until=10)[1])]
    write(tmp_path, again, later)
    router = case_of([tmp_path]).fleet().routers["n0"]
    assert router.runs == 2
    (gap,) = router.gaps
    assert gap.state == "it ends without a word" and gap.until is not None
    assert abs((gap.until - gap.since) / SECOND - 5.0) < 1.0, "from the last word to the next start"


def test_clocks_that_share_too_little_are_taken_as_they_are() -> None:
    (origin, rows), (other, others) = diary("n0", until=6), diary("n1", until=6)
    seen = {o.router: anchors_of(o, r) for o, r in ((origin, rows), (other, others))}
    assert all(not clock.judged and clock.offset == 0 for clock in clocks(seen).values())


# ---- The tool
def run(*words: object) -> Result:
    return CliRunner().invoke(main, [str(word) for word in words])


def test_a_file_of_no_use_is_named_with_its_offset_and_the_others_are_used(tmp_path: Path) -> None:
    folder_of(tmp_path)
    (tmp_path / f"noise{files.SUFFIX}").write_bytes(b"noise" * 100)
    newer = tmp_path / f"newer{files.SUFFIX}"
    told = {"format": "onyxpulley-incident", "version": 2, "router": "n9", "epoch": 1, "part": 0}
    schema = files.COLUMNS.with_metadata({"onyxpulley": json.dumps(told)})
    with newer.open("wb") as file, pa.ipc.new_stream(file, schema):
        pass
    found = run("inspect", tmp_path)
    assert found.exit_code == 1
    assert f"noise{files.SUFFIX}: at byte 0: no records" in found.output
    assert f"newer{files.SUFFIX}: at byte 0: version 2" in found.output
    assert "incident 1: " in found.output and "c1 stopped answering" in found.output
    text = render(case_of([tmp_path]))
    assert "noise.arrows: at byte 0" in text and "not used" in text


def test_merge_replay_follow_and_report(tmp_path: Path) -> None:
    folder = folder_of(tmp_path)
    assert run("merge", folder, "-o", tmp_path / "all.parquet").exit_code == 0
    table = pq.read_table(tmp_path / "all.parquet")
    order = table["time"].to_pylist()
    assert table.num_rows == case_of([folder]).records and order == sorted(order)
    lines = run("replay", folder).output.splitlines()
    assert [line[:23] for line in lines] == sorted(line[:23] for line in lines)
    assert any("c1: down" in line for line in lines)
    some = run("replay", folder, "--since", "2026-09-21T14:13:50", "--until", "2026-09-21T14:13:52").output
    assert "c1: down" in some and "serving" not in some
    last = run("follow", folder, "--rounds", "1").output.splitlines()[-1]
    assert re.match(
        r"-- \d\d requests a second, 0 of 1\d0 not served; boxes: 4 ready, 0 draining, 0 avoided", last
    )
    assert run("report", folder, "-o", tmp_path / "r.html").exit_code == 0
    text = (tmp_path / "r.html").read_text()
    assert "Likely first cause:" in text and "c1" in text and "http" not in text.replace("http-equiv", "")
    assert run("inspect", tmp_path / f"absent{files.SUFFIX}").exit_code == 2


def test_names_are_escaped_in_the_report(tmp_path: Path) -> None:
    write(tmp_path, *diary("n0", silent=NASTY))
    text = render(case_of([tmp_path]))
    assert NASTY not in text and "&lt;script&gt;" in text


# ---- In the router
def test_a_tally_counts_everything_in_bounded_room_and_says_what_it_dropped() -> None:
    tally = Tally(lambda: START)
    for no in range(KEYS + 50):
        tally.attempted(f"s{no}", "served", 1000)
    for _ in range(EVENTS + 7):
        tally.event(Kind.NEWS, detail="x" * 1000)
    for took in (5_000, 7_000, 900_000):
        tally.answered("page-file", "served", took)
    rows = tally.take()
    assert [r.seq for r in rows] == list(range(len(rows)))
    assert next(r.count for r in rows if r.kind is Kind.DROPPED) == 57
    assert all(len(r.detail) <= 200 for r in rows if r.kind is Kind.NEWS)
    (answers,) = [r for r in rows if r.kind is Kind.ANSWER]
    fleet = Fleet()
    fleet.feed(Entry(START, Origin("n0", START), answers))
    times = fleet.times["page-file"]
    assert times.total_count == 3 and 890 <= times.get_value_at_percentile(100) <= 910
    assert answers.count == 3 and [r.kind for r in tally.take()] == [Kind.HERE]


def test_files_rotate_and_the_oldest_go(tmp_path: Path) -> None:
    recorder = Recorder("n/0 <x>", "edge-1", Keep(tmp_path, 0.01, 3))
    for second in range(60):
        for no in range(40):
            recorder.tally.event(Kind.NEWS, detail=f"{second} {no} " + "y" * 100)
        while recorder.queue.full():
            time.sleep(0.001)
        recorder._hand_over()
    recorder.close()
    recorder.thread.join(5)
    found = sorted(tmp_path.iterdir())
    assert 1 < len(found) <= 4 and all(f.name.startswith("n_0__x_-") for f in found)
    case = case_of([tmp_path])
    (run,) = case.runs
    assert run.origin.router == "n/0 <x>" and not case.torn
    assert any(isinstance(row, Gap) and row.missing for row in run.rows()), "what was pruned shows"


def test_a_disk_that_is_behind_costs_records_and_no_request(tmp_path: Path) -> None:
    recorder = Recorder("n0", "edge-1", Keep(tmp_path))
    recorder.queue.put(None)  # its thread ends, and nobody takes anything any more
    recorder.thread.join(5)
    for _ in range(10):
        recorder.tally.event(Kind.NEWS, detail="x")
        recorder._hand_over()
    assert recorder.tally.dropped > 0


class Recorded(ExchangePlayer):
    """A play whose program records. `marks`: when each step began and ended, by wall clock."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, operator='[records]\nfolder = "records"\n')
        self.marks: dict[str, tuple[float, float]] = {}

    async def step(self, line: str) -> None:
        began = time.time()
        await super().step(line)
        self.marks[line] = (began, time.time())


def test_a_failure_played_through_the_program_is_told_as_it_was(tmp_path: Path) -> None:
    """A box that accepts and says nothing, then drains; a purge, and the end."""
    rig = Recorded(tmp_path)
    steps = ["servers c0 p0 o"]
    for no in range(1, 9):
        page = f"page-file txn={no:016x},limit=400,item=7f3a9c21e0b4d655,part=0,group=1,ram=40"
        steps += [f"c1 > ASK {no} {page}", "wait 0.45"]
    steps += ["b lists c0=Terminating", "b purges 7f3a9c21e0b4d651", "wait 1.2", "term", "exit 0"]
    asyncio.run(rig.run([*steps, *(f"{name} forget" for name in ("c0", "p0", "o", "c1"))]))
    case = case_of([tmp_path / "records"])
    assert not case.bad and not case.torn
    fleet = case.fleet()
    (router,) = fleet.routers.values()
    assert [p.state for p in router.phases] == ["starting", "serving", "lingering", "draining", "stopped"]
    assert not router.gaps and router.dropped == 0
    when = {(h.who, h.what): h.time / SECOND for h in fleet.happenings}
    first, last = rig.marks["wait 0.45"][0] - 4.0, rig.marks["wait 0.45"][1]
    for happening, began, ended in (
        (("c0", "down"), first, last),
        (("c0", "draining"), *rig.marks["b lists c0=Terminating"]),
        (("n0", "lingering"), *rig.marks["term"]),
    ):
        assert began - 1.0 <= when[happening] <= ended + 1.0, happening
    assert fleet.boxes["c0"].state == "draining" and fleet.boxes["p0"].state == "ready"
    assert sum(second.asked() for second in fleet.seconds.values()) == 8
    (incident,) = incidents(fleet)
    assert incident.lost >= 4 and incident.suspects[0].who[0] == "c0", incident.suspects
    assert any(h.kind == "purge" and h.who == "object 7f3a9c21e0b4d651" for _, h in case.replay())
