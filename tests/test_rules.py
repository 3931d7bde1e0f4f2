"""The five rules, each by example and under any order of legal events."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from onyxpulley import interface as api
from onyxpulley.interface import Note, Outcome, ServerState
from onyxpulley.router import Router

from .helpers import (
    BASE_SETTINGS,
    KEYED,
    SEC,
    START,
    RouterHarness,
    entries,
    final_answers,
    sent_attempts,
    single_fetch,
    with_settings,
)

SETTINGS = [
    BASE_SETTINGS,
    with_settings(may_hedge=False, notes="hit", flow_kb_per_s=0.0, may_probe=True),
    with_settings(bypass_allowed=False, may_join=False, sends_retry_after=False, subscribe=True),
    with_settings(parent_kind=None, may_cancel=False, max_attempts=1, weights_are_nominal=True),
]
STEP = st.tuples(st.integers(0, 7), st.integers(0, 40), st.integers(0, 10), st.integers(0, 1_500_000))
OUTCOMES = list(Outcome)
MAY_HAVE_RUN = (Outcome.SERVED, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED)


class Watch:
    """Plays legal events at a router and holds it to the rules."""

    def __init__(self, setting: api.Settings, rows: tuple[api.ServerEntry, ...]) -> None:
        self.set, self.rows, self.now, self.made = setting, rows, START, 0
        self.router = Router(setting, 3)
        self.state = {r.server: r.state for r in rows}
        self.owed: dict[str, api.Request] = {}
        self.over: set[str] = set()
        self.out: dict[tuple[str, int], api.Fetch | api.Forward] = {}
        self.count: dict[str, int] = {}
        self.ran: dict[str, set[str]] = {}
        self.purged_at = -1
        self.tokens: list[int] = []
        self.feed(api.MembershipUpdate(api.UpdateKind.CACHED, rows))

    def feed(self, event: api.Event) -> None:
        for action in self.router.handle(self.now, event):
            self.check(action)

    def effect(self, name: str) -> api.Effect:
        return next(c.effect for c in self.set.classes if c.name == self.owed[name].cls)

    def check(self, action: api.Action) -> None:
        match action:
            case api.Fetch() | api.Forward():
                assert action.id in self.owed, "nothing is sent after the final answer"
                assert self.state[action.server] == ServerState.READY
                if isinstance(action, api.Fetch):
                    assert self.state[action.source] == ServerState.READY or action.source == action.server
                    if self.purged_at >= 0 and self.now - self.purged_at <= self.set.purge_duration:
                        assert 0 < action.max_age <= max(1, self.now - self.purged_at)
                no = self.count.get(action.id, 0)
                assert no < self.set.max_attempts
                if not self.set.may_hedge:
                    assert not [k for k in self.out if k[0] == action.id]
                if self.effect(action.id) is api.Effect.UNSAFE:
                    assert not self.ran.get(action.id)
                    assert not [k for k in self.out if k[0] == action.id]
                self.count[action.id] = no + 1
                self.out[(action.id, no)] = action
            case api.Refuse() | api.Fail():
                assert action.id in self.owed, "one final answer"
                if isinstance(action, api.Refuse) and self.effect(action.id) is not api.Effect.SAFE:
                    assert not self.ran.get(action.id)
                    assert not [k for k in self.out if k[0] == action.id]
                self.over.add(action.id)
                del self.owed[action.id]
            case api.SetTimer():
                self.tokens.append(action.token)
            case api.Probe():
                assert self.set.may_probe
            case api.Cancel():
                assert self.set.may_cancel

    def step(self, kind: int, pick: int, sub: int, wait: int) -> None:
        self.now += wait
        if kind <= 1:
            self.made += 1
            name = f"r{self.made}"
            cls = self.set.classes[sub % len(self.set.classes)].name if sub < 9 else "never seen"
            size = 0.0 if sub % 3 == 0 else 40.0 * sub
            left = 0 if sub == 5 else 900_000
            self.owed[name] = api.Request(name, cls, f"o{pick}", left, group=1, size_kb=size)
            if cls == "never seen":
                self.set = with_class(self.set, cls)
            self.feed(self.owed[name])
        elif kind <= 4 and self.out:
            name, no = sorted(self.out)[pick % len(self.out)]
            sent = self.out.pop((name, no))
            outcome = OUTCOMES[sub % len(OUTCOMES)]
            if outcome in MAY_HAVE_RUN:
                self.ran.setdefault(name, set()).add(sent.server)
            over = name in self.over or outcome is Outcome.SERVED
            if over and name in self.owed:
                del self.owed[name]
            if over:
                self.over.add(name)
            self.feed(api.Finished(name, no, sent.server, outcome, wait, over, sub, wait))
        elif kind == 5 and self.tokens:
            self.feed(api.TimerDue(self.tokens.pop(pick % len(self.tokens))))
        elif kind == 6:
            row = self.rows[pick % len(self.rows)] if self.rows else api.ServerEntry("new", "edge-1", "box")
            state = ServerState(sub % 3)
            self.state[row.server] = state
            entry = api.ServerEntry(
                row.server, row.zone, row.kind, row.cell, state, row.weight, self.now if sub > 5 else 0
            )
            self.feed(api.MembershipUpdate(api.UpdateKind.CHANGES, (entry,)))
        elif kind == 7:
            self.purged_at = max(self.purged_at, self.now - wait)
            self.feed(api.Purged(1, wait))

    def finish(self) -> None:
        """At its deadline each request that is still out times out; each must then have its answer."""
        self.now += 2 * SEC
        for name, no in sorted(self.out):
            sent = self.out.pop((name, no), None)
            if sent is not None:
                self.ran.setdefault(name, set()).add(sent.server)
                self.feed(api.Finished(name, no, sent.server, Outcome.TIMED_OUT, 2 * SEC, name in self.over))
        assert not self.owed


def with_class(setting: api.Settings, name: str) -> api.Settings:
    known = (*setting.classes, api.ClassSettings(name, 1, 1))
    return with_settings_of(setting, known)


def with_settings_of(setting: api.Settings, classes: tuple[api.ClassSettings, ...]) -> api.Settings:
    from dataclasses import replace

    return replace(setting, classes=classes)


@settings(derandomize=True, max_examples=120, deadline=None)
@given(
    st.integers(0, 3),
    st.sampled_from([(4, 2, True), (1, 1, True), (1, 0, False), (0, 1, True)]),
    st.lists(STEP),
)
def test_rules_hold_for_any_order_of_events(
    which: int, fleet: tuple[int, int, bool], steps: list[tuple[int, int, int, int]]
) -> None:
    watch = Watch(SETTINGS[which], entries(*fleet))
    for step in steps:
        watch.step(*step)
    watch.finish()


def test_no_server_at_all_refuses_at_once() -> None:
    world = RouterHarness(rows=())
    name, actions = world.request()
    assert final_answers(actions) == [api.Refuse(name, 500_000)]


def test_no_time_left_is_answered_at_once() -> None:
    name, actions = RouterHarness().request(time_left=0)
    assert not sent_attempts(actions) and final_answers(actions) == [api.Refuse(name, 500_000)]


def test_unsafe_that_may_have_run_fails_and_is_not_resent() -> None:
    world = RouterHarness()
    name, actions = world.request(cls="sign")
    (sent,) = sent_attempts(actions)
    assert sent.server == "o"
    assert final_answers(world.finish(name, sent, Outcome.BROKEN)) == [api.Fail(name)]


def test_unsafe_that_surely_never_ran_goes_elsewhere() -> None:
    world = RouterHarness()
    name, actions = world.request(cls="sign")
    (sent,) = sent_attempts(actions)
    after = world.finish(name, sent, Outcome.UNREACHABLE)
    assert sent_attempts(after) and not final_answers(after)


def test_keyed_stays_in_its_cell_and_window() -> None:
    world = RouterHarness(with_settings(bypass_allowed=False))
    name, actions = world.request(cls=KEYED.name)
    sent = single_fetch(actions)
    cell = int(sent.server[1]) // 2
    again = sent_attempts(world.finish(name, sent, Outcome.BROKEN, after=1000))
    assert [int(a.server[1]) // 2 for a in again] == [cell]
    late = world.finish(name, again[0], Outcome.BROKEN, after=2 * SEC, attempt=1)
    assert not sent_attempts(late) and final_answers(late) == [api.Fail(name)]


def test_drained_server_is_neither_asked_nor_named_from_the_event_on() -> None:
    world = RouterHarness()
    home = world.serve_hit("x")
    world.update_servers(api.ServerEntry(home.server, "edge-1", "box", state=ServerState.DRAINING))
    world.update_servers(api.ServerEntry(home.source, "hub", "parent", state=ServerState.DRAINING))
    moved = single_fetch(world.request("x")[1])
    assert moved.server != home.server and moved.source != home.source


def test_full_list_without_a_server_removes_it() -> None:
    world = RouterHarness()
    home = world.serve_hit("x")
    world.handle(
        api.MembershipUpdate(api.UpdateKind.FULL, tuple(e for e in entries() if e.server != home.server))
    )
    assert single_fetch(world.request("x")[1]).server != home.server


def test_purge_bounds_the_age_until_no_old_copy_can_be_left() -> None:
    world = RouterHarness()
    world.handle(api.Purged(1, 200_000, "x"))
    assert single_fetch(world.request("x")[1]).max_age in range(1, 200_001)
    world.now += 1 * SEC
    assert 1 * SEC < single_fetch(world.request("x", "pages")[1]).max_age <= 1_200_000
    assert single_fetch(world.request("y")[1]).max_age == 0
    world.now += 10 * SEC
    assert single_fetch(world.request("x")[1]).max_age == 0


def test_purge_of_this_very_moment_is_no_bound_of_zero() -> None:
    world = RouterHarness()
    world.handle(api.Purged(1, 0))
    assert single_fetch(world.request("x")[1]).max_age == 1


def test_cold_cache_gets_a_part_of_its_objects_and_no_more_than_its_budget() -> None:
    world = RouterHarness()
    for i in range(200):
        world.serve_hit(f"o{i}")
    cold = api.ServerEntry("c0", "edge-1", "box", start_time=world.now)
    world.update_servers(cold)
    hits = [single_fetch(world.request(f"n{i}")[1]).server for i in range(400)]
    assert 0 < hits.count("c0") < 0.4 * 400 / 4


def test_cold_parent_gets_a_part_of_its_objects() -> None:
    world = RouterHarness()
    for i in range(100):
        world.serve_hit(f"o{i}")
    world.update_servers(api.ServerEntry("p0", "hub", "parent", start_time=world.now))
    named = [single_fetch(world.request(f"n{i}")[1]).source for i in range(400)]
    assert named.count("p0") < 0.3 * 400 / 2


def test_note_of_a_lost_source_is_not_booked_to_the_cache() -> None:
    world = RouterHarness()
    for i in range(40):
        name, actions = world.request(f"o{i}")
        sent = single_fetch(actions)
        if sent.source == "p0":
            again = world.finish(name, sent, Outcome.FULL, Note.SOURCE_LOST, after=1000)
            assert sent_attempts(again)[0].server == sent.server
    assert single_fetch(world.request("z")[1]).source == "p1"
    assert world.router.servers["p0"].ejected_until and not world.router.servers["c0"].ejected_until


def test_small_requests_to_a_cold_cache_count_as_the_mean_of_their_class() -> None:
    """A found day sent a cold cache many small ones: booked at their own size, where the mean counts."""
    world = RouterHarness()
    for i in range(50):
        name, actions = world.request(f"o{i}", size_kb=400.0)
        world.finish(name, single_fetch(actions), note=Note.HIT, after=400_000)
    world.update_servers(api.ServerEntry("c0", "edge-1", "box", start_time=world.now))
    sent = [single_fetch(world.request(f"n{i}", size_kb=1.0)[1]).server for i in range(60)].count("c0")
    assert sent and world.router.servers["c0"].slow_start_work.total > sent * 150_000


def test_budget_does_not_swell_with_what_clients_repeat() -> None:
    """Incident i341efe: refused clients asked again, and the guess of a parent's capacity grew with them."""
    world = RouterHarness()
    for i in range(50):
        name, actions = world.request(f"o{i}")
        world.finish(name, single_fetch(actions), note=Note.FILLED)
    before = world.router.capacity_share(world.router.servers["p0"])
    for i in range(200):
        world.request(f"m{i}")
    assert world.router.capacity_share(world.router.servers["p0"]) <= before
