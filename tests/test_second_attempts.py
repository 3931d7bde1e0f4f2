"""Second attempts: each one keeps the limits on attempts, repeats and slow start, decided and written."""

from __future__ import annotations

from dataclasses import replace

from onyxpulley import interface as api
from onyxpulley.interface import Note, Outcome

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


# Guards against running an unsafe request twice: once no source was left, it was sent to the same cache again.
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
