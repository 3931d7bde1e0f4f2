"""Slow start: the sum of what all routers send a server that has just started, without any I/O."""

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
PARENT_COLD_FROM, PARENT_COLD_TIME = 0.1, 18 * SEC
STEP = SEC // 50
SIMULATED_TIME = 6 * SEC
REQUESTS_PER_STEP = 30.0  # of all routers together, far more than a cold server may get


def allowed(warmth: float, multiple: float) -> float:
    """Requests of mean work allowed in one window, with the platform's tolerance for random variation."""
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


def start_router(count: int, cold: str, at: int) -> RouterHarness:
    """A router that starts or restarts at a time and gets the list."""
    settings = with_settings(
        routers=count,
        zone_routers=count,
        weights_are_nominal=True,
        parent_cold_initial_share=PARENT_COLD_FROM,
        parent_warm_up_time=PARENT_COLD_TIME,
    )
    return RouterHarness(settings, rows(cold), at)


def run_request(harness: RouterHarness, rng: random.Random, cold: str) -> int:
    """Plays one request and its retry after an error; returns how many attempts reach the cold server."""
    name, actions = harness.request(f"x{rng.randrange(400)}", size_kb=SIZE_KB)
    attempts = sent_attempts(actions)
    if not attempts:
        return 0
    is_error = rng.random() < 0.1
    outcome = api.Outcome.ERROR if is_error else api.Outcome.SERVED
    attempts += sent_attempts(
        harness.finish(name, attempts[0], outcome, note=0 if is_error else api.Note.FILLED, after=0)
    )
    return sum(cold in (a.server, getattr(a, "source", "")) for a in attempts)


@pytest.mark.parametrize("restarts", ["none", "spread", "together"])
@pytest.mark.parametrize("cold", ["c0", "p0"])
@pytest.mark.parametrize("count", [1, 5, 30, 230])
def test_all_routers_together_keep_within_the_slow_start_allowance(
    count: int, cold: str, restarts: str
) -> None:
    """Counts attempts, retries after errors and fills. Routers restart never, at random times or together."""
    rng = random.Random(f"{count} {cold}")
    harnesses = [start_router(count, cold, START) for _ in range(count)]
    restart_offset = {
        "none": lambda: SIMULATED_TIME,
        "spread": lambda: rng.randrange(SIMULATED_TIME),
        "together": lambda: 2 * SEC,
    }
    restart_times = [START + restart_offset[restarts]() for _ in harnesses]
    multiple = (
        BASE_SETTINGS.cold_multiple if cold == "c0" else harnesses[0].router.settings.parent_cold_multiple
    )
    initial, warm_up_time = (
        (BASE_SETTINGS.cold_initial_share, BASE_SETTINGS.warm_up_time)
        if cold == "c0"
        else (PARENT_COLD_FROM, PARENT_COLD_TIME)
    )
    window: deque[int] = deque()
    sent = 0
    for at in range(START, START + SIMULATED_TIME, STEP):
        for number in range(count):
            if at - STEP < restart_times[number] <= at:
                harnesses[number] = start_router(count, cold, at)
            harness = harnesses[number]
            harness.now = max(at, harness.now)
            for _ in range(int(REQUESTS_PER_STEP / count + rng.random())):
                reached = run_request(harness, rng, cold)
                sent += reached
                window.extend([at] * reached)
        while window and window[0] < at - BASE_SETTINGS.cold_window:
            window.popleft()
        warmth = initial + (1 - initial) * min(1.0, (at - START) / warm_up_time)
        assert len(window) <= allowed(warmth, multiple), (
            f"{(at - START) / SEC:.2f} s after the start of the server"
        )
    assert sent > 0, "the cold server must not be starved"
