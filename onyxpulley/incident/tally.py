"""What a router records of itself: events as they come, the many as sums of a second. Free of I/O.

Under load nothing is sampled: answers and attempts are counted by class, cause and server, whatever their
number, so a busier second costs no more records. What has a bound is the number of different things named in
one second; past it they are counted as dropped, and the count is a record.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from onyxpulley.incident.records import Kind, Record

EVENTS = 2_000  # of one second
KEYS = 4_096  # different sums of one second
LONGEST = 60_000  # ms, the end of the histograms' scale
DIGITS = 2  # of the times in the histograms
TEXT = 200  # characters of a name or a reason


class Tally:
    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock  # Unix microseconds
        self.seq = 0
        self.load_at = -1  # where in a load report the requests in work stand
        self.events: list[tuple[int, Kind, str, str, float, str]] = []
        self.answers: Counter[tuple[str, str]] = Counter()
        self.times: dict[str, HdrHistogram] = {}
        self.attempts: Counter[tuple[str, str]] = Counter()
        self.took: Counter[tuple[str, str]] = Counter()
        self.loads: dict[str, float] = {}
        self.dropped = self.dropped_all = 0

    # ---- Called by the program as it works
    def event(
        self, kind: Kind, server: str = "", cause: str = "", value: float = 0.0, detail: str = ""
    ) -> None:
        if len(self.events) >= EVENTS:
            self.dropped += 1
        else:
            self.events.append((self.clock(), kind, server[:TEXT], cause[:TEXT], value, detail[:TEXT]))

    def answered(self, cls: str, verdict: str, took_us: int) -> None:
        if self._room(self.answers, (cls, verdict)):
            self.answers[cls, verdict] += 1
            if verdict == "served":
                if cls not in self.times:
                    self.times[cls] = HdrHistogram(1, LONGEST, DIGITS)
                self.times[cls].record_value(min(LONGEST, max(1, took_us // 1000)))

    def attempted(self, server: str, outcome: str, took_us: int, load: tuple[float, ...] = ()) -> None:
        if len(load) > self.load_at >= 0:
            self.load(server, load[self.load_at])
        if self._room(self.attempts, (server, outcome)):
            self.attempts[server, outcome] += 1
            self.took[server, outcome] += took_us

    def load(self, server: str, value: float) -> None:
        if server in self.loads or len(self.loads) < KEYS:
            self.loads[server] = value
        else:
            self.dropped += 1

    def _room(self, table: Counter[tuple[str, str]], key: tuple[str, str]) -> bool:
        if key in table or len(table) < KEYS:
            return True
        self.dropped += 1
        return False

    # ---- Once a second
    def take(self) -> list[Record]:
        """The records of the second that ends now, and an empty tally."""
        now, rows = self.clock(), list[Record]()

        def add(at: int, kind: Kind, **fields: object) -> None:
            rows.append(Record(self.seq, at, kind, **fields))  # type: ignore[arg-type]
            self.seq += 1

        for at, kind, server, cause, value, detail in self.events:
            add(at, kind, server=server, cause=cause, value=value, detail=detail)
        for (cls, verdict), count in self.answers.items():
            times = self.times.get(cls) if verdict == "served" else None
            detail = times.encode().decode("ascii") if times is not None else ""
            add(now, Kind.ANSWER, cls=cls, cause=verdict, count=count, detail=detail)
        for (server, outcome), count in self.attempts.items():
            mean = self.took[server, outcome] / count / 1000
            add(now, Kind.ATTEMPT, server=server, cause=outcome, count=count, value=mean)
        for server, value in self.loads.items():
            add(now, Kind.LOAD, server=server, value=value)
        if self.dropped:
            add(now, Kind.DROPPED, count=self.dropped)
            self.dropped_all += self.dropped
        if not rows:
            add(now, Kind.HERE)
        self.dropped = 0
        for table in (self.events, self.answers, self.times, self.attempts, self.took, self.loads):
            table.clear()
        return rows

    def lost(self, count: int) -> None:
        """Records that were taken and could not be written: their numbers are missing."""
        self.dropped += count
