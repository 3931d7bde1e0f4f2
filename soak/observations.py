"""What clients and servers observed of each request; the rules are checked against these records.

All times are seconds of one monotonic clock, that of the process in which the clients and the fakes run.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field


def now() -> float:
    """Monotonic time in seconds."""
    return time.monotonic()


def unix_ms() -> int:
    """Wall-clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


@dataclass(slots=True)
class Forward:
    """One arrival of a request at a server. `time_left`: seconds to the deadline that the router sent."""

    received_at: float
    server: str
    time_left: float
    ran: bool = False
    outcome: str = ""  # the answer that was written, `reset` or `aborted`; empty while the request is open


@dataclass(slots=True)
class Reply:
    """One complete answer that a client received."""

    received_at: float
    verdict: str
    not_modified: bool
    body: bytes
    problem: str = ""  # why the answer is wrong; empty if it is correct
    origin_ms: int = 0  # Unix ms at which the origin issued the served copy; 0 if no copy was served


@dataclass(slots=True)
class RequestRecord:
    """One request of a client; it is sent when its last byte is written."""

    txn: str
    cls: str
    item: str
    part: int
    timeout: float  # seconds that the client waits
    router: str
    sent_at: float = 0.0
    abandoned_at: float | None = None  # when the client cancelled it or closed its connection
    disconnected_at: float | None = None  # when the router closed the connection while the request was open
    router_killed: bool = False  # the router was killed while the request was open
    resends: int = 0  # times that an idle connection was closed before the request was read
    replies: list[Reply] = field(default_factory=list)
    forwards: list[Forward] = field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether the client still waits for an answer."""
        return not self.replies and self.abandoned_at is None and self.disconnected_at is None

    def ended_at(self) -> float | None:
        """When the client stopped waiting for an answer, None while it waits."""
        times = [t for t in (self.abandoned_at, self.disconnected_at) if t is not None]
        times += [reply.received_at for reply in self.replies[:1]]
        return min(times, default=None)

    def timeline(self) -> str:
        """Everything observed of the request in one line, in seconds after it was sent."""
        parts = [
            f"{self.router} txn {self.txn} class {self.cls} limit {self.timeout:.3f} sent {self.sent_at:.3f}"
        ]
        for f in self.forwards:
            ran = "ran" if f.ran else "not run"
            arrival = f"{f.server} +{f.received_at - self.sent_at:.3f}"
            parts.append(f"{arrival} limit {f.time_left:.3f} {ran} {f.outcome}")
        for r in self.replies:
            parts.append(f"answer {r.verdict} +{r.received_at - self.sent_at:.3f} {r.problem}".rstrip())
        if self.abandoned_at is not None:
            parts.append(f"client left +{self.abandoned_at - self.sent_at:.3f}")
        if self.disconnected_at is not None:
            parts.append(f"router closed +{self.disconnected_at - self.sent_at:.3f}")
        return " | ".join(parts)


@dataclass(frozen=True, slots=True)
class Purge:
    """A purge of one object. `notified_at`: the latest time by which all routers know of it."""

    item: str
    issued_ms: int  # Unix ms; copies that the origin issued earlier are purged
    notified_at: float


@dataclass(slots=True)
class Observations:
    """All requests of a run by their id, and what was observed outside of single requests."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    protocol_errors: list[str] = field(default_factory=list)
    drain_notified_at: dict[str, float] = field(default_factory=dict)  # by server that drains or is gone
    purges: list[Purge] = field(default_factory=list)
    max_lag: float = 0.0  # largest delay of the event loop that runs the clients and the fakes, seconds


def expected_body(cls: str, item: str, part: int, size: int) -> bytes:
    """The content of a part, the same at every server, so that a client can recognize a wrong answer."""
    pattern = f"{cls}/{item}/{part}|".encode()
    return (pattern * (size // len(pattern) + 1))[:size]
