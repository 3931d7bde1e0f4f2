"""What only many routers together can break: the sum of all that a cold server is sent."""

from __future__ import annotations

from dataclasses import replace
from itertools import islice

from onyxpulley import interface as api
from onyxpulley.hashing import admission_hash
from onyxpulley.interface import Note, Outcome
from onyxpulley.router import Router

from .helpers import BASE_SETTINGS, SEC, START, RouterHarness, entries, single_fetch, with_settings

ROUTERS = 40
SIZE_KB = 200.0  # each request's sending time is 0.2 s
EACH_MS = 250  # a request at each router this often


def rushed(server: str, role: str) -> list[str]:
    """Objects at home at a server, all of the part that it takes at its coldest."""
    router = Router(BASE_SETTINGS, 1)
    router.handle(START, api.MembershipUpdate(api.UpdateKind.CACHED, entries()))
    names = (f"k{i}" for i in range(100_000))
    home = (o for o in names if admission_hash(o, server) < 0.1 and router.ranking(role, o)[0].id == server)
    return list(islice(home, 200))


def drive(setting: api.Settings, cold: api.ServerEntry, as_source: bool, rush: bool = False) -> float:
    """Work that reaches the cold server in its busiest window, over what the rule allows there."""
    hot = rushed(cold.server, "parent" if as_source else "cache") if rush else []
    routers = [Router(replace(setting, router_index=i), i) for i in range(ROUTERS)]
    now = START
    for router in routers:
        router.handle(now, api.MembershipUpdate(api.UpdateKind.CACHED, entries()))
    sent: list[tuple[int, float]] = []
    started = 0
    for step in range(160):
        now += EACH_MS * 1000
        if step == 100:
            started = now
            for router in routers:
                router.handle(
                    now, api.MembershipUpdate(api.UpdateKind.CHANGES, (replace(cold, start_time=now),))
                )
        for i, router in enumerate(routers):
            name = f"r{i}-{step}"
            obj = hot[(step + i) % len(hot)] if rush and started else f"o{step}-{i}"
            ask = api.Request(name, "media", obj, 5 * SEC, group=1, size_kb=SIZE_KB)
            for action in router.handle(now, ask):
                if isinstance(action, api.Fetch):
                    reached = action.source if as_source else action.server
                    if started and reached == cold.server:
                        sent.append((now, 0.2 * SEC))
                    done = api.Finished(name, 0, action.server, Outcome.SERVED, 220_000, True, Note.FILLED)
                    router.handle(now, done)
    # one server's load when all are warm
    fair = ROUTERS * 0.2 * SEC / (EACH_MS * 1000) / (2 if as_source else 4)
    least, whole = (0.1, 30 * SEC) if as_source else (setting.cold_initial_share, setting.warm_up_time)
    multiple = setting.parent_cold_multiple if as_source else setting.cold_multiple
    worst = 0.0
    for at, _ in sent:
        load = sum(work for t, work in sent if at - setting.cold_window < t <= at)
        warmth = least + (1 - least) * (at - started) / whole
        worst = max(worst, load / (multiple * warmth * fair * setting.cold_window))
    assert sent, "a cold server is not starved"
    return worst


def test_forty_routers_together_stay_within_a_cold_caches_allowance() -> None:
    setting = replace(BASE_SETTINGS, routers=ROUTERS, zone_routers=ROUTERS)
    assert drive(setting, api.ServerEntry("c0", "edge-1", "box"), as_source=False) < 1.0


def test_a_rush_on_a_cold_servers_own_objects_stays_within_its_allowance() -> None:
    """The part by the second hash does not help here: only each router's budget does."""
    setting = replace(BASE_SETTINGS, routers=ROUTERS, zone_routers=ROUTERS)
    assert drive(setting, api.ServerEntry("c0", "edge-1", "box"), as_source=False, rush=True) < 1.0
    assert drive(setting, api.ServerEntry("p0", "hub", "parent"), as_source=True, rush=True) < 1.0


def test_forty_routers_together_stay_within_a_cold_parents_allowance() -> None:
    setting = replace(BASE_SETTINGS, routers=ROUTERS, zone_routers=ROUTERS)
    assert drive(setting, api.ServerEntry("p0", "hub", "parent"), as_source=True) < 1.0


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


def test_a_list_of_hundreds_and_odd_starts_keep_to_ready_servers() -> None:
    """Odd but legal lists: hundreds of servers, starts in the past or the future, one of everything, none."""
    odd = [api.ServerEntry(f"c{i}", "edge-1", "box", start_time=START + (i - 200) * SEC) for i in range(400)]
    for rows in (
        (*odd, *entries(0)),
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


def test_outcomes_and_times_that_make_no_sense_raise_nothing() -> None:
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


def filled(world: RouterHarness, obj: str, parts: range, after: int) -> list[str]:
    """Asks for parts of an object that are all filled `after` so long; the parents that were named."""
    named = []
    for part in parts:
        name = f"{obj}-{part}-{next(world.request_numbers)}"
        ask = api.Request(name, "media", obj, 5 * SEC, group=1, size_kb=100.0, part=part)
        sent = single_fetch(world.handle(ask, after=100_000))
        named.append(sent.source)
        world.handle(api.Finished(name, 0, sent.server, Outcome.SERVED, after, True, Note.FILLED), after)
    return named


def test_a_hot_objects_parts_leave_its_jammed_parent_and_every_router_moves_the_same_ones() -> None:
    """Seen at 200 routers: 24 parts of one lesson from 33 locations filled one parent's link, three of nine
    parents jammed while the others were at a third, and each router met each parent once in four seconds."""
    worlds = [RouterHarness(BASE_SETTINGS, entries(4, 8)) for _ in range(2)]
    kept: list[dict[int, str]] = []
    for no, world in enumerate(worlds):
        calm = filled(world, "hot", range(24), 150_000)
        assert len(set(calm)) == 1, "one parent for all of an object while its fills come in time"
        for i in range(20 + 20 * no):  # the rest of the traffic, of which the routers see unlike shares
            filled(world, f"o{i}", range(1), 150_000)
        filled(world, "hot", range(24, 48), 1_200_000)
        kept.append({p: filled(world, "hot", range(p, p + 1), 1_200_000)[0] for p in range(100, 160)})
        at_home = sum(named == calm[0] for named in kept[-1].values())
        assert 0 < at_home < 40 and len(set(kept[-1].values())) >= 6, "the rest goes to all the others"
    same = sum(kept[0][p] == kept[1][p] for p in kept[0])
    assert same > 40, "one hash of object and part at every router: few parts have two copies above"
    for i in range(40):
        quiet = filled(worlds[0], f"q{i}", range(2), 150_000)
    assert len(set(quiet)) == 1, "back at one parent when fills come in time again"


def test_a_parent_is_home_to_half_its_link_as_all_routers_together_would_fill_it() -> None:
    """Before anything is late: what jams in a second must not wait for a router to see it."""
    rows = tuple(replace(e, weight=20.0) if e.kind == "parent" else e for e in entries(4, 8))
    named = {}
    for routers in (4, 200):  # one fill a quarter of a second is 0.4 of a transfer; at 200 routers 80
        world = RouterHarness(replace(BASE_SETTINGS, routers=routers, weights_are_nominal=True), rows)
        filled(world, "hot", range(60), 150_000)
        named[routers] = set(filled(world, "hot", range(100, 140), 150_000))
    assert len(named[4]) == 1, "the ordinary path: one parent for an object"
    assert len(named[200]) == 8


# Guards against requests that each cost a look at all servers: with thousands of them the router would stall.
def test_what_moves_no_rank_leaves_the_ranks_of_thousands_of_servers() -> None:
    many = entries(3_000, 4)
    elsewhere = api.ServerEntry("s0", "edge-2", "box")
    world = RouterHarness(with_settings(max_tracked_objects=40_000), (*many, elsewhere))
    for number in range(20):
        world.serve_hit(f"x{number}")
    ranks = dict(world.router.rankings)
    assert ranks and all(len(row) <= 64 for row in ranks.values())
    world.update_servers(api.ServerEntry("c7", "edge-1", "box", state=api.ServerState.DRAINING))
    world.update_servers(api.ServerEntry("s0", "edge-2", "box", state=api.ServerState.GONE))
    world.update_servers(api.ServerEntry("s1", "edge-2", "box"))
    assert dict(world.router.rankings) == ranks
    world.update_servers(api.ServerEntry("c3001", "edge-1", "box"))
    assert not world.router.rankings, "a new one takes its objects at once"
