"""Connects the collector of records to the parts of the program whose events it records."""

from __future__ import annotations

from collections.abc import Sequence

from onyxpulley.core import Exchange
from onyxpulley.decision_adapter import DecisionAdapter, Member
from onyxpulley.discovery import DiscoveryClient
from onyxpulley.incident.collector import RecordCollector
from onyxpulley.incident.records import Kind


def attach(
    collector: RecordCollector, exchange: Exchange, discovery: DiscoveryClient, decisions: DecisionAdapter
) -> None:
    """Records answers, attempts, membership, purges, and the log lines of discovery and of the decisions.

    The log lines are still written as before.
    """
    fields = decisions.load_fields
    collector.load_field_index = fields.index("busy_reqs") if "busy_reqs" in fields else -1
    exchange.observer = collector
    log_discovery, log_decisions = discovery.log, decisions.log

    def on_members(full: bool, members: Sequence[Member]) -> None:
        for m in members:
            collector.add_event(Kind.LIST, m.uid, m.state, float(m.boot_ms), f"{m.model}@{m.zone}")

    def on_purge(item: str | None, group: int | None, issued_ms: int) -> None:
        purged = f"object {item}" if item is not None else f"group {group}"
        collector.add_event(Kind.PURGE, value=float(issued_ms), detail=purged)

    def on_discovery_log(text: str) -> None:
        collector.add_event(Kind.NEWS, detail=text)
        log_discovery(text)

    def on_decision_log(text: str) -> None:
        words = text.split(" ", 3)  # "ROLE SERVER down after N failures" or "ROLE SERVER up again"
        if len(words) > 2 and words[2] in ("down", "up"):
            collector.add_event(Kind.AVOID, words[1], words[2], detail=text)
        log_decisions(text)

    discovery.on_members, discovery.on_purge, discovery.log = on_members, on_purge, on_discovery_log
    discovery.events.log = on_discovery_log
    decisions.log = on_decision_log
