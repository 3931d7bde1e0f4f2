"""Which connections make room for others, where very many clients connect and stay idle."""

from __future__ import annotations

from onyxpulley.eviction import RANKING_VALID_US, UNDELIVERED_VALID_US, EvictionRanking, evict_one

START = 10**9  # us
EVICTIONS = 64  # while one ranking is valid


class Idle:
    """A connection; all of them together count how often they are looked at."""

    looks = 0
    asked = 0  # whether it is delivered

    def __init__(self, last_activity: int) -> None:
        self.last_activity = last_activity
        self.closed = False
        self.answered = True
        self.delivered = True

    def all_answered(self) -> bool:
        Idle.looks += 1
        return self.answered

    def is_delivered(self) -> bool:
        Idle.asked += 1
        return self.delivered

    def eviction_age(self, now: int) -> int:
        return now - self.last_activity

    def close(self) -> None:
        self.closed = True


class Crowd:
    """Connections, idle since ever later times, and the ranking that evicts them."""

    def __init__(self, count: int) -> None:
        self.all = [Idle(START - 1000 * (count - number)) for number in range(count)]
        self.ranking = EvictionRanking(lambda: [c for c in self.all if not c.closed])

    def evict(self, now: int = START) -> int | None:
        """Evicts one; returns its index, or None if there was none."""
        before = [c.closed for c in self.all]
        if not self.ranking.evict_one(now):
            assert before == [c.closed for c in self.all]
            return None
        (index,) = [i for i, c in enumerate(self.all) if c.closed and not before[i]]
        return index


# Guards against an event loop that lags behind because each accept in a crowd looks at all connections.
def test_a_crowd_is_looked_at_once_for_many_evictions() -> None:
    crowd = Crowd(512)
    Idle.looks = 0
    assert [crowd.evict() for _ in range(EVICTIONS)] == list(range(EVICTIONS))
    assert Idle.looks <= 512 + 2 * EVICTIONS
    assert crowd.evict() == EVICTIONS


def test_what_is_no_longer_idle_since_the_ranking_is_passed_over() -> None:
    crowd = Crowd(10)
    assert crowd.evict() == 0
    crowd.all[1].closed = True
    crowd.all[2].last_activity = START
    crowd.all[3].answered = False
    crowd.all[4].delivered = False
    assert crowd.evict() == 5
    assert crowd.evict(START + RANKING_VALID_US) == 6, "ranked again, with what has changed"
    crowd.all[3].answered = True
    assert crowd.evict(START + 3 * RANKING_VALID_US) == 3


def test_nothing_is_evicted_where_nothing_is_idle() -> None:
    crowd = Crowd(3)
    for connection in crowd.all:
        connection.answered = False
    assert crowd.evict() is None
    crowd.all[2].answered = True
    assert crowd.evict() == 2


# Guards against an accept that takes quadratic time where nothing can be evicted: a drain hung in it.
def test_connections_that_were_not_delivered_are_asked_once_in_a_while() -> None:
    crowd = Crowd(256)
    for connection in crowd.all:
        connection.delivered = False
    Idle.asked = 0
    assert [crowd.evict() for _ in range(100)] == [None] * 100
    assert Idle.asked == 256
    crowd.all[7].last_activity = START  # what waited was read
    crowd.all[7].delivered = True
    assert crowd.evict() == 7
    crowd.all[9].delivered = True
    assert crowd.evict(START + UNDELIVERED_VALID_US) == 9


def test_each_connection_is_asked_once_for_one_eviction() -> None:
    crowd = Crowd(256)
    for connection in crowd.all:
        connection.delivered = False
    Idle.asked = 0
    assert not evict_one(crowd.all, START)
    assert Idle.asked == 256
