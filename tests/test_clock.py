"""Clocks: a step of the wall clock changes no deadline, age, purge or slow start."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from onyxpulley import clock
from onyxpulley.clock import PlatformClock
from soak.cluster import Cluster, ClusterOptions
from soak.deployment import CLASSES
from soak.disturbances import CLOCK_STEPS
from soak.traffic import TrafficProfile, object_id

HOUR_MS = 3_600_000
NOW_MS = 1_800_000_000_000  # Unix time at which the test's monotonic clock is 0


class ManualClock:
    """A monotonic clock in microseconds that the test advances."""

    def __init__(self) -> None:
        self.now = 0

    def __call__(self) -> int:
        return self.now


# Guards against tokens, identities and records that follow a step of the wall clock while the process runs.
@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_dates_do_not_follow_a_step_of_the_wall_clock(step: float, monkeypatch: pytest.MonkeyPatch) -> None:
    before = clock.unix_us()
    real_time_ns = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real_time_ns() + int(step * 1e9))
    assert 0 <= clock.unix_us() - before < 1_000_000


# Guards against a cold server that counts as warm, and a stale copy that counts as fresh, because this
# machine's clock is wrong.
@pytest.mark.parametrize("error_ms", [-HOUR_MS, -5_000, 0, 5_000, HOUR_MS])
def test_ages_are_bounded_on_the_safe_side_however_wrong_this_clock_is(error_ms: int) -> None:
    manual_clock = ManualClock()
    platform = PlatformClock(manual_clock, local_offset=(NOW_MS + error_ms) * 1000)
    platform.observe_initial(NOW_MS - 2_000)  # the platform's last timestamp is two seconds old
    true_age_ms = 3_000
    assert 0 <= platform.min_age_us(NOW_MS - true_age_ms) <= true_age_ms * 1000
    manual_clock.now += 10_000_000
    assert platform.min_age_us(NOW_MS - true_age_ms) <= (true_age_ms + 10_000) * 1000
    platform.observe_event(NOW_MS + 9_900)
    assert platform.min_age_us(NOW_MS) == 9_900_000, "a fresh timestamp tells the exact time"
    platform.observe_copy(NOW_MS + 9_990)
    assert platform.max_age_us(NOW_MS) >= 9_990_000, "a copy counts as no younger than it may be"


def test_a_timestamp_far_ahead_of_all_others_is_ignored() -> None:
    platform = PlatformClock(ManualClock(), local_offset=NOW_MS * 1000)
    platform.observe_event(NOW_MS)
    platform.observe_event(NOW_MS + HOUR_MS)
    platform.observe_copy(NOW_MS + 100 * HOUR_MS)
    assert platform.min_age_us(NOW_MS) == 0 and platform.max_age_us(NOW_MS) == 0


# Steps the clock of the real process by an hour, also across a restart. Guards against deadlines, copies and
# purges that depend on the wall clock.
@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_a_step_of_the_wall_clock_breaks_no_rule(step: float, tmp_path: Path) -> None:
    async def main() -> None:
        profile = TrafficProfile(requests_per_s=120.0, objects=40)
        async with Cluster(
            tmp_path, 7, ClusterOptions(routers=1, traffic_profile=profile, classes=CLASSES)
        ) as cluster:
            cluster.start_traffic()
            shim = cluster.shims["n0"]
            for turn in range(4):
                await asyncio.sleep(0.8)
                shim.step_clock(step if turn % 2 == 0 else 0.0)
                for number in range(10):
                    cluster.discovery.publish_purge(object_id(number))
                if turn == 2:
                    await cluster.restart("n0")
            await asyncio.sleep(2.5)
            await cluster.wait_for_open_requests()
            violations = cluster.find_violations()
            assert not violations, "\n".join(map(str, violations[:5]))

    asyncio.run(main())
