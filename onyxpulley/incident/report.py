"""The report: one HTML file that needs nothing else. Names are escaped by the template."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from jinja2 import Environment, FileSystemLoader, select_autoescape

from onyxpulley.incident.causes import Incident, incidents
from onyxpulley.incident.fleet import BUCKET, Box, Fleet, Span
from onyxpulley.incident.load import Case
from onyxpulley.incident.merge import SECOND

WIDTH, HEIGHT, LANE = 960, 130, 14  # pixels
COLUMNS = 480  # of the charts: more seconds than that share one
PARTS = 160  # of a box's load
LINES = 400  # of the timeline
BOXES = 120  # lanes shown: those to which something happened come first
COLOURS = {"ready": "#7fb38a", "draining": "#d9a441", "gone": "#c9c9c9"}


@dataclass(frozen=True, slots=True)
class Bar:
    x: float
    width: float
    y: float
    height: float
    colour: str
    title: str


@dataclass(frozen=True, slots=True)
class Lane:
    name: str
    note: str
    bars: list[Bar]


def clock(us: int, first: int) -> str:
    return (
        datetime.fromtimestamp(us / SECOND, UTC).strftime("%H:%M:%S.%f")[:-4]
        + f" (+{(us - first) / SECOND:.1f} s)"
    )


class Scale:
    def __init__(self, first: int, last: int) -> None:
        self.first, self.span = first, max(SECOND, last - first)

    def x(self, us: float) -> float:
        return round(WIDTH * min(1.0, max(0.0, (us - self.first) / self.span)), 2)

    def bar(self, span: Span, colour: str, title: str, y: float = 0, height: float = LANE - 4) -> Bar:
        until = span.until if span.until is not None else self.first + self.span
        x = self.x(span.since)
        return Bar(x, max(1.5, self.x(until) - x), y, height, colour, title)


def chart(fleet: Fleet, scale: Scale, cls: str) -> list[Bar]:
    """Requests of a class by time: served below, the others on top, in red."""
    step = max(1, round(scale.span / SECOND / COLUMNS))
    columns: dict[int, list[int]] = {}
    for second, row in fleet.seconds.items():
        column = columns.setdefault(second // step, [0, 0])
        for (name, verdict), count in row.answers.items():
            if name == cls:
                column[verdict != "served"] += count
    most = max((sum(c) for c in columns.values()), default=0) or 1
    bars = []
    for at, (served, lost) in sorted(columns.items()):
        x = scale.x(at * step * SECOND)
        width = max(1.0, scale.x((at + 1) * step * SECOND) - x)
        for count, below, colour, word in (
            (served, 0, "#7fb38a", "served"),
            (lost, served, "#c0392b", "not served"),
        ):
            if count:
                top = HEIGHT * (1 - (below + count) / most)
                bars.append(Bar(x, width, top, HEIGHT * count / most, colour, f"{count} {word}"))
    return bars


def unknown(fleet: Fleet, scale: Scale) -> list[Bar]:
    """Where at least one router says nothing: what the charts show there is not all."""
    spans = [(r.name, gap) for r in fleet.routers.values() for gap in r.gaps]
    return [scale.bar(gap, "url(#gap)", f"{name}: {gap.state}", HEIGHT - 6, 6) for name, gap in spans]


def times(fleet: Fleet, cls: str) -> str:
    """Median and 99th of what was served, of all routers together."""
    whole = fleet.times.get(cls)
    if whole is None or not whole.total_count:
        return "no times recorded"
    at = whole.get_value_at_percentile
    return f"median {at(50)} ms, 99th {at(99)} ms"


def loads(box: Box, scale: Scale) -> list[Bar]:
    """Its load in a part of the lane's height each, at most `PARTS` over the whole time."""
    step = max(BUCKET, round(scale.span / SECOND / PARTS))
    parts: dict[int, float] = {}
    for bucket, value in box.load.items():
        at = bucket * BUCKET // step
        parts[at] = max(parts.get(at, 0.0), value)
    peak, height = max(parts.values(), default=0.0), LANE - 4
    bars = []
    for at, value in sorted(parts.items()):
        if value > 0:
            x, tall = scale.x(at * step * SECOND), max(1.0, height * value / peak)
            width = max(1.0, scale.x((at + 1) * step * SECOND) - x)
            bars.append(Bar(x, width, height - tall, tall, "#2b4a3655", f"{value:.0f} requests in work"))
    return bars


def box_lanes(fleet: Fleet, scale: Scale) -> list[Lane]:
    busy = sorted(fleet.boxes.values(), key=lambda b: (-len(b.avoided), -len(b.spans), b.uid))[:BOXES]
    lanes = []
    for box in sorted(busy, key=lambda b: (b.zone, b.role, b.uid)):
        bars = [
            scale.bar(s, COLOURS.get(s.state, "#999"), f"{s.state} from {clock(s.since, scale.first)}")
            for s in box.spans
        ]
        bars += [scale.bar(s, "#c0392b", "avoided by routers", 3, 4) for s in box.avoided]
        bars += [scale.bar(s, "#8fb8de", "cold after its start") for s in box.warming]
        bars += loads(box, scale)
        peak = max(box.load.values(), default=0.0)
        lanes.append(Lane(box.uid, f"{box.role} {box.zone}, at most {peak:.0f} in work", bars))
    return lanes


def router_lanes(fleet: Fleet, scale: Scale) -> list[Lane]:
    colours = {"serving": "#7fb38a", "starting": "#8fb8de", "stopped": "#c9c9c9"}
    lanes = []
    for router in sorted(fleet.routers.values(), key=lambda r: r.name):
        bars = [scale.bar(s, colours.get(s.state, "#d9a441"), s.state) for s in router.phases]
        bars += [scale.bar(s, "url(#gap)", f"nothing is known: {s.state}") for s in router.gaps]
        note = f"{router.runs} run{'s' * (router.runs != 1)}"
        lanes.append(
            Lane(router.name, note + (f", {router.dropped} records dropped" if router.dropped else ""), bars)
        )
    return lanes


def story(fleet: Fleet, found: Sequence[Incident]) -> list[tuple[int, str, str, str]]:
    """The timeline: when, who, what, and how many routers say so."""
    rows = [(h.time, h.who, h.what, f"{len(h.routers)}") for h in fleet.happenings]
    for no, incident in enumerate(found, 1):
        rows.append((incident.since * SECOND, f"incident {no}", "more than usual is not served", ""))
        rows.append((incident.until * SECOND + SECOND, f"incident {no}", "over", ""))
    rows.sort(key=lambda row: row[0])
    if len(rows) > LINES:  # round the incidents first
        ends = [incident.since * SECOND for incident in found] or [fleet.first]
        kept = sorted(rows, key=lambda row: min(abs(row[0] - end) for end in ends))[:LINES]
        rows = sorted(kept, key=lambda row: row[0])
    return rows


def render(case: Case) -> str:
    fleet = case.fleet()
    found = incidents(fleet)
    scale = Scale(fleet.first, fleet.last)
    classes = sorted({cls for row in fleet.seconds.values() for cls, _ in row.answers})
    totals = {cls: [0, 0] for cls in classes}
    for row in fleet.seconds.values():
        for (cls, verdict), count in row.answers.items():
            totals[cls][0] += count
            totals[cls][1] += count * (verdict != "served")
    environment = Environment(
        loader=FileSystemLoader(Path(__file__).parent),
        autoescape=select_autoescape(default=True, default_for_string=True),
    )
    return environment.get_template("report.html").render(
        width=WIDTH,
        height=HEIGHT,
        lane=LANE,
        case=case,
        first=datetime.fromtimestamp(fleet.first / SECOND, UTC).strftime("%Y-%m-%d %H:%M:%S"),
        last=datetime.fromtimestamp(fleet.last / SECOND, UTC).strftime("%H:%M:%S"),
        clock=lambda us: clock(us, fleet.first),
        second=SECOND,
        incidents=found,
        marks=[(scale.x(i.since * SECOND), scale.x((i.until + 1) * SECOND)) for i in found],
        classes=[
            (cls, [*chart(fleet, scale, cls), *unknown(fleet, scale)], times(fleet, cls), *totals[cls])
            for cls in classes
        ],
        weighty=1.0,
        boxes=box_lanes(fleet, scale),
        more=max(0, len(fleet.boxes) - BOXES),
        routers=router_lanes(fleet, scale),
        story=story(fleet, found),
    )
