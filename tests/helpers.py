"""A small bench-free world: one location with caches, two parents and an origin, driven by hand."""

from __future__ import annotations

from dataclasses import replace
from itertools import count

from onyxpulley import interface as api
from onyxpulley.router import Router

SEC = 1_000_000
PAGES = api.ClassSettings(
    "pages", 250_000, 2_500_000, 2.0, 1.0, 0.2, api.Effect.SAFE, freshness_lifetime=8 * SEC, grace=20 * SEC
)
MEDIA = api.ClassSettings("media", 400_000, 5_000_000, 1.6, 2.0, 0.15, api.Effect.SAFE)
SIGN = api.ClassSettings("sign", 600_000, 3_000_000, 0.0, 3.0, 0.0, api.Effect.UNSAFE, uncached=True)
KEYED = api.ClassSettings(
    "keyed", 600_000, 3_000_000, effect=api.Effect.KEYED, dedup_by="cell", dedup_window=1 * SEC, uncached=True
)
BASE_SETTINGS = api.Settings(
    zone="edge-1",
    classes=(PAGES, MEDIA, SIGN, KEYED),
    zones=("hub", "edge-1", "edge-2"),
    routers=3,
    zone_routers=2,
    parent_kind="parent",
    origin_kind="origin",
    bypass_allowed=True,
    may_join=True,
    notes="all",
    flow_kb_per_s=1000.0,
    may_probe=False,
    may_cancel=True,
    may_hedge=True,
    sends_retry_after=True,
    max_retry_after=500_000,
    max_attempts=6,
    drain_grace=500_000,
    cold_initial_share=0.2,
    warm_up_time=18 * SEC,
    cold_multiple=3.0,
    cold_window=3 * SEC,
    purge_duration=6 * SEC,
    purge_grace=500_000,
)
START = 100 * SEC


def entries(caches: int = 4, parents: int = 2, origin: bool = True) -> tuple[api.ServerEntry, ...]:
    rows = [api.ServerEntry(f"c{i}", "edge-1", "box", cell=i // 2) for i in range(caches)]
    rows += [api.ServerEntry(f"p{i}", "hub", "parent") for i in range(parents)]
    rows += [api.ServerEntry("o", "hub", "origin")] if origin else []
    return tuple(rows)


class RouterHarness:
    """A router with its list, and what it has said so far."""

    def __init__(
        self,
        settings: api.Settings = BASE_SETTINGS,
        rows: tuple[api.ServerEntry, ...] | None = None,
        now: int = START,
    ) -> None:
        self.router = Router(settings, 1)
        self.now = now
        self.request_numbers = count()
        self.handle(api.MembershipUpdate(api.UpdateKind.CACHED, entries() if rows is None else rows))

    def handle(self, event: api.Event, after: int = 0) -> list[api.Action]:
        self.now += after
        return self.router.handle(self.now, event)

    def update_servers(self, *rows: api.ServerEntry, after: int = 0) -> None:
        self.handle(api.MembershipUpdate(api.UpdateKind.CHANGES, rows), after)

    def request(
        self,
        obj: str = "x",
        cls: str = "media",
        time_left: int = 5 * SEC,
        size_kb: float = 100.0,
        group: int = 1,
    ) -> tuple[str, list[api.Action]]:
        name = f"r{next(self.request_numbers)}"
        return name, self.handle(api.Request(name, cls, obj, time_left, group=group, size_kb=size_kb))

    def finish(
        self,
        name: str,
        sent: api.Fetch | api.Forward,
        outcome: api.Outcome = api.Outcome.SERVED,
        note: int = 0,
        after: int = 100_000,
        attempt: int = 0,
    ) -> list[api.Action]:
        over = outcome is api.Outcome.SERVED
        return self.handle(api.Finished(name, attempt, sent.server, outcome, after, over, note), after)

    def serve_hit(self, obj: str, **more: object) -> api.Fetch:
        """Ask and answer at once, a plain hit."""
        name, actions = self.request(obj)
        sent = single_fetch(actions)
        self.finish(name, sent, note=api.Note.HIT)
        return sent


def sent_attempts(actions: list[api.Action]) -> list[api.Fetch | api.Forward]:
    return [a for a in actions if isinstance(a, api.Fetch | api.Forward)]


def single_fetch(actions: list[api.Action]) -> api.Fetch:
    (sent,) = [a for a in actions if isinstance(a, api.Fetch)]
    return sent


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def with_settings(**changes: object) -> api.Settings:
    return replace(BASE_SETTINGS, **changes)  # type: ignore[arg-type]
