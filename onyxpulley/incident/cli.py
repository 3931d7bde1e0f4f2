"""The command `python -m onyxpulley.incident`, which reads the records of routers.

Exits with 1 if a file could not be used.
"""

from __future__ import annotations

import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import click

from onyxpulley.incident import files
from onyxpulley.incident.causes import find_incidents
from onyxpulley.incident.fleet import Fleet
from onyxpulley.incident.merge import US_PER_SECOND
from onyxpulley.incident.record_set import RecordSet, load_record_set
from onyxpulley.incident.records import Record

PATHS = click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))


def format_time(time_us: int) -> str:
    """Date and time in UTC, to the millisecond."""
    return datetime.fromtimestamp(time_us / US_PER_SECOND, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def load_or_exit(paths: tuple[Path, ...]) -> RecordSet:
    """Reads the files and reports problems on standard error. Exits with 1 if there are no records at all."""
    record_set = load_record_set(paths)
    for error in record_set.unreadable:
        click.echo(f"not used: {error}", err=True)
    for path, offset in record_set.truncated:
        click.echo(f"truncated: {path.name}: at byte {offset}; the records before it are used", err=True)
    if not record_set.runs:
        click.echo("no records found", err=True)
        sys.exit(1)
    return record_set


def exit_with_status(record_set: RecordSet) -> None:
    """Exits with 1 if a file could not be used, else with 0."""
    sys.exit(1 if record_set.unreadable else 0)


@click.group()
def main() -> None:
    """Merge, inspect, replay and follow the records of routers, or make a report of them."""


@main.command()
@PATHS
def inspect(paths: tuple[Path, ...]) -> None:
    """Show runs, clock offsets, gaps, incidents and their likely causes."""
    record_set = load_or_exit(paths)
    click.echo(f"{record_set.record_count} records")
    for run in record_set.runs:
        clock = record_set.clocks[run.run_id.router]
        clock_text = (
            f"clock {clock.offset / US_PER_SECOND:+.3f} s by {clock.anchor_count} events"
            if clock.is_estimated
            else "clock not corrected"
        )
        click.echo(
            f"{run.run_id.router}: from {format_time(run.run_id.epoch)}, {len(run.parts)} files, {clock_text}"
        )
    fleet = record_set.build_fleet()
    for router in sorted(fleet.routers.values(), key=lambda r: r.name):
        for gap in router.gaps:
            length = (
                f"{(gap.until - gap.since) / US_PER_SECOND:.1f} s" if gap.until is not None else "to the end"
            )
            click.echo(f"gap: {router.name}: from {format_time(gap.since)}, {length}: {gap.state}")
    for number, incident in enumerate(find_incidents(fleet), 1):
        seconds = incident.last_second - incident.first_second + 1
        click.echo(f"incident {number}: {format_time(incident.first_second * US_PER_SECOND)}, {seconds} s, "
                   f"{incident.not_served} of {incident.requests} not served")  # fmt: skip
        for suspect in incident.suspects[:3]:
            subjects = ", ".join(suspect.subjects[:4]) + (" …" if len(suspect.subjects) > 4 else "")
            click.echo(f"  {suspect.score:.1f} {subjects} {suspect.text}: {'; '.join(suspect.evidence)}")
    exit_with_status(record_set)


@main.command()
@PATHS
@click.option("-o", "--output", required=True, type=click.Path(path_type=Path), help="Parquet file to write")
def merge(paths: tuple[Path, ...], output: Path) -> None:
    """Write all records, on one clock, to a Parquet file."""
    record_set = load_or_exit(paths)
    rows = (
        (entry.run_id.router, entry.run_id.epoch, entry.time, entry.content)
        for entry in record_set.entries()
        if isinstance(entry.content, Record)
    )
    click.echo(f"{files.write_parquet(output, rows)} records")
    exit_with_status(record_set)


@main.command()
@PATHS
@click.option("--since", type=click.DateTime(), help="UTC")
@click.option("--until", type=click.DateTime(), help="UTC")
@click.option("--speed", type=float, default=0.0, help="multiple of real time; 0: without pauses")
def replay(paths: tuple[Path, ...], since: datetime | None, until: datetime | None, speed: float) -> None:
    """Print the events in the order of time."""
    record_set = load_or_exit(paths)
    first = since.replace(tzinfo=UTC).timestamp() * US_PER_SECOND if since else -float("inf")
    last = until.replace(tzinfo=UTC).timestamp() * US_PER_SECOND if until else float("inf")
    previous: int | None = None
    for entry, event in record_set.replay():
        if not first <= entry.time <= last:
            continue
        if speed > 0 and previous is not None:
            time.sleep(min(60.0, (entry.time - previous) / US_PER_SECOND / speed))
        previous = entry.time
        click.echo(f"{format_time(entry.time)} {event.subject}: {event.text} ({entry.run_id.router})")
    exit_with_status(record_set)


@main.command()
@PATHS
@click.option("--rounds", type=int, default=0, help="number of reads, a second apart; 0: until interrupted")
def follow(paths: tuple[Path, ...], rounds: int) -> None:
    """Watch growing files: print new events, and a summary of the service each second."""
    printed = set[tuple[int, str, str]]()
    number = 0
    while not rounds or number < rounds:
        number += 1
        record_set = load_record_set(paths)
        fleet = record_set.build_fleet()
        for event in fleet.events:
            key = (event.time, event.subject, event.text)
            is_open_end = event.kind == "gap" and event.text == "it ended without a shutdown"
            if key not in printed and not is_open_end:  # a file that still grows has no shutdown yet
                printed.add(key)
                click.echo(f"{format_time(event.time)} {event.subject}: {event.text}")
        click.echo(service_summary(fleet))
        if not rounds or number < rounds:
            time.sleep(1.0)


def service_summary(fleet: Fleet) -> str:
    """Requests of the last five seconds and the present state of the servers, in one line."""
    last = max(fleet.seconds, default=0)
    counts = [fleet.seconds[s] for s in range(last - 4, last + 1) if s in fleet.seconds]
    requests, not_served = sum(c.requests() for c in counts), sum(c.not_served() for c in counts)
    states = [server.state for server in fleet.servers.values()]
    ejected = sum(bool(server.ejected_by) for server in fleet.servers.values())
    servers = f"{states.count('ready')} ready, {states.count('draining')} draining, {ejected} ejected"
    return (
        f"-- {requests / 5:.0f} requests a second, {not_served} of {requests} not served; servers: {servers}"
    )


@main.command()
@PATHS
@click.option("-o", "--output", required=True, type=click.Path(path_type=Path), help="HTML file to write")
def report(paths: tuple[Path, ...], output: Path) -> None:
    """Write a self-contained HTML report."""
    from onyxpulley.incident.report import render_report

    record_set = load_or_exit(paths)
    output.write_text(render_report(record_set), encoding="utf-8")
    click.echo(f"{output}: {len(record_set.runs)} runs, {record_set.record_count} records")
    exit_with_status(record_set)
