"""Second attempts: each one keeps the limits on attempts, repeats and slow start, decided and written."""

from __future__ import annotations

from dataclasses import replace

from onyxpulley import interface as api
from onyxpulley.interface import Outcome

from .helpers import (
    KEYED,
    SEC,
    RouterHarness,
    entries,
    final_answers,
    sent_attempts,
    single_fetch,
    with_settings,
)

CACHED_JOB = api.ClassSettings(
    "job", 300_000, 5 * SEC, effect=api.Effect.UNSAFE, freshness_lifetime=8 * SEC, grace=30 * SEC
)
CACHED_KEYED = replace(CACHED_JOB, name="keyed-copy", effect=api.Effect.KEYED, dedup_window=1 * SEC)
PAGE_WITH_GRACE = replace(CACHED_JOB, name="page", effect=api.Effect.SAFE)
LATE_ERROR = 90_000  # us; taken for a lost source where answers carry few notes
ONE_SOURCE = entries(4, 1, False)  # an attempt that names it leaves no other source


def harness_with_one_source(**changes: object) -> RouterHarness:
    classes = (CACHED_JOB, CACHED_KEYED, PAGE_WITH_GRACE, KEYED)
    settings = with_settings(classes=classes, notes="hit", bypass_allowed=False, **changes)
    return RouterHarness(settings, ONE_SOURCE)


def fail_late(harness: RouterHarness, cls: str, after: int = LATE_ERROR) -> tuple[str, list[api.Action]]:
    """A request whose first attempt ends with an error; returns its id and what the router does then."""
    name, actions = harness.request(cls=cls)
    sent = single_fetch(actions)
    assert sent.source == "p0"
    return name, harness.finish(name, sent, Outcome.ERROR, after=after)


# Guards against running an unsafe request twice: without a source left, it was sent there again.
def test_an_unsafe_request_is_not_sent_again_for_a_held_copy() -> None:
    name, after = fail_late(harness_with_one_source(), "job")
    assert not sent_attempts(after) and final_answers(after) == [api.Fail(name)]


# The same for a keyed request after its window; within it the cache drops the repeat.
def test_a_keyed_request_is_sent_again_for_a_held_copy_within_its_window_only() -> None:
    name, after = fail_late(harness_with_one_source(), "keyed-copy")
    assert single_fetch(after).source == single_fetch(after).server, "a copy that the cache holds"
    name, after = fail_late(harness_with_one_source(), "keyed-copy", after=CACHED_KEYED.dedup_window)
    assert not sent_attempts(after) and len(final_answers(after)) == 1


# The same for a safe request and a cold cache: such an attempt counts towards the slow start like any other.
def test_a_cold_cache_is_asked_for_a_held_copy_within_its_slow_start_budget_only() -> None:
    harness = harness_with_one_source()
    name, actions = harness.request(cls="page")
    sent = single_fetch(actions)
    harness.update_servers(api.ServerEntry(sent.server, "edge-1", "box", start_time=harness.now))
    server = harness.router.servers[sent.server]
    server.slow_start_work.add(harness.now, 1000.0 * SEC)
    after = harness.finish(name, sent, Outcome.ERROR, after=LATE_ERROR)
    assert not sent_attempts(after) and len(final_answers(after)) == 1


# A cache is asked for a held copy only while there is time to send it, as with every other attempt.
def test_no_held_copy_is_asked_for_that_could_not_be_sent_in_time() -> None:
    harness = harness_with_one_source()
    name, actions = harness.request(cls="page", time_left=LATE_ERROR + 50_000, size_kb=60.0)
    after = harness.finish(name, single_fetch(actions), Outcome.ERROR, after=LATE_ERROR)
    assert not sent_attempts(after) and len(final_answers(after)) == 1


# What the checks must not take away: a safe request still gets the copy that its cache holds.
def test_a_safe_request_is_sent_again_for_a_held_copy() -> None:
    _, after = fail_late(harness_with_one_source(), "page")
    assert single_fetch(after).source == single_fetch(after).server and not final_answers(after)


def recheck(harness: RouterHarness, name: str, attempt: int) -> int | None:
    return harness.router.recheck(harness.now, name, attempt)


# Guards against a repeat that was decided within the window and written after it, on a slow new connection.
def test_a_keyed_request_that_waited_past_its_window_is_not_written_again() -> None:
    harness = RouterHarness()
    name, actions = harness.request(cls=KEYED.name)
    again = harness.finish(name, sent_attempts(actions)[0], Outcome.BROKEN, after=KEYED.dedup_window // 2)
    assert len(sent_attempts(again)) == 1 and recheck(harness, name, 1) is not None
    harness.now += KEYED.dedup_window // 2
    assert recheck(harness, name, 1) is None
    after = harness.finish(name, sent_attempts(again)[0], Outcome.FULL, attempt=1, after=0)
    assert final_answers(after) == [api.Fail(name)]


# A first attempt has no window: however long it waited, nothing of its request can have run.
def test_a_keyed_request_that_was_never_written_has_no_window() -> None:
    harness = RouterHarness()
    name, _ = harness.request(cls=KEYED.name)
    harness.now += 2 * KEYED.dedup_window
    assert recheck(harness, name, 0) is not None


def cold_cache_harness() -> RouterHarness:
    """A router, in service for a while, whose only cache started just now."""
    harness = RouterHarness(with_settings(weights_are_nominal=True), ONE_SOURCE)
    harness.now += 60 * SEC
    rows = [api.ServerEntry("c0", "edge-1", "box", weight=8.0, start_time=harness.now)]
    rows += [api.ServerEntry(f"c{i}", "edge-1", "box", state=api.ServerState.GONE) for i in (1, 2, 3)]
    harness.update_servers(*rows)
    return harness


def send_until_refused(harness: RouterHarness) -> list[str]:
    """New requests until the cold cache's budget is spent; returns the ids of those that were sent to it."""
    names = []
    for number in range(1000):
        name, actions = harness.request(f"x{number}")
        if any(sent.server == "c0" for sent in sent_attempts(actions)):
            names.append(name)
    assert 0 < len(names) < 1000
    return names


def allowed_requests(harness: RouterHarness) -> float:
    """How many requests of mean work the cold cache may be sent in a window that ends now."""
    router = harness.router
    work = router.mean_work(api.Request("mean", "media", "x", 0, size_kb=100.0))
    return router.slow_start_allowance(router.servers["c0"]) / work


# Guards against a second allowance for a cold cache, while what the first one was spent on still waits.
def test_attempts_that_waited_count_towards_the_slow_start_from_their_write() -> None:
    harness = cold_cache_harness()
    waiting = send_until_refused(harness)
    window = harness.router.settings.cold_window
    harness.now += window - 1
    assert all(recheck(harness, name, 0) is not None for name in waiting), "written now"
    harness.now += 2
    later = send_until_refused_or_none(harness)
    assert len(waiting) + len(later) <= allowed_requests(harness)


def send_until_refused_or_none(harness: RouterHarness) -> list[str]:
    """As `send_until_refused`, where none may be sent."""
    sent = [(name, sent_attempts(a)) for name, a in (harness.request(f"y{i}") for i in range(1000))]
    return [name for name, attempts in sent if any(a.server == "c0" for a in attempts)]


# The same where they waited longer than the window: they may be written only as far as it has room again.
def test_attempts_that_waited_past_the_window_need_the_allowance_again() -> None:
    harness = cold_cache_harness()
    waiting = send_until_refused(harness)
    harness.now += harness.router.settings.cold_window + 1
    later = send_until_refused_or_none(harness)
    assert later
    written = [name for name in waiting if recheck(harness, name, 0) is not None]
    assert len(written) + len(later) <= allowed_requests(harness)


# Guards against writing to a cache that has restarted what was counted for its last process.
def test_a_waiting_attempt_needs_the_allowance_of_a_cold_cache_that_restarted() -> None:
    harness = cold_cache_harness()
    (name, *_) = send_until_refused(harness)
    harness.now += 1
    harness.update_servers(api.ServerEntry("c0", "edge-1", "box", weight=8.0, start_time=harness.now))
    assert recheck(harness, name, 0) is None, "the window is full"
