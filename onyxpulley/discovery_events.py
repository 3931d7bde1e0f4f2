"""Events of discovery and the schedule of its connections: decisions only, without sockets or a clock."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from onyxpulley import fields
from onyxpulley.decision_adapter import SERVER_STATES, Member

SERVER_ID = re.compile(r"[!-+\--~]{1,128}")  # what the line protocol can carry: no space, no comma
PARSE_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, RecursionError)
SILENCE_TIMEOUT_S = 2.2  # two of the numbers sent each second are missing: another connection is opened
SILENCE_JITTER_S = 0.3  # added at random, because all routers see the same silence
DEAD_TIMEOUT_S = 3.5  # silence after which a connection is closed
MIN_RECONNECT_DELAY_S = 0.1  # mean delay between the first two connection attempts, then doubled
MAX_RECONNECT_DELAY_S = 0.5  # events sent meanwhile count already, so the delay stays short
MAX_BAD_LINES = 8  # malformed lines skipped in a row: a connection that brings nothing else is closed
MAX_CONNECTIONS = 4  # at a time: one may hang while the next ones are opened
CONNECT_TIMEOUT_S = MAX_CONNECTIONS * MAX_RECONNECT_DELAY_S  # until connected, and then until the first bytes


class DiscoveryStreamError(Exception):
    """The connection is to be closed. The next one asks for all events after the last one that was taken."""


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """Changes of the list of servers, or the full list."""

    full: bool
    members: Sequence[Member]


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """A purge of an object or of a group."""

    item: str | None
    group: int | None
    issued_ms: int  # Unix ms


Event = MembershipEvent | PurgeEvent


def timestamps_of(event: Event | None) -> list[int]:
    """The platform's timestamps (Unix ms) in an event. None of them is in the platform's future."""
    if isinstance(event, PurgeEvent):
        return [event.issued_ms]
    return [member.boot_ms for member in event.members if member.boot_ms] if event is not None else []


def parse_member(entry: dict[str, Any]) -> Member:
    """One entry of the list of servers. Raises one of `PARSE_ERRORS`."""
    if entry["state"] not in SERVER_STATES:
        raise ValueError(f"unknown state {str(entry['state'])[:40]!r}")
    endpoint, weight = str(entry["endpoint"]), float(entry.get("capacity_hint") or 1.0)
    host, _, port = endpoint.rpartition(":")
    if not host:
        raise ValueError(f"endpoint without a host: {endpoint[:40]!r}")
    fields.parse_number(port, 1, 65535)
    if not SERVER_ID.fullmatch(str(entry["uid"])):
        raise ValueError(f"invalid server id: {str(entry['uid'])[:40]!r}")
    if not math.isfinite(weight):
        raise ValueError(f"capacity_hint is not a finite number: {weight}")
    return Member(
        uid=str(entry["uid"]),
        endpoint=endpoint,
        zone=str(entry.get("az") or ""),
        model=str(entry.get("model") or ""),
        cell=int(entry.get("pod_group") or 0),
        state=str(entry["state"]),
        weight=weight,
        boot_ms=int(entry.get("boot_ms") or 0),
    )


def parse_event(message: dict[str, Any]) -> Event | None:
    """The event of one line, or None for a kind that this program does not use. Raises one of
    `PARSE_ERRORS`."""
    if "roster" in message:
        roster = message["roster"]
        return MembershipEvent(
            bool(roster.get("all", False)), [parse_member(entry) for entry in roster["targets"]]
        )
    if "recall" in message:
        recall = message["recall"]
        item, group, issued_ms = recall.get("item"), recall.get("lot"), int(recall["issued"])
        if item is None and group is None:
            raise ValueError("recall without an item or a lot")
        return PurgeEvent(
            None if item is None else str(item), None if group is None else int(group), issued_ms
        )
    return None


class EventReader:
    """Reads the numbered events in order, across connections. A malformed line is requested once more, since
    it may have been damaged in transit. The second time it is skipped, so that it does not block those behind
    it."""

    def __init__(self, log: Callable[[str], object] = lambda text: None) -> None:
        self.last_number = 0  # of the last event that was taken
        self.log = log
        self.requested_after = -1  # the number after which events were last requested again
        self.missing_after = -1  # the number after which events were missing at the last check
        self.skipped = 0  # malformed lines skipped in all
        self.bad_lines = 0  # malformed lines skipped since the last event
        self.confirmed = False  # a line showed that no event was missing; reset by whoever acts on it
        self.lost_event = False  # an event was passed over, whatever it said; reset by whoever acts on it

    def read(self, line: bytes) -> Event | None:
        """The next event, or None for a line with nothing new. Raises DiscoveryStreamError."""
        text = line.strip()
        if not text:
            return None
        try:
            message = json.loads(text)
            number_only = isinstance(message, int) or message.keys() == {"no"}
            number = int(message if isinstance(message, int) else message["no"])
        except PARSE_ERRORS as error:
            self._skip(self.last_number, error)  # which event it was, if any, is unknown
            return None
        if number_only:
            self._check_last(number)
            return None
        if number <= self.last_number:
            return None
        if number > self.last_number + 1 and self.requested_after != self.last_number:
            self._request_again(f"event {number} is not the next after {self.last_number}")
        try:
            event = parse_event(message)
        except PARSE_ERRORS as error:
            self._skip(number, error)
            self.last_number = number
            self.lost_event = True
            return None
        self.lost_event = self.lost_event or number > self.last_number + 1
        self.last_number, self.bad_lines = number, 0
        return event

    def _check_last(self, number: int) -> None:
        """Takes a line with the number of the last event, which is never that event itself. It may overtake
        an event that is on its way; if the same one is missing at the next such line, it is requested
        again."""
        if number <= self.last_number:
            self.missing_after = -1
            self.confirmed = True
        elif self.missing_after != self.last_number:
            self.missing_after = self.last_number
        elif self.requested_after != self.last_number:
            self._request_again(f"events after {self.last_number} up to {number} are missing")

    def _request_again(self, reason: str) -> None:
        self.requested_after = self.last_number
        raise DiscoveryStreamError(reason[:300])

    def _skip(self, number: int, error: Exception) -> None:
        """Skips a malformed line that was already requested again. Raises DiscoveryStreamError for one that
        was not, and after too many in a row."""
        if self.requested_after != self.last_number:
            self._request_again(f"bad line after {self.last_number}: {error!r}")
        skipped = f"event {number}" if number > self.last_number else f"a line after {number}"
        self.bad_lines += 1
        if self.bad_lines > MAX_BAD_LINES:
            self.bad_lines = 0
            raise DiscoveryStreamError(f"more than {MAX_BAD_LINES} bad lines after {self.last_number}")
        self.log(f"{skipped} is skipped, malformed again: {error!r}"[:300])
        self.skipped += 1


@dataclass(slots=True)
class ConnectionState:
    """What the schedule knows of one connection. Times are in seconds of the monotonic clock."""

    last_progress: float  # when it was started, connected or last received something
    connected: bool = False
    received: bool = False
    silence_deadline: float = 0.0  # until then it counts as alive without receiving more

    def deadline(self) -> float:
        """When it is given up, unless something is received before."""
        return self.last_progress + (DEAD_TIMEOUT_S if self.received else CONNECT_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class ScheduleStep:
    """What to do now, and when to ask again."""

    connect: bool  # open one connection
    close: Sequence[int]  # keys of the connections to close
    wait_s: float  # seconds until the next step, if nothing happens before


@dataclass(slots=True)
class ConnectionSchedule:
    """Decides when to connect to discovery and which connections to close. One that hangs or falls silent
    is kept until its deadline, but another one is opened beside it, since an event counts from the time at
    which discovery sends it, received or not. Delays are spread by `random` in [0, 1), since all routers lose
    discovery at the same moment."""

    random: Callable[[], float]
    connections: dict[int, ConnectionState] = field(default_factory=dict)
    delay: float = MIN_RECONNECT_DELAY_S  # mean delay until the next connection is opened
    next_connect: float = 0.0  # no connection is opened before then
    last_key: int = 0

    def started(self, now: float) -> int:
        """Notes that a connection is being opened. Returns its key."""
        self.last_key += 1
        self.connections[self.last_key] = ConnectionState(now)
        self.next_connect = now + self.delay * (0.5 + self.random())
        self.delay = min(MAX_RECONNECT_DELAY_S, 2 * self.delay)
        return self.last_key

    def connected(self, now: float, key: int) -> None:
        """Notes that a connection was established."""
        if key in self.connections:
            connection = self.connections[key]
            connection.last_progress, connection.connected = now, True
            connection.silence_deadline = now + SILENCE_TIMEOUT_S + SILENCE_JITTER_S * self.random()

    def received(self, now: float, key: int) -> None:
        """Notes that a connection received something."""
        if key in self.connections:
            self.connected(now, key)
            self.connections[key].received = True
            self.delay = MIN_RECONNECT_DELAY_S

    def closed(self, now: float, key: int) -> None:
        """Notes that a connection was closed or could not be established."""
        connection = self.connections.pop(key, None)
        if connection is not None and connection.received:  # otherwise the delay since its start is enough
            self.next_connect = max(self.next_connect, now + self.delay * (0.5 + self.random()))

    def reset(self) -> None:
        """Forgets all connections, as after a change of the address, and connects at once."""
        self.connections.clear()
        self.delay, self.next_connect = MIN_RECONNECT_DELAY_S, 0.0

    def step(self, now: float) -> ScheduleStep:
        """What to do now. Of several live connections, one that received something is kept."""
        live = [key for key, c in self.connections.items() if c.connected and now < c.silence_deadline]
        if live:
            best = max(
                live, key=lambda key: (self.connections[key].received, self.connections[key].last_progress)
            )
            superseded = (
                [key for key in self.connections if key != best] if self.connections[best].received else []
            )
            return ScheduleStep(False, superseded, max(0.01, self.connections[best].silence_deadline - now))
        overdue = [key for key, c in self.connections.items() if now >= c.deadline()]
        connect = now >= self.next_connect
        if connect and len(self.connections) - len(overdue) >= MAX_CONNECTIONS:  # the oldest makes room
            rest = [key for key in self.connections if key not in overdue]
            overdue.append(min(rest, key=lambda key: self.connections[key].last_progress))
        deadlines = [c.deadline() for key, c in self.connections.items() if key not in overdue]
        next_time = min((time for time in (self.next_connect, *deadlines) if time > now), default=now)
        return ScheduleStep(connect, overdue, max(0.01, next_time - now))
