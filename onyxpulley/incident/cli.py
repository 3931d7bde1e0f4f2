"""python -m onyxpulley.incident: looks at what routers recorded. Exits with 1 where a file was of no use."""

from __future__ import annotations

import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import click

from onyxpulley.incident import files
from onyxpulley.incident.causes import incidents
from onyxpulley.incident.fleet import Fleet
from onyxpulley.incident.load import Case, case_of
from onyxpulley.incident.merge import SECOND
from onyxpulley.incident.records import Record

PATHS = click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))


def stamp(us: int) -> str:
    return datetime.fromtimestamp(us / SECOND, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def opened(paths: tuple[Path, ...]) -> Case:
    case = case_of(paths)
    for problem in case.bad:
        click.echo(f"not used: {problem}", err=True)
    for path, at in case.torn:
        click.echo(f"torn: {path.name}: at byte {at}; what stands before it is used", err=True)
    if not case.runs:
        click.echo("no records", err=True)
        sys.exit(1)
    return case


def done(case: Case) -> None:
    sys.exit(1 if case.bad else 0)


@click.group()
def main() -> None:
    """Records of routers: merge, inspect, replay, follow, and a report."""


@main.command()
@PATHS
def inspect(paths: tuple[Path, ...]) -> None:
    """What the files hold: runs, clocks, gaps, incidents and their likely causes."""
    case = opened(paths)
    click.echo(f"{case.records} records")
    for run in case.runs:
        clock = case.clocks[run.origin.router]
        judged = (
            f"clock {clock.offset / SECOND:+.3f} s by {clock.anchors} events"
            if clock.judged
            else "clock as it is"
        )
        click.echo(f"{run.origin.router}: from {stamp(run.origin.epoch)}, {len(run.parts)} files, {judged}")
    fleet = case.fleet()
    for router in sorted(fleet.routers.values(), key=lambda r: r.name):
        for gap in router.gaps:
            length = f"{(gap.until - gap.since) / SECOND:.1f} s" if gap.until is not None else "to the end"
            click.echo(f"gap: {router.name}: from {stamp(gap.since)}, {length}: {gap.state}")
    for no, incident in enumerate(incidents(fleet), 1):
        seconds = incident.until - incident.since + 1
        click.echo(f"incident {no}: {stamp(incident.since * SECOND)}, {seconds} s, "
                   f"{incident.lost} of {incident.asked} not served")  # fmt: skip
        for suspect in incident.suspects[:3]:
            who = ", ".join(suspect.who[:4]) + (" …" if len(suspect.who) > 4 else "")
            click.echo(f"  {suspect.score:.1f} {who} {suspect.text}: {'; '.join(suspect.evidence)}")
    done(case)


@main.command()
@PATHS
@click.option("-o", "--output", required=True, type=click.Path(path_type=Path), help="a Parquet file")
def merge(paths: tuple[Path, ...], output: Path) -> None:
    """All records on one clock, as one Parquet file."""
    case = opened(paths)
    rows = (
        (entry.origin.router, entry.origin.epoch, entry.time, entry.what)
        for entry in case.entries()
        if isinstance(entry.what, Record)
    )
    click.echo(f"{files.write_parquet(output, rows)} records")
    done(case)


@main.command()
@PATHS
@click.option("--since", type=click.DateTime(), help="UTC")
@click.option("--until", type=click.DateTime(), help="UTC")
@click.option("--speed", type=float, default=0.0, help="times as fast as it was; 0: at once")
def replay(paths: tuple[Path, ...], since: datetime | None, until: datetime | None, speed: float) -> None:
    """What happened, in time order."""
    case = opened(paths)
    first = since.replace(tzinfo=UTC).timestamp() * SECOND if since else -float("inf")
    last = until.replace(tzinfo=UTC).timestamp() * SECOND if until else float("inf")
    before: int | None = None
    for entry, happening in case.replay():
        if not first <= entry.time <= last:
            continue
        if speed > 0 and before is not None:
            time.sleep(min(60.0, (entry.time - before) / SECOND / speed))
        before = entry.time
        click.echo(f"{stamp(entry.time)} {happening.who}: {happening.what} ({entry.origin.router})")
    done(case)


@main.command()
@PATHS
@click.option("--rounds", type=int, default=0, help="looks, a second apart; 0: until interrupted")
def follow(paths: tuple[Path, ...], rounds: int) -> None:
    """The fleet as files grow: a line when something happens, and one each second for the service."""
    said = set[tuple[int, str, str]]()
    no = 0
    while not rounds or no < rounds:
        no += 1
        case = case_of(paths)
        fleet = case.fleet()
        for happening in fleet.happenings:
            mark = (happening.time, happening.who, happening.what)
            ends = happening.kind == "gap" and happening.what == "it ends without a word"
            if mark not in said and not ends:  # the last second of a file that grows is no end
                said.add(mark)
                click.echo(f"{stamp(happening.time)} {happening.who}: {happening.what}")
        click.echo(service(fleet))
        if not rounds or no < rounds:
            time.sleep(1.0)


def service(fleet: Fleet) -> str:
    last = max(fleet.seconds, default=0)
    rows = [fleet.seconds[s] for s in range(last - 4, last + 1) if s in fleet.seconds]
    asked, lost = sum(r.asked() for r in rows), sum(r.lost() for r in rows)
    states = [box.state for box in fleet.boxes.values()]
    avoided = sum(bool(box.avoiders) for box in fleet.boxes.values())
    boxes = f"{states.count('ready')} ready, {states.count('draining')} draining, {avoided} avoided"
    return f"-- {asked / 5:.0f} requests a second, {lost} of {asked} not served; boxes: {boxes}"


@main.command()
@PATHS
@click.option("-o", "--output", required=True, type=click.Path(path_type=Path), help="an HTML file")
def report(paths: tuple[Path, ...], output: Path) -> None:
    """A self-contained HTML report."""
    from onyxpulley.incident.report import render

    case = opened(paths)
    output.write_text(render(case), encoding="utf-8")
    click.echo(f"{output}: {len(case.runs)} runs, {case.records} records")
    done(case)
