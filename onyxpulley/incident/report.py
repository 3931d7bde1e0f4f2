"""The report: one self-contained HTML file. The template escapes all names."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from jinja2 import Environment, FileSystemLoader, select_autoescape

from onyxpulley.incident.causes import Incident, find_incidents
from onyxpulley.incident.fleet import BUCKET_S, Fleet, Interval, Server
from onyxpulley.incident.merge import US_PER_SECOND
from onyxpulley.incident.record_set import RecordSet

# Pixels.
WIDTH = 960
CHART_HEIGHT = 130
LANE_HEIGHT = 14
MAX_CHART_COLUMNS = 480  # a column holds several seconds if there are more
MAX_LOAD_BARS = 160  # in the lane of a server
MAX_TIMELINE_ROWS = 400
MAX_SERVER_LANES = 120  # servers with events come first
STATE_COLOURS = {"ready": "#7fb38a", "draining": "#d9a441", "gone": "#c9c9c9"}


@dataclass(frozen=True, slots=True)
class Bar:
    """A rectangle of a chart, in pixels, with a tooltip."""

    x: float
    width: float
    y: float
    height: float
    colour: str
    title: str


@dataclass(frozen=True, slots=True)
class Lane:
    """The row of one server or router."""

    name: str
    note: str
    bars: list[Bar]


def format_time(time_us: int, first_us: int) -> str:
    """The time of day in UTC, and the seconds since the first entry."""
    return (
        datetime.fromtimestamp(time_us / US_PER_SECOND, UTC).strftime("%H:%M:%S.%f")[:-4]
        + f" (+{(time_us - first_us) / US_PER_SECOND:.1f} s)"
    )


class TimeScale:
    """Maps times in Unix microseconds to horizontal positions in pixels."""

    def __init__(self, first: int, last: int) -> None:
        self.first, self.duration = first, max(US_PER_SECOND, last - first)

    def x(self, time_us: float) -> float:
        """The position of a time, clipped to the chart."""
        return round(WIDTH * min(1.0, max(0.0, (time_us - self.first) / self.duration)), 2)

    def bar(
        self, interval: Interval, colour: str, title: str, y: float = 0, height: float = LANE_HEIGHT - 4
    ) -> Bar:
        """The bar of an interval, wide enough to be seen. One without an end reaches to the edge."""
        until = interval.until if interval.until is not None else self.first + self.duration
        x = self.x(interval.since)
        return Bar(x, max(1.5, self.x(until) - x), y, height, colour, title)


def request_bars(fleet: Fleet, scale: TimeScale, cls: str) -> list[Bar]:
    """Requests of a class over time: those served below, the others stacked on them in red."""
    step = max(1, round(scale.duration / US_PER_SECOND / MAX_CHART_COLUMNS))
    columns: dict[int, list[int]] = {}
    for second, counts in fleet.seconds.items():
        column = columns.setdefault(second // step, [0, 0])
        for (name, verdict), count in counts.answers.items():
            if name == cls:
                column[verdict != "served"] += count
    highest = max((sum(c) for c in columns.values()), default=0) or 1
    bars = []
    for index, (served, not_served) in sorted(columns.items()):
        x = scale.x(index * step * US_PER_SECOND)
        width = max(1.0, scale.x((index + 1) * step * US_PER_SECOND) - x)
        for count, below, colour, word in (
            (served, 0, "#7fb38a", "served"),
            (not_served, served, "#c0392b", "not served"),
        ):
            if count:
                top = CHART_HEIGHT * (1 - (below + count) / highest)
                bars.append(Bar(x, width, top, CHART_HEIGHT * count / highest, colour, f"{count} {word}"))
    return bars


def gap_bars(fleet: Fleet, scale: TimeScale) -> list[Bar]:
    """Where records of at least one router are missing, so that the charts are incomplete."""
    gaps = [(r.name, gap) for r in fleet.routers.values() for gap in r.gaps]
    return [scale.bar(gap, "url(#gap)", f"{name}: {gap.state}", CHART_HEIGHT - 6, 6) for name, gap in gaps]


def latency_text(fleet: Fleet, cls: str) -> str:
    """Median and 99th percentile of the served requests of a class, of all routers together."""
    histogram = fleet.latencies.get(cls)
    if histogram is None or not histogram.total_count:
        return "no latencies recorded"
    percentile = histogram.get_value_at_percentile
    return f"median {percentile(50)} ms, 99th percentile {percentile(99)} ms"


def load_bars(server: Server, scale: TimeScale) -> list[Bar]:
    """The load of a server relative to its own peak, in at most `MAX_LOAD_BARS` bars."""
    step = max(BUCKET_S, round(scale.duration / US_PER_SECOND / MAX_LOAD_BARS))
    columns: dict[int, float] = {}
    for bucket, value in server.load.items():
        index = bucket * BUCKET_S // step
        columns[index] = max(columns.get(index, 0.0), value)
    peak, max_height = max(columns.values(), default=0.0), LANE_HEIGHT - 4
    bars = []
    for index, value in sorted(columns.items()):
        if value > 0:
            x, height = scale.x(index * step * US_PER_SECOND), max(1.0, max_height * value / peak)
            width = max(1.0, scale.x((index + 1) * step * US_PER_SECOND) - x)
            bars.append(
                Bar(x, width, max_height - height, height, "#2b4a3655", f"{value:.0f} requests in progress")
            )
    return bars


def server_lanes(fleet: Fleet, scale: TimeScale) -> list[Lane]:
    """The lanes of the servers, sorted by zone, role and uid."""
    shown = sorted(fleet.servers.values(), key=lambda s: (-len(s.ejections), -len(s.states), s.uid))[
        :MAX_SERVER_LANES
    ]
    lanes = []
    for server in sorted(shown, key=lambda s: (s.zone, s.role, s.uid)):
        bars = [
            scale.bar(
                i,
                STATE_COLOURS.get(i.state, "#999"),
                f"{i.state} from {format_time(i.since, scale.first)}",
            )
            for i in server.states
        ]
        bars += [scale.bar(i, "#c0392b", "ejected by routers", 3, 4) for i in server.ejections]
        bars += [scale.bar(i, "#8fb8de", "slow start") for i in server.slow_starts]
        bars += load_bars(server, scale)
        peak = max(server.load.values(), default=0.0)
        lanes.append(Lane(server.uid, f"{server.role} {server.zone}, at most {peak:.0f} in progress", bars))
    return lanes


def router_lanes(fleet: Fleet, scale: TimeScale) -> list[Lane]:
    """The lanes of the routers, sorted by name."""
    colours = {"serving": "#7fb38a", "starting": "#8fb8de", "stopped": "#c9c9c9"}
    lanes = []
    for router in sorted(fleet.routers.values(), key=lambda r: r.name):
        bars = [scale.bar(i, colours.get(i.state, "#d9a441"), i.state) for i in router.phases]
        bars += [scale.bar(i, "url(#gap)", f"no records: {i.state}") for i in router.gaps]
        note = f"{router.runs} run{'s' * (router.runs != 1)}"
        lanes.append(
            Lane(router.name, note + (f", {router.dropped} records dropped" if router.dropped else ""), bars)
        )
    return lanes


def timeline_rows(fleet: Fleet, incidents: Sequence[Incident]) -> list[tuple[int, str, str, str]]:
    """The timeline: time, subject, text, and the number of routers that reported it."""
    rows = [(e.time, e.subject, e.text, f"{len(e.routers)}") for e in fleet.events]
    for number, incident in enumerate(incidents, 1):
        rows.append((incident.first_second * US_PER_SECOND, f"incident {number}", "begins", ""))
        rows.append(
            (incident.last_second * US_PER_SECOND + US_PER_SECOND, f"incident {number}", "is over", "")
        )
    rows.sort(key=lambda row: row[0])
    if len(rows) > MAX_TIMELINE_ROWS:  # keep those closest to the start of an incident
        starts = [incident.first_second * US_PER_SECOND for incident in incidents] or [fleet.first]
        kept = sorted(rows, key=lambda row: min(abs(row[0] - start) for start in starts))[:MAX_TIMELINE_ROWS]
        rows = sorted(kept, key=lambda row: row[0])
    return rows


def render_report(record_set: RecordSet) -> str:
    """The report as HTML."""
    fleet = record_set.build_fleet()
    incidents = find_incidents(fleet)
    scale = TimeScale(fleet.first, fleet.last)
    classes = sorted({cls for counts in fleet.seconds.values() for cls, _ in counts.answers})
    totals = {cls: [0, 0] for cls in classes}
    for counts in fleet.seconds.values():
        for (cls, verdict), count in counts.answers.items():
            totals[cls][0] += count
            totals[cls][1] += count * (verdict != "served")
    environment = Environment(
        loader=FileSystemLoader(Path(__file__).parent),
        autoescape=select_autoescape(default=True, default_for_string=True),
    )
    return environment.get_template("report.html").render(
        width=WIDTH,
        chart_height=CHART_HEIGHT,
        lane_height=LANE_HEIGHT,
        record_set=record_set,
        first=datetime.fromtimestamp(fleet.first / US_PER_SECOND, UTC).strftime("%Y-%m-%d %H:%M:%S"),
        last=datetime.fromtimestamp(fleet.last / US_PER_SECOND, UTC).strftime("%H:%M:%S"),
        format_time=lambda time_us: format_time(time_us, fleet.first),
        us_per_second=US_PER_SECOND,
        incidents=incidents,
        incident_spans=[
            (scale.x(i.first_second * US_PER_SECOND), scale.x((i.last_second + 1) * US_PER_SECOND))
            for i in incidents
        ],
        classes=[
            (
                cls,
                [*request_bars(fleet, scale, cls), *gap_bars(fleet, scale)],
                latency_text(fleet, cls),
                *totals[cls],
            )
            for cls in classes
        ],
        min_score=1.0,
        server_lanes=server_lanes(fleet, scale),
        servers_not_shown=max(0, len(fleet.servers) - MAX_SERVER_LANES),
        router_lanes=router_lanes(fleet, scale),
        timeline=timeline_rows(fleet, incidents),
    )
