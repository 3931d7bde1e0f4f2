"""Slow start: what all routers together send a server that has just started, summed without any I/O."""

from __future__ import annotations

import math
import random
from collections import deque

import pytest

from onyxpulley import interface as api

from .helpers import BASE_SETTINGS, SEC, START, RouterHarness, entries, sent_attempts, with_settings

SIZE_KB = 100.0
WORK = SIZE_KB / BASE_SETTINGS.flow_kb_per_s * SEC  # us of one transfer for a request
WEIGHT = 8.0  # transfers that a server's link carries
PARENT_FROM, PARENT_TIME = 0.1, 18 * SEC
STEP = SEC // 50
DAY = 6 * SEC
RATE = 30.0  # requests of all routers together in a step: far more than the cold server may get


def allowed(warmth: float, multiple: float) -> float:
    """Requests of mean work in one window, with the slack for chance that the platform grants."""
    count = multiple * warmth * WEIGHT * BASE_SETTINGS.cold_window / WORK
    if count < 30:
        return count + 3 * math.sqrt(count) + 3
    return count + 2 * math.sqrt(count) + 2


def rows(cold: str, state: api.ServerState = api.ServerState.READY) -> tuple[api.ServerEntry, ...]:
    """The usual servers with their weights; `cold` started at START."""
    return tuple(
        api.ServerEntry(e.server, e.zone, e.kind, e.cell, state, WEIGHT, START if e.server == cold else 0)
        for e in entries(4, 2)
    )


def started(count: int, cold: str, at: int) -> RouterHarness:
    """A router that starts now, or anew, and is told the list."""
    settings = with_settings(
        routers=count,
        zone_routers=count,
        weights_are_nominal=True,
        parent_cold_initial_share=PARENT_FROM,
        parent_warm_up_time=PARENT_TIME,
    )
    return RouterHarness(settings, rows(cold), at)


def play_one(world: RouterHarness, luck: random.Random, cold: str) -> int:
    """One request with its retry after an error. How many of its attempts reach the cold server."""
    name, actions = world.request(f"x{luck.randrange(400)}", size_kb=SIZE_KB)
    asked = sent_attempts(actions)
    if not asked:
        return 0
    bad = luck.random() < 0.1
    outcome = api.Outcome.ERROR if bad else api.Outcome.SERVED
    asked += sent_attempts(world.finish(name, asked[0], outcome, note=0 if bad else api.Note.FILLED, after=0))
    return sum(cold in (a.server, getattr(a, "source", "")) for a in asked)


@pytest.mark.parametrize("restarts", ["none", "spread", "together"])
@pytest.mark.parametrize("cold", ["c0", "p0"])
@pytest.mark.parametrize("count", [1, 5, 30, 230])
def test_all_routers_together_keep_within_the_slow_start_of_a_server(
    count: int, cold: str, restarts: str
) -> None:
    """Attempts, retries after errors and fills; routers may be new processes at any moment."""
    luck = random.Random(f"{count} {cold}")
    worlds = [started(count, cold, START) for _ in range(count)]
    moments = {"none": lambda: DAY, "spread": lambda: luck.randrange(DAY), "together": lambda: 2 * SEC}
    again = [START + moments[restarts]() for _ in worlds]
    multiple = BASE_SETTINGS.cold_multiple if cold == "c0" else worlds[0].router.settings.parent_cold_multiple
    least, whole = (
        (BASE_SETTINGS.cold_initial_share, BASE_SETTINGS.warm_up_time)
        if cold == "c0"
        else (PARENT_FROM, PARENT_TIME)
    )
    window: deque[int] = deque()
    sent = 0
    for at in range(START, START + DAY, STEP):
        for number in range(count):
            if at - STEP < again[number] <= at:
                worlds[number] = started(count, cold, at)
            world = worlds[number]
            world.now = max(at, world.now)
            for _ in range(int(RATE / count + luck.random())):
                reached = play_one(world, luck, cold)
                sent += reached
                window.extend([at] * reached)
        while window and window[0] < at - BASE_SETTINGS.cold_window:
            window.popleft()
        warmth = least + (1 - least) * min(1.0, (at - START) / whole)
        assert len(window) <= allowed(warmth, multiple), f"{(at - START) / SEC:.2f} s after its start"
    assert sent > 0, "it is not left out either"
