"""What lines of discovery prove about the time at which they were sent; when a connection is renewed."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxpulley.discovery_schedule import MEAN_RENEWAL_DELAY_S, ConnectionSchedule
from onyxpulley.heartbeat_clock import MAX_DRIFT_S, HeartbeatClock


# Guards against taking a heartbeat that was under way for long as proof that the events are known up to now.
@given(
    requested_at=st.floats(0, 1e6),
    first_after=st.floats(0, 1),
    answers_at_once=st.booleans(),
    delays=st.lists(st.floats(0, 2), min_size=1, max_size=30),
)
def test_no_heartbeat_proves_a_time_after_it_was_sent(
    requested_at: float, first_after: float, answers_at_once: bool, delays: list[float]
) -> None:
    clock = HeartbeatClock()
    clock.start(requested_at)
    sent = [requested_at] if answers_at_once else []
    for delay in delays:  # by which the sender's timer is late, each time
        sent.append((sent[-1] + 1 + delay) if len(sent) > answers_at_once else requested_at + first_after)
    for number, sent_at in enumerate(sent, 1):
        assert clock.proven_time(number) <= sent_at + 1e-6


def heartbeat_times(count: int, late_from: int, late_s: float, under_way_s: float = 0.0) -> list[float]:
    """When heartbeats arrive that are sent each second, from one of them on later by `late_s`."""
    return [number + under_way_s + (late_s if number >= late_from else 0.0) for number in range(count)]


@pytest.mark.parametrize("under_way_s", [0.0, 1.8, 5.0])
def test_heartbeats_that_are_always_under_way_for_long_are_not_late(under_way_s: float) -> None:
    clock = HeartbeatClock()
    times = heartbeat_times(30, late_from=30, late_s=0.0, under_way_s=under_way_s)
    assert not any(clock.received(1, arrived_at) for arrived_at in times)


def test_heartbeats_are_late_once_more_than_the_drift_has_built_up() -> None:
    clock = HeartbeatClock()
    late = [clock.received(1, at) for at in heartbeat_times(20, late_from=10, late_s=MAX_DRIFT_S + 0.1)]
    assert late == [False] * 10 + [True] * 10


class Renewals:
    """A schedule with one connection that receives heartbeats, for which another one may be opened."""

    def __init__(self, seed: int = 1) -> None:
        self.schedule = ConnectionSchedule(random.Random(seed).random)
        self.first = self.open(0.0)
        self.schedule.received(0.0, self.first)
        self.opened: list[tuple[float, int]] = []

    def open(self, now: float) -> int:
        key = self.schedule.started(now)
        self.schedule.connected(now, key)
        return key

    def run(self, start: int, end: int, is_late: bool) -> None:
        """One heartbeat a second on the first connection."""
        for now in range(start, end):
            self.schedule.received(now, self.first)
            self.schedule.heartbeat(now, self.first, is_late)
            step = self.schedule.step(now)
            assert self.first not in step.close
            for key in step.close:
                self.schedule.closed(now, key)
            if step.connect:
                self.opened.append((float(now), self.schedule.started(now)))


# Guards against a confirmation that falls ever further behind a discovery whose timer is late.
def test_a_connection_whose_heartbeats_stay_late_is_replaced_without_a_gap() -> None:
    renewals = Renewals()
    renewals.run(1, 10, is_late=False)
    assert not renewals.opened
    now = 10
    while not renewals.opened:
        renewals.run(now, now + 1, is_late=True)
        now += 1
    ((opened_at, second),) = renewals.opened
    assert 10 + 0.5 * MEAN_RENEWAL_DELAY_S <= opened_at <= 11 + 1.5 * MEAN_RENEWAL_DELAY_S
    renewals.schedule.connected(opened_at + 0.1, second)
    assert not renewals.schedule.step(opened_at + 0.1).close, "the first one is kept until that is answered"
    renewals.schedule.received(opened_at + 0.2, second)
    assert renewals.schedule.step(opened_at + 0.2).close == [renewals.first]


def test_one_late_heartbeat_opens_no_connection() -> None:
    renewals = Renewals()
    for start in range(0, 100, 3):
        renewals.run(start, start + 1, is_late=True)
        renewals.run(start + 1, start + 3, is_late=False)
    assert not renewals.opened


# Guards against a storm of connections where discovery takes no new one, or all routers see the same delay.
def test_renewals_that_fail_are_rare_and_spread() -> None:
    first_opened = set()
    for seed in range(20):
        renewals = Renewals(seed)
        for start in range(0, 60):
            renewals.run(start, start + 1, is_late=True)
            for _, key in renewals.opened:
                renewals.schedule.closed(start, key)
        assert (
            60 / (1.5 * MEAN_RENEWAL_DELAY_S + 2) <= len(renewals.opened) <= 60 / (0.5 * MEAN_RENEWAL_DELAY_S)
        )
        first_opened.add(renewals.opened[0][0])
    assert len(first_opened) >= 4
