"""What holds at the write, the router's own copies, and the end of a drain: bench-free."""

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


def recheck(world: RouterHarness, name: str, after: int = 0) -> int | None:
    world.now += after
    return world.router.recheck(world.now, name, 0)


def test_what_waited_is_not_written_to_a_server_or_source_that_drains() -> None:
    for role in ("server", "source"):
        world = RouterHarness()
        name, actions = world.request()
        assert recheck(world, name) == 0
        gone = getattr(single_fetch(actions), role)
        row = next(e for e in entries() if e.server == gone)
        world.update_servers(api.ServerEntry(gone, row.zone, row.kind, row.cell, api.ServerState.DRAINING))
        assert recheck(world, name) is None


def test_a_purge_bounds_the_age_of_what_waited() -> None:
    world = RouterHarness()
    name, _ = world.request("x")
    world.handle(api.Purged(1, 40_000, "x"))
    bound = recheck(world, name, 10_000)
    assert bound is not None and 0 < bound < 50_000


def test_a_server_that_started_cold_meanwhile_takes_what_waited_only_within_its_allowance() -> None:
    world = RouterHarness()
    name, actions = world.request()
    row = next(e for e in entries() if e.server == single_fetch(actions).server)
    world.update_servers(
        api.ServerEntry(row.server, row.zone, row.kind, row.cell, api.ServerState.READY, 1.0, world.now)
    )
    assert recheck(world, name) is None


def test_any_proof_lets_a_job_go_on_and_be_refused() -> None:
    world = RouterHarness()
    name, actions = world.request(cls="sign")
    for attempt in range(8):
        sent = [a for a in actions if isinstance(a, api.Forward | api.Fetch)]
        if not sent:
            break
        actions = world.finish(name, sent[0], api.Outcome.FULL, attempt=attempt)
    assert attempt > 1 and isinstance(final_answers(actions)[0], api.Refuse)


def own(world: RouterHarness, age: int, cls: str = "pages", kb: float = 50.0) -> bool:
    request = api.Request(f"own{world.now}", cls, "x", 2 * SEC, group=1, size_kb=kb, own_copy_age=age)
    return any(isinstance(a, api.ServeOwnCopy) for a in world.handle(request, 1))


def test_an_own_copy_keeps_to_age_purge_link_and_class() -> None:
    world = RouterHarness(with_settings(link_transfers=2.0))
    assert own(world, 1 * SEC)
    assert not own(world, 8 * SEC)  # past its fresh time
    assert not own(world, 0, "sign")  # a job runs
    world.handle(api.Purged(1, 0, "x"))
    assert (
        not own(world, 1 * SEC) and own(world, 0 * SEC) is False
    )  # older than the purge, or not surely newer
    busy = RouterHarness(with_settings(link_transfers=2.0))
    served = [own(busy, 1 * SEC, kb=100.0) for _ in range(20)]
    assert served[0] and not served[-1]  # the link is full: a cache is quicker
    assert not own(RouterHarness(), 1 * SEC)  # no link told: no copies


def test_a_confirmed_copy_tells_no_pace() -> None:
    world = RouterHarness()
    for _ in range(50):
        name, actions = world.request()
        sent = single_fetch(actions)
        world.handle(
            api.Finished(
                name, 0, sent.server, api.Outcome.SERVED, 2_000, True, api.Note.HIT, not_modified=True
            ),
            2_000,
        )
    assert world.router.base_latency == RouterHarness().router.base_latency


def test_settle_ends_a_request_at_once_and_only_once() -> None:
    world = RouterHarness()
    safe, _ = world.request()
    job, _ = world.request(cls="sign")
    assert isinstance(final_answers(world.router.force_answer(START + 1, safe))[0], api.Refuse)
    assert isinstance(final_answers(world.router.force_answer(START + 1, job))[0], api.Fail)
    assert not world.router.force_answer(START + 2, job)


# Guards against a server that is blamed, or a job that fails, because this machine could make no connection.
def test_a_connection_that_could_not_be_made_here_blames_no_server() -> None:
    world = RouterHarness()
    name, actions = world.request(cls="sign")
    first = sent_attempts(actions)[0]
    for attempt in range(4):
        actions = world.finish(name, sent_attempts(actions)[0], api.Outcome.NOT_CONNECTED, attempt=attempt)
        assert sent_attempts(actions)[0].server == first.server
    server = world.router.servers[first.server]
    assert not server.consecutive_failures and not server.ejected_until and world.router.is_usable(server)
