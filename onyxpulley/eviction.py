"""Which connections of clients are closed to make room for others."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

# Idle time counts this many times on a connection on which nothing was ever received. With 2, requests that
# are slow to arrive fail, because their connections are evicted first.
SILENT_CONNECTION_WEIGHT = 4
RANKING_VALID_US = 100_000  # of idle connections; short compared with the time for which they are idle
UNDELIVERED_VALID_US = 20_000  # for which a connection that was not delivered is not looked at again


class EvictableConnection(Protocol):
    """A connection of any front that may be closed to make room for another one."""

    closed: bool
    last_activity: int  # monotonic us

    def all_answered(self) -> bool:
        """Whether no request is open and no answer unsent."""
        ...

    def is_delivered(self) -> bool:
        """Whether the client takes what it is sent, and has sent nothing that waits to be read."""
        ...

    def eviction_age(self, now: int) -> int:
        """Microseconds of idle time, weighted on a connection on which nothing was ever received."""
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


def evict_one(connections: Iterable[EvictableConnection], now: int) -> bool:
    """Closes the longest idle of the connections on which everything is answered; False if there is none.

    Connections that wait for a slow or a next request outlast those that never sent anything. One whose
    request waits to be read, or whose client still reads an answer, only looks idle.
    """
    idle = [connection for connection in connections if connection.all_answered()]
    for connection in sorted(idle, key=lambda c: c.eviction_age(now), reverse=True):
        if connection.is_delivered():
            connection.close()
            return True
    return False


class EvictionRanking:
    """Evicts like `evict_one` from very many connections, and ranks them once for several evictions.

    Under a crowd every accept needs an eviction, and to look at all connections costs ten times as much as to
    accept one. Where many are not delivered, each of them is asked once in a while, and not for each accept.
    """

    def __init__(self, connections: Callable[[], Iterable[EvictableConnection]]) -> None:
        """`connections` returns all that may be evicted now."""
        self.connections = connections
        self.ranked: list[tuple[EvictableConnection, int]] = []  # with its last activity; longest idle last
        self.ranked_at = 0  # monotonic us
        # Connections that were not delivered, with their last activity then, and since when they are noted.
        self.undelivered: dict[EvictableConnection, int] = {}
        self.undelivered_since = 0  # monotonic us

    def evict_one(self, now: int) -> bool:
        """Closes the longest idle connection on which everything is answered; False if there is none."""
        if now - self.undelivered_since >= UNDELIVERED_VALID_US:
            self.undelivered.clear()
            self.undelivered_since = now
        if now - self.ranked_at < RANKING_VALID_US and self._evict_ranked():
            return True
        self._rank(now)
        return self._evict_ranked()

    def _rank(self, now: int) -> None:
        idle = [c for c in self.connections() if c.all_answered() and not self._is_undelivered(c)]
        idle.sort(key=lambda connection: connection.eviction_age(now))
        self.ranked = [(connection, connection.last_activity) for connection in idle]
        self.ranked_at = now

    def _is_undelivered(self, connection: EvictableConnection) -> bool:
        """Whether it was not delivered lately, and nothing has been read or sent since."""
        return self.undelivered.get(connection) == connection.last_activity

    def _evict_ranked(self) -> bool:
        """Closes the next one that is still idle. One that is not is no candidate until the next ranking."""
        while self.ranked:
            connection, last_activity = self.ranked.pop()
            has_rested = not connection.closed and connection.last_activity == last_activity
            if not has_rested or not connection.all_answered():
                continue
            if connection.is_delivered():
                connection.close()
                return True
            self.undelivered[connection] = last_activity
        return False
