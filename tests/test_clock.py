"""Clocks: a step of the wall clock moves no deadline, age, purge or slow start."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from onyxpulley import clock
from onyxpulley.clock import PlatformClock
from soak.deployment import CLASSES
from soak.disturbances import CLOCK_STEPS
from soak.stage import Stage, StageSetup
from soak.traffic import TrafficShape, item_of

HOUR = 3_600_000  # ms
NOW = 1_800_000_000_000  # Unix ms, when the tests' monotonic clock stands at 0


class Hands:
    """A monotonic clock that the test moves, in microseconds."""

    def __init__(self) -> None:
        self.at = 0

    def __call__(self) -> int:
        return self.at


# Guards against tokens, identities and records that jump with the wall clock of a running process.
@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_dates_do_not_follow_a_step_of_the_wall_clock(step: float, monkeypatch: pytest.MonkeyPatch) -> None:
    before = clock.unix_us()
    real = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real() + int(step * 1e9))
    assert 0 <= clock.unix_us() - before < 1_000_000


# Guards against a server that counts as warm, and a copy that counts as fresh, because this clock is wrong.
@pytest.mark.parametrize("off", [-HOUR, -5_000, 0, 5_000, HOUR])
def test_ages_are_on_the_safe_side_however_wrong_this_clock_is(off: int) -> None:
    hands = Hands()
    platform = PlatformClock(hands, own_offset=(NOW + off) * 1000)
    platform.observe_initial(NOW - 2_000)  # the platform's last stamp is two seconds old
    true_age_ms = 3_000
    assert 0 <= platform.min_age_us(NOW - true_age_ms) <= true_age_ms * 1000
    hands.at += 10_000_000
    assert platform.min_age_us(NOW - true_age_ms) <= (true_age_ms + 10_000) * 1000
    platform.observe_event(NOW + 9_900)
    assert platform.min_age_us(NOW) == 9_900_000, "a fresh stamp tells the time"
    platform.observe_copy(NOW + 9_990)
    assert platform.max_age_us(NOW) >= 9_990_000, "a copy counts as no younger than it may be"


def test_a_stamp_far_ahead_of_all_others_proves_nothing() -> None:
    platform = PlatformClock(Hands(), own_offset=NOW * 1000)
    platform.observe_event(NOW)
    platform.observe_event(NOW + HOUR)
    platform.observe_copy(NOW + 100 * HOUR)
    assert platform.min_age_us(NOW) == 0 and platform.max_age_us(NOW) == 0


# Guards against a step of an hour on the real process: deadlines, copies and purges, also after a restart.
@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_a_step_of_the_wall_clock_breaks_no_rule(step: float, tmp_path: Path) -> None:
    async def main() -> None:
        shape = TrafficShape(rate=120.0, objects=40)
        async with Stage(tmp_path, 7, StageSetup(routers=1, shape=shape, classes=CLASSES)) as stage:
            stage.start_traffic()
            shim = stage.shims["n0"]
            for turn in range(4):
                await asyncio.sleep(0.8)
                shim.step_clock(step if turn % 2 == 0 else 0.0)
                for number in range(10):
                    stage.discovery.purge(item_of(number))
                if turn == 2:
                    await stage.restart("n0")
            await asyncio.sleep(2.5)
            await stage.settle()
            broken = stage.verdict()
            assert not broken, "\n".join(map(str, broken[:5]))

    asyncio.run(main())
