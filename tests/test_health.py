"""Health checks, overload and fills: one test for each fault that was found in simulated days."""

from dataclasses import replace

from onyxpulley import interface as api
from onyxpulley.interface import Note, Outcome

from .helpers import SEC, RouterHarness, final_answers, sent_attempts, single_fetch, with_settings


def objects_of(harness: RouterHarness, server: str, count: int) -> list[str]:
    """Objects whose first cache is the server."""
    names = (f"k{i}" for i in range(10_000))
    return [o for o in names if harness.router.ranking("cache", o)[0].id == server][:count]


def fail_attempts(harness: RouterHarness, server: str, outcome: Outcome, took: int, times: int = 3) -> None:
    """Ends so many attempts at a server with an outcome."""
    for obj in objects_of(harness, server, times):
        name, actions = harness.request(obj)
        sent = single_fetch(actions)
        if sent.server == server:
            harness.finish(name, sent, outcome, after=took)


def test_three_failures_in_a_row_eject_a_cache_and_a_later_probe_reinstates_it() -> None:
    harness = RouterHarness()
    objects = objects_of(harness, "c1", 20)
    fail_attempts(harness, "c1", Outcome.UNREACHABLE, 1000)
    assert single_fetch(harness.request(objects[5])[1]).server != "c1"
    harness.now += 3 * SEC
    name, actions = harness.request(objects[6])
    probe = single_fetch(actions)
    assert probe.server == "c1"
    assert single_fetch(harness.request(objects[7])[1]).server != "c1", "one probe at a time"
    harness.finish(name, probe, note=Note.HIT)
    assert not harness.router.servers["c1"].ejected_until
    assert harness.router.servers["c1"].slow_start_since, "it may have restarted, so it counts as cold"


def test_a_lost_connection_is_one_failure_and_its_requests_are_retried_on_the_same_server() -> None:
    harness = RouterHarness()
    objects = objects_of(harness, "c1", 20)
    requests = [(o, *harness.request(o)) for o in objects]
    again = [
        sent_attempts(harness.finish(name, single_fetch(a), Outcome.BROKEN, after=0))[0]
        for _, name, a in requests
    ]
    assert {a.server for a in again} == {"c1"} and not harness.router.servers["c1"].ejected_until
    actions = harness.finish(requests[0][1], again[0], Outcome.BROKEN, attempt=1, after=30_000)
    moved = sent_attempts(actions)[0]
    assert moved.server != "c1", "only the first retry goes to the same server"
    for i in (1, 2):
        harness.finish(requests[i][1], again[i], Outcome.BROKEN, attempt=1, after=30_000)
    assert harness.router.servers["c1"].ejected_until, "three lost connections in a row are three failures"


def test_a_lost_answer_of_a_quick_cache_is_requested_there_again_and_then_elsewhere() -> None:
    harness = RouterHarness()
    objects = objects_of(harness, "c1", 20)
    for i in range(60):
        harness.serve_hit(f"w{i}")
    name, actions = harness.request(objects[0])
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    harness.now += 200_000
    harness.serve_hit(objects[1])
    again = harness.handle(api.TimerDue(timer.token), timer.delay - 200_000)
    assert sent_attempts(again)[0].server == "c1"
    (timer,) = [a for a in again if isinstance(a, api.SetTimer)]
    harness.serve_hit(objects[2])
    assert sent_attempts(harness.handle(api.TimerDue(timer.token), timer.delay))[0].server != "c1"


def test_a_late_answer_of_an_overloaded_cache_is_waited_for() -> None:
    harness = RouterHarness()
    objects = objects_of(harness, "c1", 20)
    for obj in objects[1:9]:
        name, actions = harness.request(obj)
        harness.finish(name, single_fetch(actions), note=Note.HIT, after=400_000)
    name, actions = harness.request(objects[0])
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    harness.serve_hit(objects[10])
    assert not sent_attempts(harness.handle(api.TimerDue(timer.token), timer.delay))


def test_a_cache_that_answered_after_a_failure_is_reinstated_warm() -> None:
    harness = RouterHarness()
    objects = objects_of(harness, "c1", 20)
    fail_attempts(harness, "c1", Outcome.UNREACHABLE, 1000, times=1)
    harness.serve_hit(objects[5])
    for obj in objects[6:9]:
        name, actions = harness.request(obj)
        harness.finish(name, single_fetch(actions), Outcome.BROKEN, after=80_000)
    assert harness.router.servers["c1"].ejected_until
    harness.now += 3 * SEC
    harness.serve_hit(objects[9])
    assert (
        not harness.router.servers["c1"].ejected_until and not harness.router.servers["c1"].slow_start_since
    )


def test_answers_to_attempts_from_before_an_ejection_do_not_end_it() -> None:
    harness = RouterHarness()
    objects = objects_of(harness, "c1", 20)
    early, actions = harness.request(objects[10])
    sent = single_fetch(actions)
    fail_attempts(harness, "c1", Outcome.UNREACHABLE, 1000)
    harness.finish(early, sent, note=Note.HIT)
    assert harness.router.servers["c1"].ejected_until


def test_quick_errors_are_retried_and_do_not_eject_the_cache() -> None:
    harness = RouterHarness()
    name, actions = harness.request("x")
    first = single_fetch(actions)
    again = sent_attempts(harness.finish(name, first, Outcome.ERROR, after=3000))[0]
    assert again.server == first.server, "the first retry goes to the cache that has the copy"
    last = sent_attempts(harness.finish(name, again, Outcome.ERROR, after=3000, attempt=1))[0]
    assert last.server != first.server
    fail_attempts(harness, "c1", Outcome.ERROR, 3000, times=6)
    assert not harness.router.servers["c1"].ejected_until


def test_late_errors_eject_neither_caches_nor_sources_where_all_answers_carry_notes() -> None:
    harness = RouterHarness()
    for i in range(120):
        name, actions = harness.request(f"k{i}")
        sent = single_fetch(actions)
        if i % 3:
            harness.finish(name, sent, note=Note.HIT)
            continue
        harness.handle(api.Finished(name, 0, sent.server, Outcome.ERROR, 200_000, True), 200_000)
    servers = harness.router.servers.values()
    assert not any(s.ejected_until for s in servers)
    assert all(s.admission_share == 1.0 for s in servers if s.role == "parent")
    assert all(single_fetch(harness.request(f"n{i}")[1]).source in ("p0", "p1") for i in range(50))


def test_refusals_of_an_overloaded_cache_do_not_eject_it_but_shrink_its_share() -> None:
    harness = RouterHarness()
    for _ in range(40):
        fail_attempts(harness, "c1", Outcome.FULL, 1000, times=1)
        harness.now += SEC
    assert not harness.router.servers["c1"].ejected_until
    assert harness.router.servers["c1"].admission_share < 0.5


def test_slow_answers_shrink_the_share_and_other_caches_keep_their_objects() -> None:
    harness = RouterHarness()
    objects, others = objects_of(harness, "c1", 60), objects_of(harness, "c2", 30)
    for i in range(60):
        name, actions = harness.request(objects[i % 60])
        sent = single_fetch(actions)
        harness.finish(name, sent, note=Note.HIT, after=800_000 if sent.server == "c1" else 120_000)
    moved = [single_fetch(harness.request(o)[1]).server != "c1" for o in objects]
    assert any(moved)
    assert all(single_fetch(harness.request(o)[1]).server == "c2" for o in others)


def harness_with_reports(reported: float, waited: int = 0) -> RouterHarness:
    """A router whose caches, with links for four transfers, last reported so many requests each."""
    harness = RouterHarness(
        with_settings(weights_are_nominal=True, load_report_fields=("busy_reqs",), bypass_allowed=False)
    )
    harness.update_servers(*(api.ServerEntry(f"c{i}", "edge-1", "box", weight=4.0) for i in range(4)))
    last = [objects_of(harness, f"c{i}", 1)[0] for i in range(4)]
    for number, obj in enumerate([f"w{i}" for i in range(60)] + last):
        name, actions = harness.request(obj)
        sent, took, load = single_fetch(actions), 120_000 + waited, reported if number >= 60 else 2.0
        done = api.Finished(name, 0, sent.server, Outcome.SERVED, took, True, Note.HIT, waited, (load,))
        harness.handle(done, took)
    return harness


def test_load_reports_refuse_a_surge_before_answers_are_late_and_admit_it_when_there_is_room() -> None:
    assert all(sent_attempts(harness_with_reports(4.0).request(f"n{i}")[1]) for i in range(20))
    harness = harness_with_reports(40.0)
    assert all(harness.router.current_latency_ratio(s) < 1.5 for s in harness.router.servers.values())
    assert not any(sent_attempts(harness.request(f"n{i}")[1]) for i in range(20))
    for server in harness.router.servers.values():
        server.latency_ratio = 8.0
        server.latency_sampled_at = harness.now
        server.other_routers_requests = 0.0
    assert all(sent_attempts(harness.request(f"m{i}")[1]) for i in range(4))


def test_a_repeated_report_does_not_reduce_the_load_of_others_while_this_router_sends_more() -> None:
    """Guards against two routers that overload a cache: a report is older than what both sent since."""
    harness = harness_with_reports(10.0)
    cache = harness.router.servers["c0"]
    assert cache.other_routers_requests == 10.0
    sent_requests = [
        (name, single_fetch(actions))
        for name, actions in (harness.request(o) for o in objects_of(harness, "c0", 9))
    ]
    assert len(sent_requests) == 9 and cache.other_routers_requests == 10.0
    name, sent = sent_requests[0]
    done = api.Finished(name, 0, sent.server, Outcome.SERVED, 120_000, True, Note.HIT, 0, (10.0,))
    harness.handle(done, 120_000)
    assert cache.other_routers_requests == 10.0, "the same report says nothing new"
    harness.handle(replace(done, id=sent_requests[1][0], load=(24.0,)), 1000)
    assert cache.other_routers_requests == 24.0 - len(cache.in_flight) < 20.0, (
        "a new report, less what is in flight now"
    )


def test_a_fill_at_an_overloaded_cache_needs_a_margin_and_a_hit_is_still_requested() -> None:
    sources = [
        single_fetch(harness_with_reports(reported).request("n1", size_kb=300.0, time_left=4 * SEC)[1])
        for reported in (4.0, 10.0)
    ]
    assert [s.only_if_cached or s.source == s.server for s in sources] == [False, True]


def test_requests_that_wait_for_a_slow_source_do_not_count_as_load() -> None:
    harness = harness_with_reports(12.0, waited=2_000_000)
    assert all(sent_attempts(harness.request(f"n{i}", time_left=4 * SEC)[1]) for i in range(4))


def test_waiting_for_a_parents_own_fill_does_not_count_against_the_link() -> None:
    link_ratios = []
    for waited in (900_000, 0):
        harness = RouterHarness()
        for i in range(40):
            name, actions = harness.request(f"w{i}")
            sent, took = single_fetch(actions), 1_000_000
            note = Note.FILLED
            harness.handle(api.Finished(name, 0, sent.server, Outcome.SERVED, took, True, note, waited), took)
        link_ratios.append(harness.router.current_latency_ratio(harness.router.inbound_link))
    assert link_ratios[0] < 1.2 and link_ratios[1] > 1.5, (
        "without a reported wait the time counts against the link"
    )


def test_with_all_caches_overloaded_late_requests_are_refused() -> None:
    harness = RouterHarness(with_settings(bypass_allowed=False))
    for server in harness.router.servers.values():
        if server.role == "cache":
            server.latency_ratio = 8.0
            server.latency_sampled_at = harness.now
            server.admission_share = 0.0
            server.share_updated_at = harness.now
    name, actions = harness.request("big", size_kb=500.0)
    assert final_answers(actions) == [api.Refuse(name, 500_000)]
    assert sent_attempts(harness.request("small", "pages", size_kb=1.0)[1])


def test_a_silent_cache_is_ejected_before_the_deadline_of_its_requests() -> None:
    harness = RouterHarness()
    objects = objects_of(harness, "c1", 6)
    requests = [harness.request(o) for o in objects]
    timers = [a for _, actions in requests for a in actions if isinstance(a, api.SetTimer)]
    harness.now += max(t.delay for t in timers)
    actions = [a for t in timers for a in harness.handle(api.TimerDue(t.token))]
    assert harness.router.servers["c1"].ejected_until
    assert {s.server for s in sent_attempts(actions)} and all(
        s.server != "c1" for s in sent_attempts(actions)
    )


def test_without_second_copies_a_late_attempt_is_cancelled_before_the_retry() -> None:
    harness = RouterHarness(with_settings(may_hedge=False))
    objects = objects_of(harness, "c1", 6)
    requests = [harness.request(o) for o in objects]
    timers = [a for _, actions in requests for a in actions if isinstance(a, api.SetTimer)]
    harness.now += max(t.delay for t in timers)
    actions = [a for t in timers for a in harness.handle(api.TimerDue(t.token))]
    cancels = [a for a in actions if isinstance(a, api.Cancel)]
    assert cancels and not sent_attempts(actions)
    again = harness.finish(cancels[0].id, single_fetch(requests[0][1]), Outcome.CANCELLED)
    assert sent_attempts(again)


def test_unknown_ids_are_ignored() -> None:
    harness = RouterHarness()
    assert harness.handle(api.Finished("nobody", 0, "c0", Outcome.SERVED, 5, True)) == []
    assert harness.handle(api.Finished("nobody", 0, "nowhere", Outcome.ERROR)) == []
    assert harness.handle(api.TimerDue(999)) == []
    assert harness.handle(api.ClientGone("nobody")) == []
    assert harness.handle(api.Probed("nowhere", Outcome.SERVED)) == []


def test_objects_requested_again_rank_above_those_requested_once() -> None:
    harness = RouterHarness()
    assert single_fetch(harness.request("x")[1]).retention_rank == 1
    assert single_fetch(harness.request("x")[1]).retention_rank == 2


def test_a_surge_on_one_object_is_spread_over_several_caches_until_it_ends() -> None:
    """Incident i729362: a few hot objects made up much of the traffic, each at one cache."""
    harness = RouterHarness()
    for i in range(100):
        harness.serve_hit(f"o{i}")
    servers = [single_fetch(harness.request("hot")[1]).server for _ in range(60)]
    assert len(set(servers)) > 1
    harness.now += 60 * SEC
    for i in range(100):
        harness.serve_hit(f"o{i}")
    assert single_fetch(harness.request("hot")[1]).server == servers[0]


def test_after_a_failure_of_the_origin_a_stale_copy_is_requested_instead() -> None:
    harness = RouterHarness()
    name, actions = harness.request("x", "pages")
    first = single_fetch(actions)
    again = harness.finish(name, first, Outcome.FULL, Note.ORIGIN_FAILED, after=1000)
    (retry,) = sent_attempts(again)
    assert isinstance(retry, api.Fetch) and retry.source == retry.server == first.server
    assert retry.max_age == 28 * SEC
    name, actions = harness.request("y", "media")
    assert final_answers(
        harness.finish(name, single_fetch(actions), Outcome.FULL, Note.ORIGIN_FAILED, after=1000)
    )


def test_a_fill_refused_by_a_parent_goes_to_another_parent_and_not_to_the_origin() -> None:
    harness = RouterHarness()
    name, actions = harness.request("x")
    first = single_fetch(actions)
    (second,) = sent_attempts(harness.finish(name, first, Outcome.FULL, Note.SOURCE_REFUSED, after=1000))
    assert isinstance(second, api.Fetch)
    assert second.server == first.server and {first.source, second.source} == {"p0", "p1"}
    last = harness.finish(name, second, Outcome.FULL, Note.SOURCE_REFUSED, after=1000, attempt=1)
    assert all(a.source != "o" for a in sent_attempts(last) if isinstance(a, api.Fetch))


def test_a_stale_copy_is_not_requested_from_a_cache_that_drains_meanwhile() -> None:
    """Guards against a stale copy that is requested from the same cache without a check of its state."""
    harness = RouterHarness()
    name, actions = harness.request("x", "pages")
    first = single_fetch(actions)
    harness.update_servers(api.ServerEntry(first.server, "edge-1", "box", state=api.ServerState.DRAINING))
    after = harness.finish(name, first, Outcome.FULL, Note.ORIGIN_FAILED, after=1000)
    assert final_answers(after) and not sent_attempts(after)


def test_caches_that_are_equally_slow_keep_their_shares() -> None:
    """Moving objects between caches that are all overloaded would only add misses."""
    harness = RouterHarness()
    for i in range(120):
        name, actions = harness.request(f"o{i}", size_kb=5.0)
        if sent := sent_attempts(actions):
            harness.finish(name, sent[0], note=Note.HIT, after=200_000)
    caches = [s for s in harness.router.servers.values() if s.role == "cache"]
    assert all(s.latency_ratio > 1.5 for s in caches) and all(s.admission_share > 0.8 for s in caches)


def test_objects_that_no_parent_admits_are_requested_from_the_cache_without_a_fill() -> None:
    harness = RouterHarness()
    for parent in ("p0", "p1"):
        harness.router.servers[parent].admission_share = 0.0
        harness.router.servers[parent].share_updated_at = harness.now
    sent = single_fetch(harness.request("x")[1])
    assert sent.source == sent.server


def test_a_source_that_refused_gets_its_full_share_again_without_proof_of_its_recovery() -> None:
    """With many routers each used the origin too seldom to see that it recovered, and kept its share low."""
    harness = RouterHarness()
    origin = harness.router.servers["o"]
    for i in range(60):
        name, actions = harness.request(f"o{i}")
        if sent := sent_attempts(actions):
            harness.finish(name, sent[0], Outcome.FULL, Note.ORIGIN_FAILED, after=100_000)
    assert origin.admission_share < 0.5
    for i in range(30):
        harness.now += SEC
        harness.serve_hit(f"n{i}")
    assert origin.admission_share == 1.0


def test_what_cold_parents_do_not_admit_goes_to_the_origin() -> None:
    """Guards against a failure of all fills while one parent is gone and the other cold."""
    harness = RouterHarness()
    harness.update_servers(
        api.ServerEntry("p0", "hub", "parent", state=api.ServerState.GONE),
        api.ServerEntry("p1", "hub", "parent", start_time=harness.now),
    )
    assert {single_fetch(harness.request(f"n{i}")[1]).source for i in range(50)} >= {"o"}


def test_an_overloaded_source_is_sent_what_is_worth_most_for_its_size() -> None:
    harness = RouterHarness()
    for i in range(60):
        harness.serve_hit(f"m{i}")
        name, actions = harness.request(f"p{i}", "pages", size_kb=15.0)
        harness.finish(name, single_fetch(actions), note=Note.HIT, after=20_000)
    for parent in ("p0", "p1"):
        harness.router.servers[parent].admission_share = 0.3
        harness.router.servers[parent].share_updated_at = harness.now
    small = [single_fetch(harness.request(f"s{i}", "pages", size_kb=15.0)[1]) for i in range(60)]
    large = [single_fetch(harness.request(f"l{i}", "media", size_kb=600.0)[1]) for i in range(60)]
    filled = [sum(f.source != f.server for f in some) for some in (small, large)]
    assert filled[0] > 2 * filled[1] > 0


def test_fills_that_would_be_late_are_not_tried_while_the_inbound_link_is_slow() -> None:
    """The inbound link of a zone was full: hits were quick, no parent refused, and all fills were late."""
    harness = RouterHarness()
    for i in range(40):
        harness.serve_hit(f"h{i}")
        name, actions = harness.request(f"f{i}", size_kb=300.0)
        for attempt in sent_attempts(actions):
            harness.finish(name, attempt, note=Note.FILLED, after=1_800_000)
    name, actions = harness.request("x", size_kb=300.0)
    sent = single_fetch(actions)
    assert sent.source == sent.server, "only a hit is requested"
    assert final_answers(harness.finish(name, sent, Outcome.MISS, after=1000))
    harness.now += 10 * SEC
    again = single_fetch(harness.request("x", size_kb=300.0)[1])
    assert again.source != again.server, "the latency ratio has decayed"


def test_a_late_refusal_counts_against_the_source_where_answers_carry_few_notes() -> None:
    harness = RouterHarness(with_settings(notes="hit", flow_kb_per_s=0.0))
    name, actions = harness.request("x")
    first = single_fetch(actions)
    harness.finish(name, first, Outcome.FULL, after=60_000)
    assert (
        harness.router.servers[first.source].refusal_rate
        and harness.router.servers[first.server].latency_ratio == 1.0
    )


def test_with_all_caches_overloaded_and_the_inbound_link_free_a_parent_is_used_directly() -> None:
    harness = RouterHarness()
    for server in harness.router.servers.values():
        if server.role == "cache":
            server.latency_ratio = 8.0
            server.latency_sampled_at = harness.now
            server.admission_share = 0.0
            server.share_updated_at = harness.now
    assert single_fetch(harness.request("big", size_kb=500.0)[1]).server in ("p0", "p1")
    harness.router.inbound_link.latency_ratio = 3.0
    harness.router.inbound_link.latency_sampled_at = harness.now
    assert final_answers(harness.request("big", size_kb=500.0)[1])


def test_an_object_that_cannot_be_sent_before_the_deadline_is_not_started() -> None:
    """Guards against oversized objects that fill links for seconds and are never in time."""
    harness = RouterHarness()
    name, actions = harness.request("huge", size_kb=6000.0)
    assert not sent_attempts(actions) and final_answers(actions) == [api.Refuse(name, 500_000)]
    assert sent_attempts(harness.request("large", size_kb=3000.0)[1])
