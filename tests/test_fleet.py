"""What depends on many routers or many servers: the sum of what a cold server is sent, memory, odd lists."""

from __future__ import annotations

from dataclasses import replace
from itertools import islice

from onyxpulley import interface as api
from onyxpulley.hashing import admission_hash
from onyxpulley.interface import Note, Outcome
from onyxpulley.router import Router

from .helpers import BASE_SETTINGS, SEC, START, RouterHarness, entries, single_fetch, with_settings

ROUTERS = 40
SIZE_KB = 200.0  # which is 0.2 s of work
INTERVAL_MS = 250  # between two requests at each router


def coldest_share_objects(server: str, role: str) -> list[str]:
    """Objects that a server is first for in its role, all in its admission share at its coldest."""
    router = Router(BASE_SETTINGS, 1)
    router.handle(START, api.MembershipUpdate(api.UpdateKind.CACHED, entries()))
    names = (f"k{i}" for i in range(100_000))
    objects = (
        o for o in names if admission_hash(o, server) < 0.1 and router.ranking(role, o)[0].id == server
    )
    return list(islice(objects, 200))


def worst_load_ratio(
    settings: api.Settings, cold: api.ServerEntry, as_source: bool, surge: bool = False
) -> float:
    """Greatest ratio, in any window, of the work sent to a cold server to the work that the rule allows."""
    hot = coldest_share_objects(cold.server, "parent" if as_source else "cache") if surge else []
    routers = [Router(replace(settings, router_index=i), i) for i in range(ROUTERS)]
    now = START
    for router in routers:
        router.handle(now, api.MembershipUpdate(api.UpdateKind.CACHED, entries()))
    sent: list[tuple[int, float]] = []
    started = 0
    for step in range(160):
        now += INTERVAL_MS * 1000
        if step == 100:
            started = now
            for router in routers:
                router.handle(
                    now, api.MembershipUpdate(api.UpdateKind.CHANGES, (replace(cold, start_time=now),))
                )
        for i, router in enumerate(routers):
            name = f"r{i}-{step}"
            obj = hot[(step + i) % len(hot)] if surge and started else f"o{step}-{i}"
            request = api.Request(name, "media", obj, 5 * SEC, group=1, size_kb=SIZE_KB)
            for action in router.handle(now, request):
                if isinstance(action, api.Fetch):
                    reached = action.source if as_source else action.server
                    if started and reached == cold.server:
                        sent.append((now, 0.2 * SEC))
                    done = api.Finished(name, 0, action.server, Outcome.SERVED, 220_000, True, Note.FILLED)
                    router.handle(now, done)
    # load of one server when all are warm
    warm_load = ROUTERS * 0.2 * SEC / (INTERVAL_MS * 1000) / (2 if as_source else 4)
    initial, warm_up_time = (
        (0.1, 30 * SEC) if as_source else (settings.cold_initial_share, settings.warm_up_time)
    )
    multiple = settings.parent_cold_multiple if as_source else settings.cold_multiple
    worst = 0.0
    for at, _ in sent:
        load = sum(work for t, work in sent if at - settings.cold_window < t <= at)
        warmth = initial + (1 - initial) * (at - started) / warm_up_time
        worst = max(worst, load / (multiple * warmth * warm_load * settings.cold_window))
    assert sent, "the cold server must not be starved"
    return worst


def test_forty_routers_together_stay_within_a_cold_caches_allowance() -> None:
    settings = replace(BASE_SETTINGS, routers=ROUTERS, zone_routers=ROUTERS)
    assert worst_load_ratio(settings, api.ServerEntry("c0", "edge-1", "box"), as_source=False) < 1.0


def test_a_surge_on_a_cold_servers_own_objects_stays_within_its_allowance() -> None:
    """All of the objects are in its admission share, so only the budget of each router limits the work."""
    settings = replace(BASE_SETTINGS, routers=ROUTERS, zone_routers=ROUTERS)
    assert (
        worst_load_ratio(settings, api.ServerEntry("c0", "edge-1", "box"), as_source=False, surge=True) < 1.0
    )
    assert (
        worst_load_ratio(settings, api.ServerEntry("p0", "hub", "parent"), as_source=True, surge=True) < 1.0
    )


def test_forty_routers_together_stay_within_a_cold_parents_allowance() -> None:
    settings = replace(BASE_SETTINGS, routers=ROUTERS, zone_routers=ROUTERS)
    assert worst_load_ratio(settings, api.ServerEntry("p0", "hub", "parent"), as_source=True) < 1.0


def test_memory_stays_bounded_while_servers_are_replaced() -> None:
    """A router that runs for months sees thousands of servers come and go."""
    router = Router(BASE_SETTINGS, 1)
    router.handle(START, api.MembershipUpdate(api.UpdateKind.CACHED, entries()))
    for i in range(3000):
        new = api.ServerEntry(f"n{i}", "edge-1", "box", start_time=START + i * SEC)
        old = replace(new, server=f"n{i - 1}", state=api.ServerState.GONE)
        router.handle(
            START + i * SEC, api.MembershipUpdate(api.UpdateKind.CHANGES, (new, old) if i else (new,))
        )
    assert len(router.servers) < 300


def test_unusual_lists_lead_to_ready_servers_only() -> None:
    """Hundreds of servers, starts in the past or the future, one server of each role, or none."""
    many = [api.ServerEntry(f"c{i}", "edge-1", "box", start_time=START + (i - 200) * SEC) for i in range(400)]
    for rows in (
        (*many, *entries(0)),
        entries(1, 1),
        entries(1, 0),
        entries(1, 0, origin=False),
        entries(0, 0, origin=False),
    ):
        ready = {r.server for r in rows}
        router = Router(replace(BASE_SETTINGS, routers=0, zone_routers=0), 1)
        router.handle(START, api.MembershipUpdate(api.UpdateKind.FULL, rows))
        answered = 0
        for i in range(50):
            for action in router.handle(START + i, api.Request(f"r{i}", "media", f"o{i}", SEC, 1, 50.0)):
                if isinstance(action, api.Fetch):
                    assert {action.server, action.source} <= ready
                answered += isinstance(action, api.Fetch | api.Refuse)
        assert answered == 50


def test_nonsensical_outcomes_and_times_raise_nothing() -> None:
    router = Router(BASE_SETTINGS, 1)
    router.handle(START, api.MembershipUpdate(api.UpdateKind.CACHED, entries()))
    (sent, *_) = router.handle(START, api.Request("r", "no such class", "o", SEC))
    assert isinstance(sent, api.Fetch)
    back = START - 10 * SEC
    router.handle(back, api.Finished("r", 7, sent.server, Outcome.SERVED, 5, False, Note.FILLED))
    router.handle(back, api.Finished("r", 0, "nowhere", Outcome.ERROR, 5, False, 99))
    router.handle(back, api.Purged(None, 5))
    router.handle(back, api.Request("s", "media", "o", SEC, size_kb=-5.0))
    after = router.handle(START + SEC, api.Request("t", "media", "o", SEC, size_kb=50.0))
    assert any(isinstance(action, api.Fetch) for action in after)


def fill_parts(harness: RouterHarness, obj: str, parts: range, after: int) -> list[str]:
    """Requests parts of an object, each filled within `after`; returns the parents named as sources."""
    parents = []
    for part in parts:
        name = f"{obj}-{part}-{next(harness.request_numbers)}"
        request = api.Request(name, "media", obj, 5 * SEC, group=1, size_kb=100.0, part=part)
        sent = single_fetch(harness.handle(request, after=100_000))
        parents.append(sent.source)
        harness.handle(api.Finished(name, 0, sent.server, Outcome.SERVED, after, True, Note.FILLED), after)
    return parents


def test_parts_of_a_hot_object_leave_its_jammed_parent_and_every_router_moves_the_same_ones() -> None:
    """Guards against parents that are jammed by the parts of one object.

    Seen with 200 routers: 24 parts of an object requested from 33 zones filled the link of one parent. Three
    of nine parents were jammed, the others loaded to a third, and each router used each parent only once in
    four seconds, too seldom to notice.
    """
    harnesses = [RouterHarness(BASE_SETTINGS, entries(4, 8)) for _ in range(2)]
    parents: list[dict[int, str]] = []  # by router and part
    for number, harness in enumerate(harnesses):
        before = fill_parts(harness, "hot", range(24), 150_000)
        assert len(set(before)) == 1, "all parts have one parent while fills are in time"
        for i in range(20 + 20 * number):  # other traffic, of which the routers see different amounts
            fill_parts(harness, f"o{i}", range(1), 150_000)
        fill_parts(harness, "hot", range(24, 48), 1_200_000)
        parents.append(
            {p: fill_parts(harness, "hot", range(p, p + 1), 1_200_000)[0] for p in range(100, 160)}
        )
        at_primary = sum(parent == before[0] for parent in parents[-1].values())
        assert 0 < at_primary < 40 and len(set(parents[-1].values())) >= 6, (
            "the other parts go to all the other parents"
        )
    same_parents = sum(parents[0][p] == parents[1][p] for p in parents[0])
    assert same_parents > 40, "routers agree on most parts, so few have copies at two parents"
    for i in range(40):
        recovered = fill_parts(harnesses[0], f"q{i}", range(2), 150_000)
    assert len(set(recovered)) == 1, "one parent again once fills are in time"


def test_primary_fills_take_half_of_a_parents_link_as_all_routers_together_would_send_them() -> None:
    """A link can jam within a second, so the limit holds before any router notices late fills."""
    rows = tuple(replace(e, weight=20.0) if e.kind == "parent" else e for e in entries(4, 8))
    parents = {}
    for routers in (4, 200):  # a fill every 0.25 s loads 0.4 transfers; with 200 routers 80
        harness = RouterHarness(replace(BASE_SETTINGS, routers=routers, weights_are_nominal=True), rows)
        fill_parts(harness, "hot", range(60), 150_000)
        parents[routers] = set(fill_parts(harness, "hot", range(100, 140), 150_000))
    assert len(parents[4]) == 1, "an object usually has one parent"
    assert len(parents[200]) == 8


def test_drains_and_changes_elsewhere_keep_the_rankings_of_thousands_of_servers() -> None:
    """Guards against ranking all servers anew at each request, which would stall a router with thousands."""
    many = entries(3_000, 4)
    elsewhere = api.ServerEntry("s0", "edge-2", "box")
    harness = RouterHarness(with_settings(max_tracked_objects=40_000), (*many, elsewhere))
    for number in range(20):
        harness.serve_hit(f"x{number}")
    rankings = dict(harness.router.rankings)
    assert rankings and all(len(row) <= 64 for row in rankings.values())
    harness.update_servers(api.ServerEntry("c7", "edge-1", "box", state=api.ServerState.DRAINING))
    harness.update_servers(api.ServerEntry("s0", "edge-2", "box", state=api.ServerState.GONE))
    harness.update_servers(api.ServerEntry("s1", "edge-2", "box"))
    assert dict(harness.router.rankings) == rankings
    harness.update_servers(api.ServerEntry("c3001", "edge-1", "box"))
    assert not harness.router.rankings, "a new server gets its objects at once"
