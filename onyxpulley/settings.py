"""The settings object of a deployment, read once for the simulator's adapter and the real program alike."""

from __future__ import annotations

from typing import Any

from onyxpulley import interface as api

Json = dict[str, Any]


def get_or_default(table: Json, key: str, default: Any) -> Any:
    """The value of a key; absent and null are alike."""
    value = table.get(key)
    return default if value is None else value


def item_or_default(row: Any, index: int, default: Any) -> Any:
    if isinstance(row, list) and index < len(row) and row[index] is not None:
        return row[index]
    return default


def read_settings(params: Json) -> api.Settings:
    """The settings object; unknown keys are skipped, absent ones take the stated defaults."""
    base = api.Settings(zone="", classes=())
    fam = get_or_default(params, "familyInfo", {})
    bounds = get_or_default(params, "bounds", {})
    safety = get_or_default(params, "safety", {})
    zones = [str(z) for z in get_or_default(params, "azs", [])]
    zone = str(get_or_default(params, "zone", ""))
    shapes = get_or_default(params, "shapes", [])
    routers = max(1, int(get_or_default(params, "peersTotal", 1)))
    place = zones.index(zone) if zone in zones else -1

    def kind(key: str) -> str | None:
        index = int(get_or_default(fam, key, -1))
        return str(shapes[index]) if 0 <= index < len(shapes) else None

    def one_class(index: int, row: Json) -> api.ClassSettings:
        deadline = int(get_or_default(row, "deadline", 0))
        return api.ClassSettings(
            name=str(row["name"]),
            aim=int(get_or_default(row, "objective", deadline)),
            deadline=deadline,
            aim_stretch=float(get_or_default(row, "aimStretch", 0.0)),
            worth=float(get_or_default(row, "worth", 1.0)),
            late_share=float(get_or_default(row, "lateShare", 0.0)),
            effect=api.Effect(get_or_default(row, "idempotency", "unsafe")),
            dedup_by=str(get_or_default(row, "group", "all")),
            dedup_window=int(get_or_default(row, "repeatWindow", 0)),
            streamed=bool(get_or_default(row, "stream", False)),
            freshness_lifetime=int(item_or_default(fam.get("goodFor"), index, 0)),
            grace=int(item_or_default(fam.get("staleFor"), index, 0)),
            stale_worth=float(item_or_default(fam.get("staleEarns"), index, 0.0)),
            uncached=bool(item_or_default(fam.get("uncached"), index, False)),
        )

    crew = item_or_default(fam.get("crewByZone"), place, 0) if place >= 0 else 0
    return api.Settings(
        zone=zone,
        classes=tuple(one_class(i, row) for i, row in enumerate(get_or_default(params, "classes", []))),
        zones=tuple(zones),
        router_index=int(get_or_default(params, "me", 0)),
        routers=routers,
        tick=int(get_or_default(params, "period", base.tick)),
        parent_kind=kind("parentKind"),
        origin_kind=kind("originKind"),
        zone_routers=int(crew) or routers,
        zone_hubs=tuple(int(h) for h in get_or_default(fam, "hubOf", [])),
        bypass_allowed=bool(get_or_default(fam, "bypassAllowed", base.bypass_allowed)),
        may_join=bool(get_or_default(fam, "canJoin", base.may_join)),
        sibling_scope=str(get_or_default(fam, "neighbours", base.sibling_scope)),
        notes=str(get_or_default(fam, "noteLevel", base.notes)),
        flow_kb_per_s=float(get_or_default(fam, "flowKbPerS", base.flow_kb_per_s)),
        weights_are_nominal=get_or_default(params, "weights", "none") in ("nominal", "rough"),
        subscribe=get_or_default(params, "discovery", "automatic") == "subscribe",
        must_ask_in=int(get_or_default(safety, "mustAskIn", base.must_ask_in)),
        may_probe=bool(get_or_default(bounds, "mayProbe", base.may_probe)),
        may_cancel=bool(get_or_default(bounds, "cancelling", base.may_cancel)),
        may_hedge=bool(get_or_default(bounds, "secondCopies", base.may_hedge)),
        sends_retry_after=bool(get_or_default(bounds, "retryAfter", base.sends_retry_after)),
        max_retry_after=int(get_or_default(bounds, "maxRetryAfter", base.max_retry_after)),
        max_attempts=int(get_or_default(bounds, "maxAttempts", base.max_attempts)),
        drain_grace=int(get_or_default(safety, "drainGrace", base.drain_grace)),
        answer_grace=int(get_or_default(safety, "graceToAnswer", base.answer_grace)),
        cold_initial_share=float(get_or_default(safety, "coldFrom", base.cold_initial_share)),
        warm_up_time=int(get_or_default(safety, "cold", base.warm_up_time)),
        cold_multiple=float(get_or_default(safety, "tipMultiple", base.cold_multiple)),
        cold_window=int(get_or_default(safety, "tipAfter", base.cold_window)),
        parent_cold_initial_share=float(
            get_or_default(fam, "parentStartsAt", base.parent_cold_initial_share)
        ),
        parent_warm_up_time=int(get_or_default(fam, "parentWarmsIn", base.parent_warm_up_time)),
        parent_cold_multiple=float(get_or_default(fam, "parentLimitFactor", base.parent_cold_multiple)),
        purge_grace=int(get_or_default(fam, "purgeGrace", base.purge_grace)),
        purge_duration=int(get_or_default(fam, "clearedWithin", base.purge_duration)),
        load_report_fields=tuple(
            str(n) for n in get_or_default(get_or_default(params, "stats", {}), "names", [])
        ),
    )
