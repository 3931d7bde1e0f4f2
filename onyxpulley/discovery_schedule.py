"""The schedule of the connections to discovery: decisions only, without sockets or a clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

SILENCE_TIMEOUT_S = 2.2  # two of the numbers sent each second are missing: another connection is opened
SILENCE_JITTER_S = 0.3  # added at random, because all routers see the same silence
DEAD_TIMEOUT_S = 3.5  # silence after which a connection is closed
MIN_RECONNECT_DELAY_S = 0.1  # mean delay between the first two connection attempts, then doubled
MAX_RECONNECT_DELAY_S = 0.5  # events sent meanwhile count already, so the delay stays short
MAX_CONNECTIONS = 4  # at a time: one may hang while the next ones are opened
CONNECT_TIMEOUT_S = MAX_CONNECTIONS * MAX_RECONNECT_DELAY_S  # until connected
# From connecting to the first bytes: by then all that they bring counts as known, received or not.
FIRST_ANSWER_TIMEOUT_S = 7.0
MAX_FIRST_ANSWER_TIMEOUT_S = 56.0  # of the oldest connection, where none was answered within less

MEAN_RENEWAL_DELAY_S = 5.0  # from the first of several late heartbeats to another connection


class Renewal(Enum):
    """Whether another connection is to take the place of one that is alive."""

    NONE = "none"
    DUE = "due"
    UNDER_WAY = "under way"  # the other one was opened


@dataclass(slots=True)
class ConnectionState:
    """What the schedule knows of one connection. Times are in seconds of the monotonic clock."""

    last_progress: float  # when it was started, connected or last received something
    connected: bool = False
    received: bool = False
    silence_deadline: float = 0.0  # until then it counts as alive without receiving more
    renewal: Renewal = Renewal.NONE
    renew_at: float = math.inf  # when the renewal is due, if its heartbeats are still late

    def awaits_answer(self) -> bool:
        """Whether it is established and discovery has sent nothing on it yet."""
        return self.connected and not self.received

    def deadline(self, first_answer_timeout: float) -> float:
        """When it is given up, unless something is received before."""
        if self.awaits_answer():
            return self.last_progress + first_answer_timeout
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
    which discovery sends it, received or not. The oldest that awaits its first answer is kept for twice as
    long each time one was given up in vain, so that discovery is heard however slow it is. Delays are spread
    by `random` in [0, 1), since all routers lose discovery at the same moment."""

    random: Callable[[], float]
    connections: dict[int, ConnectionState] = field(default_factory=dict)
    delay: float = MIN_RECONNECT_DELAY_S  # mean delay until the next connection is opened
    next_connect: float = 0.0  # no connection is opened before then
    last_key: int = 0
    longest_wait: float = FIRST_ANSWER_TIMEOUT_S  # of the oldest connection that awaits its first answer

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
        if key not in self.connections:
            return
        connection = self.connections[key]
        if connection.awaits_answer():
            waited = now - connection.last_progress
            self.longest_wait = min(MAX_FIRST_ANSWER_TIMEOUT_S, max(FIRST_ANSWER_TIMEOUT_S, 2 * waited))
        self.connected(now, key)
        connection.received = True
        self.delay = MIN_RECONNECT_DELAY_S

    def heartbeat(self, now: float, key: int, is_late: bool) -> bool:
        """Notes a heartbeat of a connection. Where they stay late, another connection is opened to take its
        place; returns whether that is to be done now."""
        connection = self.connections.get(key)
        if connection is None or not is_late:
            if connection is not None:
                connection.renew_at = math.inf
            return False
        if connection.renew_at == math.inf:
            connection.renew_at = now + MEAN_RENEWAL_DELAY_S * (0.5 + self.random())
        if now < connection.renew_at:
            return False
        connection.renew_at = math.inf
        connection.renewal = Renewal.DUE
        return True

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
            best = max(live, key=self._preference)
            return self._keep(best, now)
        deadlines = self._deadlines()
        overdue = [key for key, deadline in deadlines.items() if now >= deadline]
        if self._oldest_waiting() in overdue:
            self.longest_wait = min(MAX_FIRST_ANSWER_TIMEOUT_S, 2 * self.longest_wait)
        connect = now >= self.next_connect
        if connect and len(self.connections) - len(overdue) >= MAX_CONNECTIONS:
            overdue.append(self._next_to_make_room(overdue))
        later = [deadline for key, deadline in deadlines.items() if key not in overdue]
        next_time = min((time for time in (self.next_connect, *later) if time > now), default=now)
        return ScheduleStep(connect, overdue, max(0.01, next_time - now))

    def _preference(self, key: int) -> tuple[bool, bool, float]:
        """The greater, the rather a live connection is kept."""
        connection = self.connections[key]
        return connection.received, connection.renewal is Renewal.NONE, connection.last_progress

    def _keep(self, best: int, now: float) -> ScheduleStep:
        """Keeps a live connection, and another one beside it only to take its place."""
        connection = self.connections[best]
        others = [key for key in self.connections if key != best]
        if connection.renewal is Renewal.UNDER_WAY and not others:
            connection.renewal = Renewal.NONE  # the other one failed
        if connection.renewal is Renewal.NONE:
            superseded = others if connection.received else []
            return ScheduleStep(False, superseded, max(0.01, connection.silence_deadline - now))
        is_due = connection.renewal is Renewal.DUE
        connection.renewal = Renewal.UNDER_WAY
        deadlines = self._deadlines()
        overdue = [key for key in others if now >= deadlines[key]]
        next_time = min(connection.silence_deadline, *(deadlines[key] for key in others), math.inf)
        return ScheduleStep(is_due and not others, overdue, max(0.01, next_time - now))

    def _oldest_waiting(self) -> int | None:
        """The key of the oldest connection that awaits its first answer."""
        waiting = [key for key, connection in self.connections.items() if connection.awaits_answer()]
        return min(waiting, key=lambda key: self.connections[key].last_progress, default=None)

    def _deadlines(self) -> dict[int, float]:
        oldest = self._oldest_waiting()
        return {
            key: connection.deadline(self.longest_wait if key == oldest else FIRST_ANSWER_TIMEOUT_S)
            for key, connection in self.connections.items()
        }

    def _next_to_make_room(self, overdue: Sequence[int]) -> int:
        """The oldest connection, but the last one that awaits its first answer goes behind the others."""
        rest = [key for key in self.connections if key not in overdue]
        oldest = self._oldest_waiting()
        return min(rest, key=lambda key: (key == oldest, self.connections[key].last_progress))
