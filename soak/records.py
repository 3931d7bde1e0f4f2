"""What clients and servers saw of each request: the evidence that the rules are checked against.

All times are seconds of one monotonic clock, that of the process in which all stand-ins run.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field


def now() -> float:
    return time.monotonic()


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


@dataclass(slots=True)
class Forward:
    """One arrival of a request at a server. `limit`: the deadline passed on, seconds."""

    at: float
    server: str
    limit: float
    ran: bool = False
    ended: str = ""  # the answer that was written, `aborted`, or empty while it is open


@dataclass(slots=True)
class Reply:
    """One answer that a client read whole."""

    at: float
    word: str
    same: bool
    body: bytes
    problem: str = ""  # why it cannot be a right answer; empty where it is one
    stamp: int = 0  # Unix ms at which the origin gave out the copy that was served, 0 where none was


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, from its last byte on. `limit`: seconds that the client waits."""

    txn: str
    cls: str
    item: str
    part: int
    limit: float
    router: str
    sent: float = 0.0
    left: float | None = None  # when the client cancelled it or closed its connection
    dropped: float | None = None  # when the router closed the connection under it
    router_killed: bool = False  # its router was killed while it was open
    crossed: int = 0  # times that it crossed the close of an idle connection and was sent again
    replies: list[Reply] = field(default_factory=list)
    forwards: list[Forward] = field(default_factory=list)

    @property
    def open(self) -> bool:
        return not self.replies and self.left is None and self.dropped is None

    def ended(self) -> float | None:
        """When nothing more was owed, as the client saw it."""
        times = [t for t in (self.left, self.dropped) if t is not None]
        times += [reply.at for reply in self.replies[:1]]
        return min(times, default=None)

    def course(self) -> str:
        """One line: all that was seen of it, in seconds after it was sent."""
        parts = [f"{self.router} txn {self.txn} class {self.cls} limit {self.limit:.3f} sent {self.sent:.3f}"]
        for f in self.forwards:
            ran = "ran" if f.ran else "not run"
            parts.append(f"{f.server} +{f.at - self.sent:.3f} limit {f.limit:.3f} {ran} {f.ended}")
        parts += [f"answer {r.word} +{r.at - self.sent:.3f} {r.problem}".rstrip() for r in self.replies]
        if self.left is not None:
            parts.append(f"client left +{self.left - self.sent:.3f}")
        if self.dropped is not None:
            parts.append(f"router closed +{self.dropped - self.sent:.3f}")
        return " | ".join(parts)


@dataclass(frozen=True, slots=True)
class Purge:
    """`issued`: Unix ms. `told`: when routers count as told of it, at the latest."""

    item: str
    issued: int
    told: float


@dataclass(slots=True)
class Evidence:
    """All requests of a run by their id, and what speaks of no request alone."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)  # messages that no request explains
    told: dict[str, float] = field(default_factory=dict)  # servers told to drain or gone, and when
    purges: list[Purge] = field(default_factory=list)
    longest_lag: float = 0.0  # by how much the stand-ins themselves were late, seconds


def expected_body(cls: str, item: str, part: int, size: int) -> bytes:
    """The bytes of a part, the same at every server, so that a client knows a wrong answer."""
    seed = f"{cls}/{item}/{part}|".encode()
    return (seed * (size // len(seed) + 1))[:size]
