"""The five rules of the decisions, each by examples and together under any order of legal events."""

from __future__ import annotations

from dataclasses import replace

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
# Classes that caches keep beyond their freshness lifetime and that must not simply run twice.
CACHED_UNSAFE = api.ClassSettings(
    "job-copy", 300_000, 3 * SEC, effect=api.Effect.UNSAFE, freshness_lifetime=8 * SEC, grace=30 * SEC
)
CACHED_KEYED = replace(KEYED, name="keyed-copy", uncached=False, freshness_lifetime=8 * SEC, grace=30 * SEC)
REPEAT_SETTINGS = [
    with_settings(classes=(CACHED_UNSAFE, CACHED_KEYED, KEYED), notes="hit"),
    with_settings(classes=(CACHED_UNSAFE, CACHED_KEYED), bypass_allowed=False, max_attempts=2),
]
STEPS = st.tuples(st.integers(0, 7), st.integers(0, 40), st.integers(0, 10), st.integers(0, 1_500_000))
# The same with fewer objects, and more often an attempt that ends without an answer after a failed fill.
REPEAT_STEPS = st.tuples(
    st.sampled_from([0, 2, 2, 2, 5, 6]),
    st.integers(0, 3),
    st.sampled_from([0, 1, 3, 5, 6, 6, 7]),
    st.integers(0, 1_500_000),
)
OUTCOMES = list(Outcome)
MAY_HAVE_RUN = (Outcome.SERVED, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED)


class RuleChecker:
    """Gives a router legal events and checks its actions against the rules."""

    def __init__(self, base: api.Settings, rows: tuple[api.ServerEntry, ...]) -> None:
        self.settings = base
        self.rows = rows
        self.now = START
        self.requests_made = 0
        self.router = Router(base, 3)
        self.states = {r.server: r.state for r in rows}
        self.unanswered: dict[str, api.Request] = {}
        self.answered: set[str] = set()
        self.in_flight: dict[tuple[str, int], api.Fetch | api.Forward] = {}
        self.attempts_made: dict[str, int] = {}  # by request
        self.sent_at: dict[tuple[str, int], int] = {}  # by request and number of the attempt
        self.may_have_run_on: dict[str, set[str]] = {}  # servers by request
        self.may_have_run_since: dict[str, int] = {}  # by request: when the first such attempt was sent
        self.purged_at = -1
        self.timer_tokens: list[int] = []
        self.handle(api.MembershipUpdate(api.UpdateKind.CACHED, rows))

    def handle(self, event: api.Event) -> None:
        """Gives the router an event and checks every action that follows."""
        for action in self.router.handle(self.now, event):
            self.check(action)

    def effect_of(self, name: str) -> api.Effect:
        """Whether an unanswered request may run twice."""
        return next(c.effect for c in self.settings.classes if c.name == self.unanswered[name].cls)

    def check(self, action: api.Action) -> None:
        """Checks an action against the rules and records it."""
        match action:
            case api.Fetch() | api.Forward():
                assert action.id in self.unanswered, "nothing is sent after the final answer"
                assert self.states[action.server] == ServerState.READY
                if isinstance(action, api.Fetch):
                    assert self.states[action.source] == ServerState.READY or action.source == action.server
                    if self.purged_at >= 0 and self.now - self.purged_at <= self.settings.purge_duration:
                        assert 0 < action.max_age <= max(1, self.now - self.purged_at)
                number = self.attempts_made.get(action.id, 0)
                assert number < self.settings.max_attempts
                if not self.settings.may_hedge:
                    assert not [k for k in self.in_flight if k[0] == action.id]
                if self.effect_of(action.id) is api.Effect.UNSAFE:
                    assert not self.may_have_run_on.get(action.id)
                    assert not [k for k in self.in_flight if k[0] == action.id]
                if self.effect_of(action.id) is api.Effect.KEYED:
                    self.check_keyed_repeat(action)
                self.attempts_made[action.id] = number + 1
                self.sent_at[action.id, number] = self.now
                self.in_flight[(action.id, number)] = action
            case api.Refuse() | api.Fail():
                assert action.id in self.unanswered, "one final answer"
                if isinstance(action, api.Refuse) and self.effect_of(action.id) is not api.Effect.SAFE:
                    assert not self.may_have_run_on.get(action.id)
                    assert not [k for k in self.in_flight if k[0] == action.id]
                self.answered.add(action.id)
                del self.unanswered[action.id]
            case api.SetTimer():
                self.timer_tokens.append(action.token)
            case api.Probe():
                assert self.settings.may_probe
            case api.Cancel():
                assert self.settings.may_cancel

    def check_keyed_repeat(self, action: api.Fetch | api.Forward) -> None:
        """Checks that a keyed request is repeated only where and while repeats are dropped."""
        servers = self.may_have_run_on.get(action.id)
        if not servers:
            return
        cells = {row.cell for row in self.rows if row.server in {*servers, action.server}}
        assert len(cells) == 1
        assert self.now - self.may_have_run_since[action.id] < KEYED.dedup_window

    def note_possible_run(self, name: str, number: int, server: str) -> None:
        """Records that an attempt may have run."""
        self.may_have_run_on.setdefault(name, set()).add(server)
        self.may_have_run_since.setdefault(name, self.sent_at[name, number])

    def step(self, kind: int, pick: int, variant: int, wait: int) -> None:
        """Plays one legal event of the kind, `wait` microseconds after the last one."""
        self.now += wait
        if kind <= 1:
            self.requests_made += 1
            name = f"r{self.requests_made}"
            cls = (
                self.settings.classes[variant % len(self.settings.classes)].name
                if variant < 9
                else "never seen"
            )
            size = 0.0 if variant % 3 == 0 else 40.0 * variant
            left = 0 if variant == 5 else 900_000
            self.unanswered[name] = api.Request(name, cls, f"o{pick}", left, group=1, size_kb=size)
            if cls == "never seen":
                self.settings = with_class(self.settings, cls)
            self.handle(self.unanswered[name])
        elif kind <= 4 and self.in_flight:
            name, number = sorted(self.in_flight)[pick % len(self.in_flight)]
            sent = self.in_flight.pop((name, number))
            outcome = OUTCOMES[variant % len(OUTCOMES)]
            if outcome in MAY_HAVE_RUN:
                self.note_possible_run(name, number, sent.server)
            over = name in self.answered or outcome is Outcome.SERVED
            if over and name in self.unanswered:
                del self.unanswered[name]
            if over:
                self.answered.add(name)
            self.handle(api.Finished(name, number, sent.server, outcome, wait, over, variant, wait))
        elif kind == 5 and self.timer_tokens:
            self.handle(api.TimerDue(self.timer_tokens.pop(pick % len(self.timer_tokens))))
        elif kind == 6:
            row = self.rows[pick % len(self.rows)] if self.rows else api.ServerEntry("new", "edge-1", "box")
            state = ServerState(variant % 3)
            self.states[row.server] = state
            entry = api.ServerEntry(
                row.server, row.zone, row.kind, row.cell, state, row.weight, self.now if variant > 5 else 0
            )
            self.handle(api.MembershipUpdate(api.UpdateKind.CHANGES, (entry,)))
        elif kind == 7:
            self.purged_at = max(self.purged_at, self.now - wait)
            self.handle(api.Purged(1, wait))

    def finish(self) -> None:
        """Lets every attempt in flight time out at its deadline; then every request must have its answer."""
        self.now += 2 * SEC
        for name, number in sorted(self.in_flight):
            sent = self.in_flight.pop((name, number), None)
            if sent is not None:
                self.note_possible_run(name, number, sent.server)
                self.handle(
                    api.Finished(name, number, sent.server, Outcome.TIMED_OUT, 2 * SEC, name in self.answered)
                )
        assert not self.unanswered


def with_class(base: api.Settings, name: str) -> api.Settings:
    known = (*base.classes, api.ClassSettings(name, 1, 1))
    return with_classes(base, known)


def with_classes(base: api.Settings, classes: tuple[api.ClassSettings, ...]) -> api.Settings:
    return replace(base, classes=classes)


@settings(derandomize=True, max_examples=120, deadline=None)
@given(
    st.integers(0, 3),
    st.sampled_from([(4, 2, True), (1, 1, True), (1, 0, False), (0, 1, True)]),
    st.lists(STEPS),
)
def test_rules_hold_for_any_order_of_events(
    settings_index: int, fleet: tuple[int, int, bool], steps: list[tuple[int, int, int, int]]
) -> None:
    checker = RuleChecker(SETTINGS[settings_index], entries(*fleet))
    for step in steps:
        checker.step(*step)
    checker.finish()


# Guards against a repeat of what must not run twice, by any way to a second attempt.
@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.integers(0, 1),
    st.sampled_from([(4, 2, True), (4, 1, False), (1, 1, True)]),
    st.lists(REPEAT_STEPS, min_size=2),
)
def test_cached_classes_that_must_not_run_twice_keep_the_rules(
    settings_index: int, fleet: tuple[int, int, bool], steps: list[tuple[int, int, int, int]]
) -> None:
    checker = RuleChecker(REPEAT_SETTINGS[settings_index], entries(*fleet))
    for step in steps:
        checker.step(*step)
    checker.finish()


def test_a_retry_that_only_takes_a_held_copy_counts_as_an_attempt() -> None:
    checker = RuleChecker(SETTINGS[3], entries(4, 2, True))
    checker.step(0, 0, 0, 0)  # a request, of which one attempt is allowed
    checker.step(2, 0, 6, 0)  # that attempt ends, and the source refused its fill
    checker.finish()


def test_without_servers_a_request_is_refused_at_once() -> None:
    harness = RouterHarness(rows=())
    name, actions = harness.request()
    assert final_answers(actions) == [api.Refuse(name, 500_000)]


def test_a_request_without_time_left_is_refused_at_once() -> None:
    name, actions = RouterHarness().request(time_left=0)
    assert not sent_attempts(actions) and final_answers(actions) == [api.Refuse(name, 500_000)]


def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() -> None:
    harness = RouterHarness()
    name, actions = harness.request(cls="sign")
    (sent,) = sent_attempts(actions)
    assert sent.server == "o"
    assert final_answers(harness.finish(name, sent, Outcome.BROKEN)) == [api.Fail(name)]


def test_an_unsafe_request_that_never_ran_is_sent_elsewhere() -> None:
    harness = RouterHarness()
    name, actions = harness.request(cls="sign")
    (sent,) = sent_attempts(actions)
    after = harness.finish(name, sent, Outcome.UNREACHABLE)
    assert sent_attempts(after) and not final_answers(after)


def test_a_keyed_request_is_repeated_in_its_cell_and_window_only() -> None:
    harness = RouterHarness(with_settings(bypass_allowed=False))
    name, actions = harness.request(cls=KEYED.name)
    sent = single_fetch(actions)
    cell = int(sent.server[1]) // 2
    again = sent_attempts(harness.finish(name, sent, Outcome.BROKEN, after=1000))
    assert [int(a.server[1]) // 2 for a in again] == [cell]
    late = harness.finish(name, again[0], Outcome.BROKEN, after=2 * SEC, attempt=1)
    assert not sent_attempts(late) and final_answers(late) == [api.Fail(name)]


def test_a_draining_server_is_no_longer_used_as_server_or_source() -> None:
    harness = RouterHarness()
    first = harness.serve_hit("x")
    harness.update_servers(api.ServerEntry(first.server, "edge-1", "box", state=ServerState.DRAINING))
    harness.update_servers(api.ServerEntry(first.source, "hub", "parent", state=ServerState.DRAINING))
    moved = single_fetch(harness.request("x")[1])
    assert moved.server != first.server and moved.source != first.source


def test_a_full_list_without_a_server_removes_it() -> None:
    harness = RouterHarness()
    first = harness.serve_hit("x")
    harness.handle(
        api.MembershipUpdate(api.UpdateKind.FULL, tuple(e for e in entries() if e.server != first.server))
    )
    assert single_fetch(harness.request("x")[1]).server != first.server


def test_a_purge_limits_the_age_of_copies_until_it_is_complete() -> None:
    harness = RouterHarness()
    harness.handle(api.Purged(1, 200_000, "x"))
    assert single_fetch(harness.request("x")[1]).max_age in range(1, 200_001)
    harness.now += 1 * SEC
    assert 1 * SEC < single_fetch(harness.request("x", "pages")[1]).max_age <= 1_200_000
    assert single_fetch(harness.request("y")[1]).max_age == 0
    harness.now += 10 * SEC
    assert single_fetch(harness.request("x")[1]).max_age == 0


def test_a_purge_at_this_moment_gives_an_age_limit_above_zero() -> None:
    harness = RouterHarness()
    harness.handle(api.Purged(1, 0))
    assert single_fetch(harness.request("x")[1]).max_age == 1


def test_a_cold_cache_gets_some_of_its_objects_within_its_budget() -> None:
    harness = RouterHarness()
    for i in range(200):
        harness.serve_hit(f"o{i}")
    cold = api.ServerEntry("c0", "edge-1", "box", start_time=harness.now)
    harness.update_servers(cold)
    servers = [single_fetch(harness.request(f"n{i}")[1]).server for i in range(400)]
    assert 0 < servers.count("c0") < 0.4 * 400 / 4


def test_a_cold_parent_gets_only_some_of_its_objects() -> None:
    harness = RouterHarness()
    for i in range(100):
        harness.serve_hit(f"o{i}")
    harness.update_servers(api.ServerEntry("p0", "hub", "parent", start_time=harness.now))
    sources = [single_fetch(harness.request(f"n{i}")[1]).source for i in range(400)]
    assert sources.count("p0") < 0.3 * 400 / 2


def test_a_lost_source_is_not_blamed_on_the_cache() -> None:
    harness = RouterHarness()
    for i in range(40):
        name, actions = harness.request(f"o{i}")
        sent = single_fetch(actions)
        if sent.source == "p0":
            again = harness.finish(name, sent, Outcome.FULL, Note.SOURCE_LOST, after=1000)
            assert sent_attempts(again)[0].server == sent.server
    assert single_fetch(harness.request("z")[1]).source == "p1"
    assert harness.router.servers["p0"].ejected_until and not harness.router.servers["c0"].ejected_until


def test_small_requests_to_a_cold_cache_count_with_the_mean_work_of_their_class() -> None:
    """Guards against too many small requests to a cold cache, as if each counted only with its own size."""
    harness = RouterHarness()
    for i in range(50):
        name, actions = harness.request(f"o{i}", size_kb=400.0)
        harness.finish(name, single_fetch(actions), note=Note.HIT, after=400_000)
    harness.update_servers(api.ServerEntry("c0", "edge-1", "box", start_time=harness.now))
    sent = [single_fetch(harness.request(f"n{i}", size_kb=1.0)[1]).server for i in range(60)].count("c0")
    assert sent and harness.router.servers["c0"].slow_start_work.total > sent * 150_000


def test_slow_start_budget_does_not_grow_with_repeated_requests() -> None:
    """Incident i341efe: refused clients repeated their requests, and a parent's estimated capacity grew."""
    harness = RouterHarness()
    for i in range(50):
        name, actions = harness.request(f"o{i}")
        harness.finish(name, single_fetch(actions), note=Note.FILLED)
    before = harness.router.capacity_share(harness.router.servers["p0"])
    for i in range(200):
        harness.request(f"m{i}")
    assert harness.router.capacity_share(harness.router.servers["p0"]) <= before
