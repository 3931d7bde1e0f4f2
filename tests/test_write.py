"""The check before an attempt is written, the router's own copies, and answers at the end of a drain."""

from __future__ import annotations

from onyxpulley import interface as api

from .helpers import (
    SEC,
    START,
    RouterHarness,
    entries,
    final_answers,
    sent_attempts,
    single_fetch,
    with_settings,
)


def recheck(harness: RouterHarness, name: str, after: int = 0) -> int | None:
    harness.now += after
    return harness.router.recheck(harness.now, name, 0)


def test_a_waiting_attempt_is_not_written_once_its_server_or_source_drains() -> None:
    for role in ("server", "source"):
        harness = RouterHarness()
        name, actions = harness.request()
        assert recheck(harness, name) == 0
        draining = getattr(single_fetch(actions), role)
        entry = next(e for e in entries() if e.server == draining)
        harness.update_servers(
            api.ServerEntry(draining, entry.zone, entry.kind, entry.cell, api.ServerState.DRAINING)
        )
        assert recheck(harness, name) is None


def test_a_purge_limits_the_copy_age_of_a_waiting_attempt() -> None:
    harness = RouterHarness()
    name, _ = harness.request("x")
    harness.handle(api.Purged(1, 40_000, "x"))
    bound = recheck(harness, name, 10_000)
    assert bound is not None and 0 < bound < 50_000


def test_a_waiting_attempt_is_written_to_a_server_that_started_meanwhile_only_within_its_cold_limit() -> None:
    harness = RouterHarness()
    name, actions = harness.request()
    entry = next(e for e in entries() if e.server == single_fetch(actions).server)
    harness.update_servers(
        api.ServerEntry(
            entry.server, entry.zone, entry.kind, entry.cell, api.ServerState.READY, 1.0, harness.now
        )
    )
    assert recheck(harness, name) is None


def test_an_unsafe_request_that_never_ran_is_retried_and_may_be_refused() -> None:
    harness = RouterHarness()
    name, actions = harness.request(cls="sign")
    for attempt in range(8):
        sent = [a for a in actions if isinstance(a, api.Forward | api.Fetch)]
        if not sent:
            break
        actions = harness.finish(name, sent[0], api.Outcome.FULL, attempt=attempt)
    assert attempt > 1 and isinstance(final_answers(actions)[0], api.Refuse)


def served_from_own_copy(harness: RouterHarness, age: int, cls: str = "pages", kb: float = 50.0) -> bool:
    request = api.Request(f"own{harness.now}", cls, "x", 2 * SEC, group=1, size_kb=kb, own_copy_age=age)
    return any(isinstance(a, api.ServeOwnCopy) for a in harness.handle(request, 1))


def test_an_own_copy_is_served_within_the_limits_of_age_purge_link_and_class() -> None:
    harness = RouterHarness(with_settings(link_transfers=2.0))
    assert served_from_own_copy(harness, 1 * SEC)
    assert not served_from_own_copy(harness, 8 * SEC)  # beyond the freshness lifetime
    assert not served_from_own_copy(harness, 0, "sign")  # the class is not cached
    harness.handle(api.Purged(1, 0, "x"))
    assert not served_from_own_copy(harness, 1 * SEC)  # older than the purge
    assert served_from_own_copy(harness, 0 * SEC) is False  # not certainly newer than the purge
    busy = RouterHarness(with_settings(link_transfers=2.0))
    served = [served_from_own_copy(busy, 1 * SEC, kb=100.0) for _ in range(20)]
    assert served[0] and not served[-1]  # this router's link is full: a cache is faster
    assert not served_from_own_copy(RouterHarness(), 1 * SEC)  # no link capacity: no own copies


def test_a_not_modified_answer_does_not_change_the_latency_estimate() -> None:
    harness = RouterHarness()
    for _ in range(50):
        name, actions = harness.request()
        sent = single_fetch(actions)
        harness.handle(
            api.Finished(
                name, 0, sent.server, api.Outcome.SERVED, 2_000, True, api.Note.HIT, not_modified=True
            ),
            2_000,
        )
    assert harness.router.base_latency == RouterHarness().router.base_latency


def test_a_request_is_answered_at_once_at_the_end_of_a_drain_and_only_once() -> None:
    harness = RouterHarness()
    safe, _ = harness.request()
    unsafe, _ = harness.request(cls="sign")
    assert isinstance(final_answers(harness.router.force_answer(START + 1, safe))[0], api.Refuse)
    assert isinstance(final_answers(harness.router.force_answer(START + 1, unsafe))[0], api.Fail)
    assert not harness.router.force_answer(START + 2, unsafe)


# Lack of sockets on this machine must neither mark a server as failing nor fail an unsafe request.
def test_a_connection_that_this_machine_could_not_make_is_no_failure_of_the_server() -> None:
    harness = RouterHarness()
    name, actions = harness.request(cls="sign")
    first = sent_attempts(actions)[0]
    for attempt in range(4):
        actions = harness.finish(name, sent_attempts(actions)[0], api.Outcome.NOT_CONNECTED, attempt=attempt)
        assert sent_attempts(actions)[0].server == first.server
    server = harness.router.servers[first.server]
    assert not server.consecutive_failures and not server.ejected_until and harness.router.is_usable(server)
