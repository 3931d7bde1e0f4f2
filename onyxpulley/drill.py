"""The adapter: JSON lines of the simulator's wire to events and back. It decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from typing import Any, TextIO

from onyxpulley import interface as api
from onyxpulley.control import Router

Json = dict[str, Any]

OUTCOMES = {
    "done": api.Outcome.SERVED,
    "err": api.Outcome.ERROR,
    "busy": api.Outcome.FULL,
    "etimedout": api.Outcome.TIMED_OUT,
    "econnrefused": api.Outcome.UNREACHABLE,
    "econnreset": api.Outcome.BROKEN,
    "ecanceled": api.Outcome.CANCELLED,
    "skipped": api.Outcome.NEVER_SENT,
    "enoent": api.Outcome.MISS,
}
LIST_KINDS = {
    1: api.ListKind.CHANGES,
    4: api.ListKind.FULL,
    2: api.ListKind.CACHED,
    3: api.ListKind.FAILED,
}


class Malformed(Exception):
    """A line that is not what the wire promises."""


def _get(table: Json, key: str, default: Any) -> Any:
    """The value of a key; absent and null are alike."""
    value = table.get(key)
    return default if value is None else value


def _at(row: Any, index: int, default: Any) -> Any:
    if isinstance(row, list) and index < len(row) and row[index] is not None:
        return row[index]
    return default


def read_settings(params: Json) -> api.Settings:
    """The settings object; unknown keys are skipped, absent ones take the stated defaults."""
    base = api.Settings(zone="", classes=())
    fam = _get(params, "familyInfo", {})
    bounds = _get(params, "bounds", {})
    safety = _get(params, "safety", {})
    zones = [str(z) for z in _get(params, "azs", [])]
    zone = str(_get(params, "zone", ""))
    shapes = _get(params, "shapes", [])
    routers = max(1, int(_get(params, "peersTotal", 1)))
    place = zones.index(zone) if zone in zones else -1

    def kind(key: str) -> str | None:
        index = int(_get(fam, key, -1))
        return str(shapes[index]) if 0 <= index < len(shapes) else None

    def one_class(index: int, row: Json) -> api.ClassSettings:
        deadline = int(_get(row, "deadline", 0))
        return api.ClassSettings(
            name=str(row["name"]),
            aim=int(_get(row, "objective", deadline)),
            deadline=deadline,
            aim_stretch=float(_get(row, "aimStretch", 0.0)),
            worth=float(_get(row, "worth", 1.0)),
            late_share=float(_get(row, "lateShare", 0.0)),
            effect=api.Effect(_get(row, "idempotency", "unsafe")),
            group=str(_get(row, "group", "all")),
            repeat_window=int(_get(row, "repeatWindow", 0)),
            stream=bool(_get(row, "stream", False)),
            fresh=int(_at(fam.get("goodFor"), index, 0)),
            grace=int(_at(fam.get("staleFor"), index, 0)),
            stale_worth=float(_at(fam.get("staleEarns"), index, 0.0)),
            uncached=bool(_at(fam.get("uncached"), index, False)),
        )

    crew = _at(fam.get("crewByZone"), place, 0) if place >= 0 else 0
    return api.Settings(
        zone=zone,
        classes=tuple(one_class(i, row) for i, row in enumerate(_get(params, "classes", []))),
        zones=tuple(zones),
        me=int(_get(params, "me", 0)),
        routers=routers,
        tick=int(_get(params, "period", base.tick)),
        parent_kind=kind("parentKind"),
        origin_kind=kind("originKind"),
        zone_routers=int(crew) or routers,
        zone_hub=tuple(int(h) for h in _get(fam, "hubOf", [])),
        direct=bool(_get(fam, "bypassAllowed", base.direct)),
        joins=bool(_get(fam, "canJoin", base.joins)),
        siblings=str(_get(fam, "neighbours", base.siblings)),
        notes=str(_get(fam, "noteLevel", base.notes)),
        flow_kb_per_s=float(_get(fam, "flowKbPerS", base.flow_kb_per_s)),
        nominal_weights=_get(params, "weights", "none") in ("nominal", "rough"),
        subscribe=_get(params, "discovery", "automatic") == "subscribe",
        must_ask_in=int(_get(safety, "mustAskIn", base.must_ask_in)),
        probes=bool(_get(bounds, "mayProbe", base.probes)),
        cancel=bool(_get(bounds, "cancelling", base.cancel)),
        second_copies=bool(_get(bounds, "secondCopies", base.second_copies)),
        come_back=bool(_get(bounds, "retryAfter", base.come_back)),
        max_come_back=int(_get(bounds, "maxRetryAfter", base.max_come_back)),
        max_attempts=int(_get(bounds, "maxAttempts", base.max_attempts)),
        drain_grace=int(_get(safety, "drainGrace", base.drain_grace)),
        answer_grace=int(_get(safety, "graceToAnswer", base.answer_grace)),
        cold_from=float(_get(safety, "coldFrom", base.cold_from)),
        cold_time=int(_get(safety, "cold", base.cold_time)),
        cold_multiple=float(_get(safety, "tipMultiple", base.cold_multiple)),
        cold_window=int(_get(safety, "tipAfter", base.cold_window)),
        parent_cold_from=float(_get(fam, "parentStartsAt", base.parent_cold_from)),
        parent_cold_time=int(_get(fam, "parentWarmsIn", base.parent_cold_time)),
        parent_cold_multiple=float(_get(fam, "parentLimitFactor", base.parent_cold_multiple)),
        purge_grace=int(_get(fam, "purgeGrace", base.purge_grace)),
        purge_done=int(_get(fam, "clearedWithin", base.purge_done)),
        report=tuple(str(n) for n in _get(_get(params, "stats", {}), "names", [])),
    )


def _entry(row: Json) -> api.Entry:
    return api.Entry(
        server=str(row["server"]),
        zone=str(_get(row, "regionPart", "")),
        kind=str(_get(row, "classOfHost", "")),
        cell=int(_get(row, "pod", 0)),
        state=api.State(row["readiness"]),
        weight=float(_get(row, "capacityHint", 1.0)),
        started=int(_get(row, "since", 0)),
    )


def _load(item: Json) -> tuple[float, ...]:
    return tuple(float(_at([v], 0, 0.0)) for v in _get(item, "serverStats", []))


def read_event(item: Json) -> api.Event | None:
    """One event, or None for a kind that is not known."""
    match item["op"]:
        case "newRequest":
            group = item.get("batchId")
            return api.Request(
                id=item["ref"],
                cls=str(item["service"]),
                object=str(_get(item, "asset", "")),
                time_left=int(item["timeLeft"]),
                group=None if group is None else int(group),
                size_kb=float(_get(item, "kbytes", 0)),
                part=int(_get(item, "chunk", 0)),
                write=bool(_get(item, "update", False)),
                repeat=bool(_get(item, "resent", False)),
                tenant=item.get("owner"),
            )
        case "returned":
            return api.Finished(
                id=item["ref"],
                attempt=int(_get(item, "roundNo", 0)),
                server=str(item["server"]),
                outcome=OUTCOMES[item["reason"]],
                took=int(_get(item, "timeTaken", 0)),
                over=bool(_get(item, "over", False)),
                note=int(_get(item, "info", 0)),
                waited=int(_get(item, "sourceWait", 0)),
                load=_load(item),
            )
        case "ring":
            return api.TimerDue(int(item["nonce"]))
        case "lapsed":
            return api.ClientGone(item["ref"])
        case "announce":
            rows = _get(item, "membersList", [])
            version = int(_get(item, "stamp", 0))
            return api.Listing(LIST_KINDS[item["scope"]], tuple(_entry(r) for r in rows), version)
        case "recalled":
            group = item.get("familyId")
            group = None if group is None else int(group)
            return api.Purged(group, int(_get(item, "copyAge", 0)), item.get("asset"))
        case "probeResult":
            outcome = OUTCOMES[item["reason"]]
            return api.Probed(str(item["server"]), outcome, int(_get(item, "timeTaken", 0)), _load(item))
        case "underWay":
            return api.Began(item["ref"], int(_get(item, "roundNo", 0)))
    return None


def write_action(instance: int, action: api.Action) -> Json:
    match action:
        case api.Fetch():
            manner = action.join * 1 + action.only_held * 2 + action.renew * 8
            return {
                "op": "pullVia",
                "i": instance,
                "ref": action.id,
                "server": action.server,
                "tryFor": action.time_out,
                "feeder": action.source,
                "storeAs": action.rank,
                "copyAge": action.max_age,
                "manner": manner,
            }
        case api.Ask():
            return {
                "op": "transmit",
                "i": instance,
                "ref": action.id,
                "server": action.server,
                "tryFor": action.time_out,
            }
        case api.Refuse():
            return {"op": "overloadReply", "i": instance, "ref": action.id, "comeBack": action.come_back}
        case api.Fail():
            return {"op": "error", "i": instance, "ref": action.id}
        case api.Cancel():
            return {"op": "undoSend", "i": instance, "ref": action.id, "roundNo": action.attempt}
        case api.SetTimer():
            return {"op": "sleep", "i": instance, "nonce": action.token, "delay": action.delay}
        case api.Probe():
            return {"op": "soundOut", "i": instance, "server": action.server}
        case api.Subscribe():
            return {"op": "tail", "i": instance, "enable": True}
        case api.Log():
            return {"op": "noteDown", "i": instance, "words": action.text}


class Drill:
    """All instances of one process, each a Router of its own."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def batch(self, line: str) -> str:
        try:
            frame = json.loads(line)
            now = int(frame["t"])
            steps = [(int(item["i"]), item["op"], self._read(item)) for item in frame["items"]]
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as problem:
            raise Malformed(f"{type(problem).__name__}: {problem}") from problem
        output = [row for step in steps for row in self._one(now, *step)]
        return json.dumps({"output": output}, separators=(",", ":"))

    def _read(self, item: Json) -> api.Event | tuple[api.Settings, int] | None:
        if item["op"] == "powerOn":
            return read_settings(item["params"]), int(item["randomSeed"])
        return read_event(item)

    def _one(
        self, now: int, instance: int, op: str, event: api.Event | tuple[api.Settings, int] | None
    ) -> Iterator[Json]:
        if isinstance(event, tuple):
            self.routers[instance] = Router(*event)
        elif op == "retire":
            self.routers.pop(instance, None)
        elif event is not None and instance in self.routers:
            for action in self.routers[instance].handle(now, event):
                yield write_action(instance, action)


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    drill = Drill()
    for line in source:
        try:
            sink.write(drill.batch(line) + "\n")
        except Malformed as problem:
            print(f"onyxpulley: bad line on the wire: {problem}", file=sys.stderr)
            return 1
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
