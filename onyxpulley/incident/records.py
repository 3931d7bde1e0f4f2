"""What one record is. Version 1; a reader refuses every other."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

VERSION = 1
FORMAT = "onyxpulley-incident"


class Kind(StrEnum):
    PHASE = (
        "phase"  # cause: the phase of the program itself; value, at the start: seconds that servers are cold
    )
    RELOAD = "reload"  # cause: applied or rejected
    LIST = "list"  # server, cause: its state, value: when it was started (Unix ms) or 0, detail: kind@zone
    PURGE = "purge"  # value: when it was issued (Unix ms), detail: the object or group
    NEWS = "news"  # detail: what the bulletin's side said of itself
    AVOID = "avoid"  # server, cause: down or up, detail: why
    LOAD = "load"  # server, value: the last of its reports in that second
    ANSWER = "answer"  # cls, cause: the verdict, count, detail: a histogram of the times where served
    ATTEMPT = "attempt"  # server, cause: the outcome, count, value: mean time in ms
    DROPPED = "dropped"  # count: records of that second that had no room
    HERE = "here"  # each second: a router that says nothing else is there all the same


MERGED = frozenset({Kind.LOAD, Kind.ANSWER, Kind.ATTEMPT})  # sums of a second, written at its end


@dataclass(frozen=True, slots=True)
class Record:
    """One line of a router's own diary. `at` is its own wall clock, in Unix microseconds."""

    seq: int  # from 0 in each epoch, without holes
    at: int
    kind: Kind
    server: str = ""
    cls: str = ""
    cause: str = ""
    count: int = 0
    value: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True, order=True)
class Origin:
    """A run of a router: the same name started anew is another epoch."""

    router: str
    epoch: int  # when it started, by its own clock, in Unix microseconds
