"""Reads the settings object of a deployment, for the simulator's adapter and for the program alike."""

from __future__ import annotations

from typing import Any

from onyxpulley import interface as api

Json = dict[str, Any]


def get_or_default(table: Json, key: str, default: Any) -> Any:
    """The value of a key, or `default` where it is absent or null."""
    value = table.get(key)
    return default if value is None else value


def item_or_default(values: Any, index: int, default: Any) -> Any:
    """The item of a list, or `default` where it is absent or null, or where `values` is no list."""
    if isinstance(values, list) and index < len(values) and values[index] is not None:
        return values[index]
    return default


def read_settings(params: Json) -> api.Settings:
    """Reads the settings object. Unknown keys are ignored; absent ones take the defaults of `Settings`.

    Raises KeyError, ValueError, TypeError or AttributeError on a value that cannot be read.
    """
    defaults = api.Settings(zone="", classes=())
    family_info = get_or_default(params, "familyInfo", {})
    bounds = get_or_default(params, "bounds", {})
    safety = get_or_default(params, "safety", {})
    zones = [str(name) for name in get_or_default(params, "azs", [])]
    zone = str(get_or_default(params, "zone", ""))
    shapes = get_or_default(params, "shapes", [])
    routers = max(1, int(get_or_default(params, "peersTotal", 1)))
    zone_index = zones.index(zone) if zone in zones else -1

    def read_kind(key: str) -> str | None:
        index = int(get_or_default(family_info, key, -1))
        return str(shapes[index]) if 0 <= index < len(shapes) else None

    def read_class(index: int, table: Json) -> api.ClassSettings:
        deadline = int(get_or_default(table, "deadline", 0))
        return api.ClassSettings(
            name=str(table["name"]),
            aim=int(get_or_default(table, "objective", deadline)),
            deadline=deadline,
            aim_stretch=float(get_or_default(table, "aimStretch", 0.0)),
            worth=float(get_or_default(table, "worth", 1.0)),
            late_share=float(get_or_default(table, "lateShare", 0.0)),
            effect=api.Effect(get_or_default(table, "idempotency", "unsafe")),
            dedup_by=str(get_or_default(table, "group", "all")),
            dedup_window=int(get_or_default(table, "repeatWindow", 0)),
            streamed=bool(get_or_default(table, "stream", False)),
            freshness_lifetime=int(item_or_default(family_info.get("goodFor"), index, 0)),
            grace=int(item_or_default(family_info.get("staleFor"), index, 0)),
            stale_worth=float(item_or_default(family_info.get("staleEarns"), index, 0.0)),
            uncached=bool(item_or_default(family_info.get("uncached"), index, False)),
        )

    zone_routers = item_or_default(family_info.get("crewByZone"), zone_index, 0) if zone_index >= 0 else 0
    return api.Settings(
        zone=zone,
        classes=tuple(
            read_class(index, table) for index, table in enumerate(get_or_default(params, "classes", []))
        ),
        zones=tuple(zones),
        router_index=int(get_or_default(params, "me", 0)),
        routers=routers,
        tick=int(get_or_default(params, "period", defaults.tick)),
        parent_kind=read_kind("parentKind"),
        origin_kind=read_kind("originKind"),
        zone_routers=int(zone_routers) or routers,
        zone_hubs=tuple(int(hub) for hub in get_or_default(family_info, "hubOf", [])),
        bypass_allowed=bool(get_or_default(family_info, "bypassAllowed", defaults.bypass_allowed)),
        may_join=bool(get_or_default(family_info, "canJoin", defaults.may_join)),
        sibling_scope=str(get_or_default(family_info, "neighbours", defaults.sibling_scope)),
        notes=str(get_or_default(family_info, "noteLevel", defaults.notes)),
        flow_kb_per_s=float(get_or_default(family_info, "flowKbPerS", defaults.flow_kb_per_s)),
        weights_are_nominal=get_or_default(params, "weights", "none") in ("nominal", "rough"),
        subscribe=get_or_default(params, "discovery", "automatic") == "subscribe",
        must_ask_in=int(get_or_default(safety, "mustAskIn", defaults.must_ask_in)),
        may_probe=bool(get_or_default(bounds, "mayProbe", defaults.may_probe)),
        may_cancel=bool(get_or_default(bounds, "cancelling", defaults.may_cancel)),
        may_hedge=bool(get_or_default(bounds, "secondCopies", defaults.may_hedge)),
        sends_retry_after=bool(get_or_default(bounds, "retryAfter", defaults.sends_retry_after)),
        max_retry_after=int(get_or_default(bounds, "maxRetryAfter", defaults.max_retry_after)),
        max_attempts=int(get_or_default(bounds, "maxAttempts", defaults.max_attempts)),
        drain_grace=int(get_or_default(safety, "drainGrace", defaults.drain_grace)),
        answer_grace=int(get_or_default(safety, "graceToAnswer", defaults.answer_grace)),
        cold_initial_share=float(get_or_default(safety, "coldFrom", defaults.cold_initial_share)),
        warm_up_time=int(get_or_default(safety, "cold", defaults.warm_up_time)),
        cold_multiple=float(get_or_default(safety, "tipMultiple", defaults.cold_multiple)),
        cold_window=int(get_or_default(safety, "tipAfter", defaults.cold_window)),
        parent_cold_initial_share=float(
            get_or_default(family_info, "parentStartsAt", defaults.parent_cold_initial_share)
        ),
        parent_warm_up_time=int(get_or_default(family_info, "parentWarmsIn", defaults.parent_warm_up_time)),
        parent_cold_multiple=float(
            get_or_default(family_info, "parentLimitFactor", defaults.parent_cold_multiple)
        ),
        purge_grace=int(get_or_default(family_info, "purgeGrace", defaults.purge_grace)),
        purge_duration=int(get_or_default(family_info, "clearedWithin", defaults.purge_duration)),
        load_report_fields=tuple(
            str(name) for name in get_or_default(get_or_default(params, "stats", {}), "names", [])
        ),
    )
