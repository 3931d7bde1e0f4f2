"""The adapter: JSON lines of the simulator's wire to events and back. It decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from typing import TextIO

from onyxpulley import interface as api
from onyxpulley.router import Router
from onyxpulley.settings import Json, at, get, read_settings

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


def _entry(row: Json) -> api.Entry:
    return api.Entry(
        server=str(row["server"]),
        zone=str(get(row, "regionPart", "")),
        kind=str(get(row, "classOfHost", "")),
        cell=int(get(row, "pod", 0)),
        state=api.State(row["readiness"]),
        weight=float(get(row, "capacityHint", 1.0)),
        started=int(get(row, "since", 0)),
    )


def _load(item: Json) -> tuple[float, ...]:
    return tuple(float(at([v], 0, 0.0)) for v in get(item, "serverStats", []))


def read_event(item: Json) -> api.Event | None:
    """One event, or None for a kind that is not known."""
    match item["op"]:
        case "newRequest":
            group = item.get("batchId")
            return api.Request(
                id=item["ref"],
                cls=str(item["service"]),
                object=str(get(item, "asset", "")),
                time_left=int(item["timeLeft"]),
                group=None if group is None else int(group),
                size_kb=float(get(item, "kbytes", 0)),
                part=int(get(item, "chunk", 0)),
                write=bool(get(item, "update", False)),
                repeat=bool(get(item, "resent", False)),
                tenant=item.get("owner"),
            )
        case "returned":
            return api.Finished(
                id=item["ref"],
                attempt=int(get(item, "roundNo", 0)),
                server=str(item["server"]),
                outcome=OUTCOMES[item["reason"]],
                took=int(get(item, "timeTaken", 0)),
                over=bool(get(item, "over", False)),
                note=int(get(item, "info", 0)),
                waited=int(get(item, "sourceWait", 0)),
                load=_load(item),
            )
        case "ring":
            return api.TimerDue(int(item["nonce"]))
        case "lapsed":
            return api.ClientGone(item["ref"])
        case "announce":
            rows = get(item, "membersList", [])
            version = int(get(item, "stamp", 0))
            return api.Listing(LIST_KINDS[item["scope"]], tuple(_entry(r) for r in rows), version)
        case "recalled":
            group = item.get("familyId")
            group = None if group is None else int(group)
            return api.Purged(group, int(get(item, "copyAge", 0)), item.get("asset"))
        case "probeResult":
            outcome = OUTCOMES[item["reason"]]
            return api.Probed(str(item["server"]), outcome, int(get(item, "timeTaken", 0)), _load(item))
        case "underWay":
            return api.Began(item["ref"], int(get(item, "roundNo", 0)))
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
        case api.Own():
            raise ValueError("the simulator's routers keep no copies of their own")
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
