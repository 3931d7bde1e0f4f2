"""The settings object of a deployment, read once for the simulator's adapter and the real program alike."""

from __future__ import annotations

from typing import Any

from onyxpulley import interface as api

Json = dict[str, Any]


def get(table: Json, key: str, default: Any) -> Any:
    """The value of a key; absent and null are alike."""
    value = table.get(key)
    return default if value is None else value


def at(row: Any, index: int, default: Any) -> Any:
    if isinstance(row, list) and index < len(row) and row[index] is not None:
        return row[index]
    return default


def read_settings(params: Json) -> api.Settings:
    """The settings object; unknown keys are skipped, absent ones take the stated defaults."""
    base = api.Settings(zone="", classes=())
    fam = get(params, "familyInfo", {})
    bounds = get(params, "bounds", {})
    safety = get(params, "safety", {})
    zones = [str(z) for z in get(params, "azs", [])]
    zone = str(get(params, "zone", ""))
    shapes = get(params, "shapes", [])
    routers = max(1, int(get(params, "peersTotal", 1)))
    place = zones.index(zone) if zone in zones else -1

    def kind(key: str) -> str | None:
        index = int(get(fam, key, -1))
        return str(shapes[index]) if 0 <= index < len(shapes) else None

    def one_class(index: int, row: Json) -> api.ClassSettings:
        deadline = int(get(row, "deadline", 0))
        return api.ClassSettings(
            name=str(row["name"]),
            aim=int(get(row, "objective", deadline)),
            deadline=deadline,
            aim_stretch=float(get(row, "aimStretch", 0.0)),
            worth=float(get(row, "worth", 1.0)),
            late_share=float(get(row, "lateShare", 0.0)),
            effect=api.Effect(get(row, "idempotency", "unsafe")),
            group=str(get(row, "group", "all")),
            repeat_window=int(get(row, "repeatWindow", 0)),
            stream=bool(get(row, "stream", False)),
            fresh=int(at(fam.get("goodFor"), index, 0)),
            grace=int(at(fam.get("staleFor"), index, 0)),
            stale_worth=float(at(fam.get("staleEarns"), index, 0.0)),
            uncached=bool(at(fam.get("uncached"), index, False)),
        )

    crew = at(fam.get("crewByZone"), place, 0) if place >= 0 else 0
    return api.Settings(
        zone=zone,
        classes=tuple(one_class(i, row) for i, row in enumerate(get(params, "classes", []))),
        zones=tuple(zones),
        me=int(get(params, "me", 0)),
        routers=routers,
        tick=int(get(params, "period", base.tick)),
        parent_kind=kind("parentKind"),
        origin_kind=kind("originKind"),
        zone_routers=int(crew) or routers,
        zone_hub=tuple(int(h) for h in get(fam, "hubOf", [])),
        direct=bool(get(fam, "bypassAllowed", base.direct)),
        joins=bool(get(fam, "canJoin", base.joins)),
        siblings=str(get(fam, "neighbours", base.siblings)),
        notes=str(get(fam, "noteLevel", base.notes)),
        flow_kb_per_s=float(get(fam, "flowKbPerS", base.flow_kb_per_s)),
        nominal_weights=get(params, "weights", "none") in ("nominal", "rough"),
        subscribe=get(params, "discovery", "automatic") == "subscribe",
        must_ask_in=int(get(safety, "mustAskIn", base.must_ask_in)),
        probes=bool(get(bounds, "mayProbe", base.probes)),
        cancel=bool(get(bounds, "cancelling", base.cancel)),
        second_copies=bool(get(bounds, "secondCopies", base.second_copies)),
        come_back=bool(get(bounds, "retryAfter", base.come_back)),
        max_come_back=int(get(bounds, "maxRetryAfter", base.max_come_back)),
        max_attempts=int(get(bounds, "maxAttempts", base.max_attempts)),
        drain_grace=int(get(safety, "drainGrace", base.drain_grace)),
        answer_grace=int(get(safety, "graceToAnswer", base.answer_grace)),
        cold_from=float(get(safety, "coldFrom", base.cold_from)),
        cold_time=int(get(safety, "cold", base.cold_time)),
        cold_multiple=float(get(safety, "tipMultiple", base.cold_multiple)),
        cold_window=int(get(safety, "tipAfter", base.cold_window)),
        parent_cold_from=float(get(fam, "parentStartsAt", base.parent_cold_from)),
        parent_cold_time=int(get(fam, "parentWarmsIn", base.parent_cold_time)),
        parent_cold_multiple=float(get(fam, "parentLimitFactor", base.parent_cold_multiple)),
        purge_grace=int(get(fam, "purgeGrace", base.purge_grace)),
        purge_done=int(get(fam, "clearedWithin", base.purge_done)),
        report=tuple(str(n) for n in get(get(params, "stats", {}), "names", [])),
    )
