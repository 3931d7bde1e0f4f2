"""What the bulletin's lines mean, and when to call it again: decisions alone, without a socket or a clock."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from onyxpulley import fields
from onyxpulley.decision_adapter import SERVER_STATES, Member

UID = re.compile(r"[!-+\--~]{1,128}")
PARSE_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, RecursionError)
SILENCE_TIMEOUT_S = (
    2.2  # seconds without a word: two numbers were missed, and another call is made beside that one
)
SILENCE_JITTER_S = 0.3  # seconds by which that varies: all routers hear the same silence
DEAD_TIMEOUT_S = 3.5  # seconds without a word: the call is over
PAUSE = 0.1, 0.5  # first and longest mean wait between two calls: what was told meanwhile counts already
MAX_BAD_LINES = 8  # bad lines in a row that are passed over: a call that brings nothing else is of no use
MAX_CONNECTIONS = 4  # at a time: one may hang while the next ones are begun
CONNECT_TIMEOUT_S = MAX_CONNECTIONS * PAUSE[1]  # seconds until it is up, and until its first word


class DiscoveryStreamError(Exception):
    """The connection is of no more use: it is asked again for all after the last good event."""


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    full: bool
    members: Sequence[Member]


@dataclass(frozen=True, slots=True)
class Purge:
    item: str | None
    group: int | None
    issued_ms: int  # Unix ms


Event = MembershipUpdate | Purge


def timestamps_of(found: Event | None) -> list[int]:
    """The platform's times (Unix ms) in an event: none of them is in its future."""
    if isinstance(found, Purge):
        return [found.issued_ms]
    return [m.boot_ms for m in found.members if m.boot_ms] if found is not None else []


def parse_member(row: dict[str, Any]) -> Member:
    if row["state"] not in SERVER_STATES:
        raise ValueError(f"unknown state {str(row['state'])[:40]!r}")
    endpoint, weight = str(row["endpoint"]), float(row.get("capacity_hint") or 1.0)
    host, _, port = endpoint.rpartition(":")
    if not host:
        raise ValueError("endpoint without a host")
    fields.parse_number(port, 1, 65535)
    if not UID.fullmatch(str(row["uid"])):
        raise ValueError("an id that no wire can carry")
    if not math.isfinite(weight):
        raise ValueError("capacity_hint is no number")
    return Member(
        uid=str(row["uid"]),
        endpoint=endpoint,
        zone=str(row.get("az") or ""),
        model=str(row.get("model") or ""),
        cell=int(row.get("pod_group") or 0),
        state=str(row["state"]),
        weight=weight,
        boot_ms=int(row.get("boot_ms") or 0),
    )


def parse_event(row: dict[str, Any]) -> Event | None:
    """An event in full, or one of `PARSE_ERRORS`. None: of a kind that says nothing to this program."""
    if "roster" in row:
        roster = row["roster"]
        return MembershipUpdate(bool(roster.get("all", False)), [parse_member(r) for r in roster["targets"]])
    if "recall" in row:
        recall = row["recall"]
        item, lot, issued = recall.get("item"), recall.get("lot"), int(recall["issued"])
        if item is None and lot is None:
            raise ValueError("a recall of nothing")
        return Purge(None if item is None else str(item), None if lot is None else int(lot), issued)
    return None


class EventReader:
    """Where in the numbered events this router is. A line that cannot be used is asked for once more, since
    the way may have spoilt it; the second time it is passed over, so that it holds up nothing behind it."""

    def __init__(self, log: Callable[[str], object] = lambda text: None) -> None:
        self.last_number, self.log = 0, log
        self.doubted = -1  # the number after which a line was refused
        self.ahead = -1  # the number after which events were missing when the last was named
        self.skipped = self.noise = 0  # bad lines passed over: in all, and since the last event

    def read(self, line: bytes) -> Event | None:
        """The next event; None for what says nothing new. Raises DiscoveryStreamError."""
        text = line.strip()
        if not text:
            return None
        try:
            row = json.loads(text)
            bare = isinstance(row, int) or row.keys() == {"no"}
            no = int(row if isinstance(row, int) else row["no"])
        except PARSE_ERRORS as problem:
            self._pass(self.last_number, problem)  # which event it was, or none at all, cannot be told
            return None
        if bare:
            self._last(no)
            return None
        if no <= self.last_number:
            return None
        if no > self.last_number + 1 and self.doubted != self.last_number:
            self._doubt(f"event {no} is not the next after {self.last_number}")
        try:
            found = parse_event(row)
        except PARSE_ERRORS as problem:
            self._pass(no, problem)
            self.last_number = no
            return None
        self.last_number, self.noise = no, 0
        return found

    def _last(self, no: int) -> None:
        """The number alone: which event is the last, and never an event itself. It may be ahead of one that
        is on its way; where the next number finds the same one missing, it is asked for."""
        if no <= self.last_number:
            self.ahead = -1
        elif self.ahead != self.last_number:
            self.ahead = self.last_number
        elif self.doubted != self.last_number:
            self._doubt(f"events after {self.last_number} up to {no} are missing")

    def _doubt(self, why: str) -> None:
        self.doubted = self.last_number
        raise DiscoveryStreamError(why[:300])

    def _pass(self, no: int, problem: Exception) -> None:
        if self.doubted != self.last_number:
            self._doubt(f"bad line after {self.last_number}: {problem!r}")
        what = f"event {no}" if no > self.last_number else f"a line after {no}"
        self.noise += 1
        if self.noise > MAX_BAD_LINES:
            self.noise = 0
            raise DiscoveryStreamError(f"more than {MAX_BAD_LINES} bad lines after {self.last_number}")
        self.log(f"{what} is passed over, bad again: {problem!r}"[:300])
        self.skipped += 1


@dataclass(slots=True)
class ConnectionState:
    since: float  # when it was begun, when it came up, or when it last spoke
    up: bool = False
    spoke: bool = False
    trusted: float = 0.0  # until then it needn't say more

    def over(self) -> float:
        return self.since + (DEAD_TIMEOUT_S if self.spoke else CONNECT_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class Step:
    begin: bool  # a call
    end: Sequence[int]  # these calls
    wake: float  # seconds until the next step, if nothing happens before


@dataclass(slots=True)
class ConnectionSchedule:
    """When to call, and which calls to end. One that hangs or falls silent is given its time, but another is
    made beside it meanwhile: what was told while nobody listened may count already. Waits are spread by
    `luck` in [0, 1), since all routers lose the bulletin in the same moment."""

    luck: Callable[[], float]
    calls: dict[int, ConnectionState] = field(default_factory=dict)
    pause: float = PAUSE[0]
    due: float = 0.0  # no call before then
    serial: int = 0

    def begun(self, now: float) -> int:
        self.serial += 1
        self.calls[self.serial] = ConnectionState(now)
        self.due = now + self.pause * (0.5 + self.luck())
        self.pause = min(PAUSE[1], 2 * self.pause)
        return self.serial

    def up(self, now: float, key: int) -> None:
        if key in self.calls:
            call = self.calls[key]
            call.since, call.up, call.trusted = (
                now,
                True,
                now + SILENCE_TIMEOUT_S + SILENCE_JITTER_S * self.luck(),
            )

    def spoke(self, now: float, key: int) -> None:
        if key in self.calls:
            self.up(now, key)
            self.calls[key].spoke = True
            self.pause = PAUSE[0]

    def ended(self, now: float, key: int) -> None:
        call = self.calls.pop(key, None)
        if call is not None and call.spoke:  # else the wait since it was begun is enough
            self.due = max(self.due, now + self.pause * (0.5 + self.luck()))

    def moved(self) -> None:
        """To another address: it is called at once."""
        self.calls.clear()
        self.pause, self.due = PAUSE[0], 0.0

    def step(self, now: float) -> Step:
        lively = [k for k, c in self.calls.items() if c.up and now < c.trusted]
        if lively:
            best = max(lively, key=lambda k: (self.calls[k].spoke, self.calls[k].since))
            others = [k for k in self.calls if k != best] if self.calls[best].spoke else []
            return Step(False, others, max(0.01, self.calls[best].trusted - now))
        over = [k for k, c in self.calls.items() if now >= c.over()]
        begin = now >= self.due
        if (
            begin and len(self.calls) - len(over) >= MAX_CONNECTIONS
        ):  # the one that hangs for longest makes way
            over.append(min((k for k in self.calls if k not in over), key=lambda k: self.calls[k].since))
        wakes = [self.due, *(c.over() for k, c in self.calls.items() if k not in over)]
        return Step(begin, over, max(0.01, min((w for w in wakes if w > now), default=now) - now))
