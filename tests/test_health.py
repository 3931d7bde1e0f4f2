"""One test for each trouble that was found in measured days."""

from dataclasses import replace

from onyxpulley import interface as api
from onyxpulley.interface import Note, Outcome

from .helpers import SEC, RouterHarness, final_answers, sent_attempts, single_fetch, with_settings


def owned_by(world: RouterHarness, server: str, count: int) -> list[str]:
    names = (f"k{i}" for i in range(10_000))
    return [o for o in names if world.router.ranking("cache", o)[0].id == server][:count]


def fail(world: RouterHarness, server: str, outcome: Outcome, took: int, times: int = 3) -> None:
    for obj in owned_by(world, server, times):
        name, actions = world.request(obj)
        sent = single_fetch(actions)
        if sent.server == server:
            world.finish(name, sent, outcome, after=took)


def test_three_straight_losses_take_a_cache_out_and_a_later_trial_brings_it_back() -> None:
    world = RouterHarness()
    mine = owned_by(world, "c1", 20)
    fail(world, "c1", Outcome.UNREACHABLE, 1000)
    assert single_fetch(world.request(mine[5])[1]).server != "c1"
    world.now += 3 * SEC
    name, actions = world.request(mine[6])
    trial = single_fetch(actions)
    assert trial.server == "c1"
    assert single_fetch(world.request(mine[7])[1]).server != "c1", "one trial at a time"
    world.finish(name, trial, note=Note.HIT)
    assert not world.router.servers["c1"].ejected_until
    assert world.router.servers["c1"].slow_start_since, "it may have restarted: it counts as cold"


def test_a_connection_that_ends_is_one_failure_and_its_requests_are_asked_there_again() -> None:
    world = RouterHarness()
    mine = owned_by(world, "c1", 20)
    out = [(o, *world.request(o)) for o in mine]
    again = [
        sent_attempts(world.finish(name, single_fetch(a), Outcome.BROKEN, after=0))[0] for _, name, a in out
    ]
    assert {a.server for a in again} == {"c1"} and not world.router.servers["c1"].ejected_until
    moved = sent_attempts(world.finish(out[0][1], again[0], Outcome.BROKEN, attempt=1, after=30_000))[0]
    assert moved.server != "c1", "once, not for ever"
    for i in (1, 2):
        world.finish(out[i][1], again[i], Outcome.BROKEN, attempt=1, after=30_000)
    assert world.router.servers["c1"].ejected_until, "three ends in a row are three failures"


def test_a_lost_answer_of_a_quick_cache_is_asked_for_there_again_and_then_elsewhere() -> None:
    world = RouterHarness()
    mine = owned_by(world, "c1", 20)
    for i in range(60):
        world.serve_hit(f"w{i}")
    name, actions = world.request(mine[0])
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    world.now += 200_000
    world.serve_hit(mine[1])
    again = world.handle(api.TimerDue(timer.token), timer.delay - 200_000)
    assert sent_attempts(again)[0].server == "c1"
    (timer,) = [a for a in again if isinstance(a, api.SetTimer)]
    world.serve_hit(mine[2])
    assert sent_attempts(world.handle(api.TimerDue(timer.token), timer.delay))[0].server != "c1"


def test_a_late_answer_of_a_crowded_cache_is_waited_for() -> None:
    world = RouterHarness()
    mine = owned_by(world, "c1", 20)
    for obj in mine[1:9]:
        name, actions = world.request(obj)
        world.finish(name, single_fetch(actions), note=Note.HIT, after=400_000)
    name, actions = world.request(mine[0])
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    world.serve_hit(mine[10])
    assert not sent_attempts(world.handle(api.TimerDue(timer.token), timer.delay))


def test_a_cache_that_answers_is_not_lost_and_comes_back_warm() -> None:
    world = RouterHarness()
    mine = owned_by(world, "c1", 20)
    fail(world, "c1", Outcome.UNREACHABLE, 1000, times=1)
    world.serve_hit(mine[5])
    for obj in mine[6:9]:
        name, actions = world.request(obj)
        world.finish(name, single_fetch(actions), Outcome.BROKEN, after=80_000)
    assert world.router.servers["c1"].ejected_until
    world.now += 3 * SEC
    world.serve_hit(mine[9])
    assert not world.router.servers["c1"].ejected_until and not world.router.servers["c1"].slow_start_since


def test_answers_to_sends_from_before_the_loss_do_not_lift_the_mark() -> None:
    world = RouterHarness()
    mine = owned_by(world, "c1", 20)
    old, actions = world.request(mine[10])
    sent = single_fetch(actions)
    fail(world, "c1", Outcome.UNREACHABLE, 1000)
    world.finish(old, sent, note=Note.HIT)
    assert world.router.servers["c1"].ejected_until


def test_quick_errors_are_retried_and_do_not_take_the_cache_out() -> None:
    world = RouterHarness()
    name, actions = world.request("x")
    first = single_fetch(actions)
    again = sent_attempts(world.finish(name, first, Outcome.ERROR, after=3000))[0]
    assert again.server == first.server, "once more where the copy is"
    last = sent_attempts(world.finish(name, again, Outcome.ERROR, after=3000, attempt=1))[0]
    assert last.server != first.server
    fail(world, "c1", Outcome.ERROR, 3000, times=6)
    assert not world.router.servers["c1"].ejected_until


def test_late_errors_take_neither_caches_nor_sources_out_where_notes_tell_all() -> None:
    world = RouterHarness()
    for i in range(120):
        name, actions = world.request(f"k{i}")
        sent = single_fetch(actions)
        if i % 3:
            world.finish(name, sent, note=Note.HIT)
            continue
        world.handle(api.Finished(name, 0, sent.server, Outcome.ERROR, 200_000, True), 200_000)
    servers = world.router.servers.values()
    assert not any(s.ejected_until for s in servers)
    assert all(s.admission_share == 1.0 for s in servers if s.role == "parent")
    assert all(single_fetch(world.request(f"n{i}")[1]).source in ("p0", "p1") for i in range(50))


def test_refusals_of_a_crowded_cache_are_no_strikes_but_shrink_its_part() -> None:
    world = RouterHarness()
    for _ in range(40):
        fail(world, "c1", Outcome.FULL, 1000, times=1)
        world.now += SEC
    assert not world.router.servers["c1"].ejected_until
    assert world.router.servers["c1"].admission_share < 0.5


def test_slow_answers_shrink_the_part_and_the_others_keep_their_objects() -> None:
    world = RouterHarness()
    mine, others = owned_by(world, "c1", 60), owned_by(world, "c2", 30)
    for i in range(60):
        name, actions = world.request(mine[i % 60])
        sent = single_fetch(actions)
        world.finish(name, sent, note=Note.HIT, after=800_000 if sent.server == "c1" else 120_000)
    moved = [single_fetch(world.request(o)[1]).server != "c1" for o in mine]
    assert any(moved)
    assert all(single_fetch(world.request(o)[1]).server == "c2" for o in others)


def reporting(held: float, waited: int = 0) -> RouterHarness:
    """A world whose caches, of four transfers each, last reported so many requests in hand."""
    world = RouterHarness(
        with_settings(weights_are_nominal=True, load_report_fields=("busy_reqs",), bypass_allowed=False)
    )
    world.update_servers(*(api.ServerEntry(f"c{i}", "edge-1", "box", weight=4.0) for i in range(4)))
    last = [owned_by(world, f"c{i}", 1)[0] for i in range(4)]
    for no, obj in enumerate([f"w{i}" for i in range(60)] + last):
        name, actions = world.request(obj)
        sent, took, load = single_fetch(actions), 120_000 + waited, held if no >= 60 else 2.0
        done = api.Finished(name, 0, sent.server, Outcome.SERVED, took, True, Note.HIT, waited, (load,))
        world.handle(done, took)
    return world


def test_a_rush_is_refused_by_the_reports_before_answers_are_late_and_let_in_once_they_tell_of_room() -> None:
    assert all(sent_attempts(reporting(4.0).request(f"n{i}")[1]) for i in range(20))
    world = reporting(40.0)
    assert all(world.router.current_latency_ratio(s) < 1.5 for s in world.router.servers.values())
    assert not any(sent_attempts(world.request(f"n{i}")[1]) for i in range(20))
    for server in world.router.servers.values():
        server.latency_ratio, server.latency_sampled_at, server.load_of_others = 8.0, world.now, 0.0
    assert all(sent_attempts(world.request(f"m{i}")[1]) for i in range(4))


def test_a_report_that_is_repeated_does_not_make_the_others_vanish_while_this_router_sends_more() -> None:
    """Two routers that fill the same cache together: each report is older than what both sent since."""
    world = reporting(10.0)
    cache = world.router.servers["c0"]
    assert cache.load_of_others == 10.0
    mine = [
        (name, single_fetch(actions))
        for name, actions in (world.request(o) for o in owned_by(world, "c0", 9))
    ]
    assert len(mine) == 9 and cache.load_of_others == 10.0
    name, sent = mine[0]
    done = api.Finished(name, 0, sent.server, Outcome.SERVED, 120_000, True, Note.HIT, 0, (10.0,))
    world.handle(done, 120_000)
    assert cache.load_of_others == 10.0, "the same report again"
    world.handle(replace(done, id=mine[1][0], load=(24.0,)), 1000)
    assert cache.load_of_others == 24.0 - len(cache.in_flight) < 20.0, "a new one, against what is out now"


def test_a_fill_at_a_crowded_cache_is_begun_only_with_a_margin_and_a_hit_is_still_asked_for() -> None:
    sources = [
        single_fetch(reporting(held).request("n1", size_kb=300.0, time_left=4 * SEC)[1])
        for held in (4.0, 10.0)
    ]
    assert [s.only_if_cached or s.source == s.server for s in sources] == [False, True]


def test_requests_that_wait_for_a_slow_source_do_not_count_as_crowding() -> None:
    world = reporting(12.0, waited=2_000_000)
    assert all(sent_attempts(world.request(f"n{i}", time_left=4 * SEC)[1]) for i in range(4))


def test_waiting_for_a_parents_copy_does_not_speak_against_the_link() -> None:
    slow = []
    for waited in (900_000, 0):
        world = RouterHarness()
        for i in range(40):
            name, actions = world.request(f"w{i}")
            sent, took = single_fetch(actions), 1_000_000
            note = Note.FILLED
            world.handle(api.Finished(name, 0, sent.server, Outcome.SERVED, took, True, note, waited), took)
        slow.append(world.router.current_latency_ratio(world.router.inbound_link))
    assert slow[0] < 1.2 and slow[1] > 1.5, "without a wait that is told it does"


def test_all_caches_crowded_refuses_what_would_be_late() -> None:
    world = RouterHarness(with_settings(bypass_allowed=False))
    for server in world.router.servers.values():
        if server.role == "cache":
            (
                server.latency_ratio,
                server.admission_share,
                server.share_updated_at,
                server.latency_sampled_at,
            ) = 8.0, 0.0, world.now, world.now
    name, actions = world.request("big", size_kb=500.0)
    assert final_answers(actions) == [api.Refuse(name, 500_000)]
    assert sent_attempts(world.request("small", "pages", size_kb=1.0)[1])


def test_silent_cache_is_left_before_the_clients_deadline() -> None:
    world = RouterHarness()
    mine = owned_by(world, "c1", 6)
    asked = [world.request(o) for o in mine]
    timers = [a for _, actions in asked for a in actions if isinstance(a, api.SetTimer)]
    world.now += max(t.delay for t in timers)
    actions = [a for t in timers for a in world.handle(api.TimerDue(t.token))]
    assert world.router.servers["c1"].ejected_until
    assert {s.server for s in sent_attempts(actions)} and all(
        s.server != "c1" for s in sent_attempts(actions)
    )


def test_without_second_copies_the_late_attempt_is_cancelled_first() -> None:
    world = RouterHarness(with_settings(may_hedge=False))
    mine = owned_by(world, "c1", 6)
    asked = [world.request(o) for o in mine]
    timers = [a for _, actions in asked for a in actions if isinstance(a, api.SetTimer)]
    world.now += max(t.delay for t in timers)
    actions = [a for t in timers for a in world.handle(api.TimerDue(t.token))]
    cancels = [a for a in actions if isinstance(a, api.Cancel)]
    assert cancels and not sent_attempts(actions)
    again = world.finish(cancels[0].id, single_fetch(asked[0][1]), Outcome.CANCELLED)
    assert sent_attempts(again)


def test_unknown_ids_are_passed_over() -> None:
    world = RouterHarness()
    assert world.handle(api.Finished("nobody", 0, "c0", Outcome.SERVED, 5, True)) == []
    assert world.handle(api.Finished("nobody", 0, "nowhere", Outcome.ERROR)) == []
    assert world.handle(api.TimerDue(999)) == []
    assert world.handle(api.ClientGone("nobody")) == []
    assert world.handle(api.Probed("nowhere", Outcome.SERVED)) == []


def test_objects_asked_for_again_rank_above_one_offs() -> None:
    world = RouterHarness()
    assert single_fetch(world.request("x")[1]).retention_rank == 1
    assert single_fetch(world.request("x")[1]).retention_rank == 2


def test_rush_on_one_object_goes_to_more_than_one_cache_and_ends_with_it() -> None:
    """Incident i729362: a few objects at once took a good part of all bytes, each at one home."""
    world = RouterHarness()
    for i in range(100):
        world.serve_hit(f"o{i}")
    rush = [single_fetch(world.request("hot")[1]).server for _ in range(60)]
    assert len(set(rush)) > 1
    world.now += 60 * SEC
    for i in range(100):
        world.serve_hit(f"o{i}")
    assert single_fetch(world.request("hot")[1]).server == rush[0]


def test_failed_origin_is_not_asked_again_but_a_stale_copy_is() -> None:
    world = RouterHarness()
    name, actions = world.request("x", "pages")
    first = single_fetch(actions)
    again = world.finish(name, first, Outcome.FULL, Note.ORIGIN_FAILED, after=1000)
    (held,) = sent_attempts(again)
    assert isinstance(held, api.Fetch) and held.source == held.server == first.server
    assert held.max_age == 28 * SEC
    name, actions = world.request("y", "media")
    assert final_answers(
        world.finish(name, single_fetch(actions), Outcome.FULL, Note.ORIGIN_FAILED, after=1000)
    )


def test_what_a_parent_refuses_goes_to_another_parent_never_past_them() -> None:
    world = RouterHarness()
    name, actions = world.request("x")
    first = single_fetch(actions)
    (second,) = sent_attempts(world.finish(name, first, Outcome.FULL, Note.SOURCE_REFUSED, after=1000))
    assert isinstance(second, api.Fetch)
    assert second.server == first.server and {first.source, second.source} == {"p0", "p1"}
    last = world.finish(name, second, Outcome.FULL, Note.SOURCE_REFUSED, after=1000, attempt=1)
    assert all(a.source != "o" for a in sent_attempts(last) if isinstance(a, api.Fetch))


def test_a_stale_copy_is_not_asked_of_a_cache_that_drains_meanwhile() -> None:
    """A standard day broke drain: the second ask for a stale copy went to the same cache unlooked."""
    world = RouterHarness()
    name, actions = world.request("x", "pages")
    first = single_fetch(actions)
    world.update_servers(api.ServerEntry(first.server, "edge-1", "box", state=api.ServerState.DRAINING))
    after = world.finish(name, first, Outcome.FULL, Note.ORIGIN_FAILED, after=1000)
    assert final_answers(after) and not sent_attempts(after)


def test_a_location_where_all_are_slow_alike_moves_nothing() -> None:
    """Moving objects between caches that are all crowded adds misses to the crowd."""
    world = RouterHarness()
    for i in range(120):
        name, actions = world.request(f"o{i}", size_kb=5.0)
        if sent := sent_attempts(actions):
            world.finish(name, sent[0], note=Note.HIT, after=200_000)
    caches = [s for s in world.router.servers.values() if s.role == "cache"]
    assert all(s.latency_ratio > 1.5 for s in caches) and all(s.admission_share > 0.8 for s in caches)


def test_a_parent_that_jams_is_relieved_and_what_none_takes_is_asked_of_the_cache_alone() -> None:
    world = RouterHarness()
    for parent in ("p0", "p1"):
        world.router.servers[parent].admission_share = 0.0
        world.router.servers[parent].share_updated_at = world.now
    sent = single_fetch(world.request("x")[1])
    assert sent.source == sent.server


def test_a_source_that_refused_is_asked_in_full_again_although_nothing_shows_that_it_recovered() -> None:
    """A grown day: each of many routers asked the shed origin too seldom, and went on shedding."""
    world = RouterHarness()
    origin = world.router.servers["o"]
    for i in range(60):
        name, actions = world.request(f"o{i}")
        if sent := sent_attempts(actions):
            world.finish(name, sent[0], Outcome.FULL, Note.ORIGIN_FAILED, after=100_000)
    assert origin.admission_share < 0.5
    for i in range(30):
        world.now += SEC
        world.serve_hit(f"n{i}")
    assert origin.admission_share == 1.0


def test_cold_parents_leave_the_rest_to_the_origin() -> None:
    """With one parent lost and the other cold nothing was filled at all."""
    world = RouterHarness()
    world.update_servers(
        api.ServerEntry("p0", "hub", "parent", state=api.ServerState.GONE),
        api.ServerEntry("p1", "hub", "parent", start_time=world.now),
    )
    assert {single_fetch(world.request(f"n{i}")[1]).source for i in range(50)} >= {"o"}


def test_a_jammed_source_takes_what_is_worth_most_a_byte() -> None:
    world = RouterHarness()
    for i in range(60):
        world.serve_hit(f"m{i}")
        name, actions = world.request(f"p{i}", "pages", size_kb=15.0)
        world.finish(name, single_fetch(actions), note=Note.HIT, after=20_000)
    for parent in ("p0", "p1"):
        world.router.servers[parent].admission_share = 0.3
        world.router.servers[parent].share_updated_at = world.now
    small = [single_fetch(world.request(f"s{i}", "pages", size_kb=15.0)[1]) for i in range(60)]
    large = [single_fetch(world.request(f"l{i}", "media", size_kb=600.0)[1]) for i in range(60)]
    filled = [sum(f.source != f.server for f in some) for some in (small, large)]
    assert filled[0] > 2 * filled[1] > 0


def test_fills_that_would_come_late_are_not_tried_while_the_inlet_is_slow() -> None:
    """One location's link in was full: hits were quick, parents refused nothing, and all fills came late."""
    world = RouterHarness()
    for i in range(40):
        world.serve_hit(f"h{i}")
        name, actions = world.request(f"f{i}", size_kb=300.0)
        for out in sent_attempts(actions):
            world.finish(name, out, note=Note.FILLED, after=1_800_000)
    name, actions = world.request("x", size_kb=300.0)
    sent = single_fetch(actions)
    assert sent.source == sent.server, "a hit will do"
    assert final_answers(world.finish(name, sent, Outcome.MISS, after=1000))
    world.now += 10 * SEC
    again = single_fetch(world.request("x", size_kb=300.0)[1])
    assert again.source != again.server, "the slowness is forgotten"


def test_a_refusal_that_took_long_is_the_sources_where_notes_are_few() -> None:
    world = RouterHarness(with_settings(notes="hit", flow_kb_per_s=0.0))
    name, actions = world.request("x")
    first = single_fetch(actions)
    world.finish(name, first, Outcome.FULL, after=60_000)
    assert (
        world.router.servers[first.source].refusal_rate
        and world.router.servers[first.server].latency_ratio == 1.0
    )


def test_with_every_cache_crowded_and_the_inlet_free_a_parent_is_asked_directly() -> None:
    world = RouterHarness()
    for server in world.router.servers.values():
        if server.role == "cache":
            (
                server.latency_ratio,
                server.admission_share,
                server.share_updated_at,
                server.latency_sampled_at,
            ) = 8.0, 0.0, world.now, world.now
    assert single_fetch(world.request("big", size_kb=500.0)[1]).server in ("p0", "p1")
    world.router.inbound_link.latency_ratio, world.router.inbound_link.latency_sampled_at = 3.0, world.now
    assert final_answers(world.request("big", size_kb=500.0)[1])


def test_what_cannot_be_sent_before_the_client_leaves_is_not_begun() -> None:
    """Oversized objects filled links for seconds and were never answered in time."""
    world = RouterHarness()
    name, actions = world.request("huge", size_kb=6000.0)
    assert not sent_attempts(actions) and final_answers(actions) == [api.Refuse(name, 500_000)]
    assert sent_attempts(world.request("large", size_kb=3000.0)[1])
