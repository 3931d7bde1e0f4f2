"""Where the recorder listens: what the program says of itself and does anyway."""

from __future__ import annotations

from collections.abc import Sequence

from onyxpulley.core import Exchange
from onyxpulley.decision_adapter import DecisionAdapter, Member
from onyxpulley.discovery import DiscoveryClient
from onyxpulley.incident.records import Kind
from onyxpulley.incident.tally import Tally


def attach(tally: Tally, exchange: Exchange, bulletin: DiscoveryClient, facade: DecisionAdapter) -> None:
    fields = facade.load_fields
    tally.load_at = fields.index("busy_reqs") if "busy_reqs" in fields else -1
    exchange.observer = tally
    say, decided = bulletin.log, facade.log

    def listed(full: bool, members: Sequence[Member]) -> None:
        for m in members:
            tally.event(Kind.LIST, m.uid, m.state, float(m.boot_ms), f"{m.model}@{m.zone}")

    def purged(item: str | None, lot: int | None, issued: int) -> None:
        what = f"object {item}" if item is not None else f"group {lot}"
        tally.event(Kind.PURGE, value=float(issued), detail=what)

    def news(text: str) -> None:
        tally.event(Kind.NEWS, detail=text)
        say(text)

    def log(text: str) -> None:
        words = text.split(" ", 3)
        if len(words) > 2 and words[2] in ("down", "up"):
            tally.event(Kind.AVOID, words[1], words[2], detail=text)
        decided(text)

    bulletin.on_members, bulletin.on_purge, bulletin.log = listed, purged, news
    bulletin.events.log = news
    facade.log = log
