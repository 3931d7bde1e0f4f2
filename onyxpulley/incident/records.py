"""The format of a record. This is version 1; files of any other version are rejected."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

VERSION = 1
FORMAT = "onyxpulley-incident"


class Kind(StrEnum):
    """What a record is about, and which of its fields it uses."""

    PHASE = "phase"  # cause: the program's new phase; value: seconds of slow start, in the starting phase
    RELOAD = "reload"  # cause: applied or rejected
    LIST = "list"  # server, cause: its state, value: its start (Unix ms) or 0, detail: kind@zone
    PURGE = "purge"  # value: when it was issued (Unix ms), detail: the object or group
    NEWS = "news"  # detail: a message of the discovery client about its connections
    AVOID = "avoid"  # ejection of a server: server, cause: down or up, detail: the log line
    LOAD = "load"  # server, value: the last load that it reported in that second
    ANSWER = "answer"  # cls, cause: the verdict, count, detail: a histogram of latencies, if served
    ATTEMPT = "attempt"  # server, cause: the outcome, count, value: mean latency in ms
    DROPPED = "dropped"  # count: records of that second that exceeded a limit
    HERE = "here"  # heartbeat, in a second without other records


MERGED = frozenset({Kind.LOAD, Kind.ANSWER, Kind.ATTEMPT})  # sums over a second, written at its end


@dataclass(frozen=True, slots=True)
class Record:
    """One row of a router's file. `at` is the router's own wall clock, in Unix microseconds."""

    seq: int  # consecutive, from 0 in each run
    at: int
    kind: Kind
    server: str = ""
    cls: str = ""
    cause: str = ""
    count: int = 0
    value: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True, order=True)
class RunId:
    """Identifies one run of a router: a restart under the same name is another epoch."""

    router: str
    epoch: int  # when the run started, by the router's own clock, in Unix microseconds
