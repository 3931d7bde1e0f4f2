"""Collects what a router records: single events, and sums per second of what is frequent. No I/O.

Nothing is sampled: answers and attempts are counted by class, verdict, server and outcome, so a busier second
takes no more records. The number of different keys and of events in one second is limited; what exceeds a
limit is counted as dropped, and the count is recorded.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from onyxpulley.incident.records import Kind, Record

MAX_EVENTS = 2_000  # in one second
MAX_KEYS = 4_096  # in each table of one second
MAX_LATENCY_MS = 60_000  # the end of the histograms' scale
HISTOGRAM_DIGITS = 2  # significant digits
MAX_TEXT_CHARS = 200  # of a name or a reason


class RecordCollector:
    """Collects the records of the current second. An observer of core.Exchange."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock  # Unix microseconds
        self.next_seq = 0
        self.load_field_index = -1  # of the requests in progress in a load report; -1: not reported
        self.events: list[tuple[int, Kind, str, str, float, str]] = []
        self.answers: Counter[tuple[str, str]] = Counter()  # by class and verdict
        self.latencies: dict[str, HdrHistogram] = {}  # of served requests by class, ms
        self.attempts: Counter[tuple[str, str]] = Counter()  # by server and outcome
        self.attempt_us: Counter[tuple[str, str]] = Counter()  # their total time
        self.loads: dict[str, float] = {}  # last reported, by server
        self.dropped = self.total_dropped = 0

    # ---- Called by the program as it works
    def add_event(
        self, kind: Kind, server: str = "", cause: str = "", value: float = 0.0, detail: str = ""
    ) -> None:
        """Adds a single event with the current time."""
        if len(self.events) >= MAX_EVENTS:
            self.dropped += 1
        else:
            self.events.append(
                (
                    self.clock(),
                    kind,
                    server[:MAX_TEXT_CHARS],
                    cause[:MAX_TEXT_CHARS],
                    value,
                    detail[:MAX_TEXT_CHARS],
                )
            )

    def answered(self, cls: str, verdict: str, took_us: int) -> None:
        """Counts the final answer to a request."""
        if self._has_room(self.answers, (cls, verdict)):
            self.answers[cls, verdict] += 1
            if verdict == "served":
                if cls not in self.latencies:
                    self.latencies[cls] = HdrHistogram(1, MAX_LATENCY_MS, HISTOGRAM_DIGITS)
                self.latencies[cls].record_value(min(MAX_LATENCY_MS, max(1, took_us // 1000)))

    def attempted(self, server: str, outcome: str, took_us: int, load: tuple[float, ...] = ()) -> None:
        """Counts an attempt that ended, and notes the load that its server reported."""
        if len(load) > self.load_field_index >= 0:
            self.set_load(server, load[self.load_field_index])
        if self._has_room(self.attempts, (server, outcome)):
            self.attempts[server, outcome] += 1
            self.attempt_us[server, outcome] += took_us

    def set_load(self, server: str, value: float) -> None:
        """Notes the load of a server; the last value of a second is recorded."""
        if server in self.loads or len(self.loads) < MAX_KEYS:
            self.loads[server] = value
        else:
            self.dropped += 1

    def _has_room(self, table: Counter[tuple[str, str]], key: tuple[str, str]) -> bool:
        """Whether a key may be counted in a table; if not, counts it as dropped."""
        if key in table or len(table) < MAX_KEYS:
            return True
        self.dropped += 1
        return False

    # ---- Once a second
    def take_records(self) -> list[Record]:
        """Returns the records of the second that ends now, at least one, and begins the next second."""
        now, records = self.clock(), list[Record]()

        def add(at: int, kind: Kind, **fields: object) -> None:
            records.append(Record(self.next_seq, at, kind, **fields))  # type: ignore[arg-type]
            self.next_seq += 1

        for at, kind, server, cause, value, detail in self.events:
            add(at, kind, server=server, cause=cause, value=value, detail=detail)
        for (cls, verdict), count in self.answers.items():
            histogram = self.latencies.get(cls) if verdict == "served" else None
            detail = histogram.encode().decode("ascii") if histogram is not None else ""
            add(now, Kind.ANSWER, cls=cls, cause=verdict, count=count, detail=detail)
        for (server, outcome), count in self.attempts.items():
            mean_ms = self.attempt_us[server, outcome] / count / 1000
            add(now, Kind.ATTEMPT, server=server, cause=outcome, count=count, value=mean_ms)
        for server, value in self.loads.items():
            add(now, Kind.LOAD, server=server, value=value)
        if self.dropped:
            add(now, Kind.DROPPED, count=self.dropped)
            self.total_dropped += self.dropped
        if not records:
            add(now, Kind.HERE)
        self.dropped = 0
        for table in (
            self.events,
            self.answers,
            self.latencies,
            self.attempts,
            self.attempt_us,
            self.loads,
        ):
            table.clear()
        return records

    def add_dropped(self, count: int) -> None:
        """Counts records that were taken but could not be written: their numbers will be missing."""
        self.dropped += count
