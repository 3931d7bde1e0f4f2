"""Adapter for the simulator: JSON lines on standard input become events, and actions become JSON lines.

One process holds the routers of several instances. The adapter makes no decisions.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from typing import TextIO

from onyxpulley import interface as api
from onyxpulley.router import Router
from onyxpulley.settings import Json, get_or_default, item_or_default, read_settings

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
UPDATE_KINDS = {
    1: api.UpdateKind.CHANGES,
    4: api.UpdateKind.FULL,
    2: api.UpdateKind.CACHED,
    3: api.UpdateKind.FAILED,
}


class MalformedLine(Exception):
    """A line that does not follow the simulator's protocol."""


def _decode_entry(member: Json) -> api.ServerEntry:
    return api.ServerEntry(
        server=str(member["server"]),
        zone=str(get_or_default(member, "regionPart", "")),
        kind=str(get_or_default(member, "classOfHost", "")),
        cell=int(get_or_default(member, "pod", 0)),
        state=api.ServerState(member["readiness"]),
        weight=float(get_or_default(member, "capacityHint", 1.0)),
        start_time=int(get_or_default(member, "since", 0)),
    )


def _decode_load(item: Json) -> tuple[float, ...]:
    return tuple(float(item_or_default([value], 0, 0.0)) for value in get_or_default(item, "serverStats", []))


def decode_event(item: Json) -> api.Event | None:
    """The event of an item, or None where its kind is unknown.

    Raises KeyError, ValueError, TypeError, AttributeError or IndexError where it cannot be read.
    """
    match item["op"]:
        case "newRequest":
            group = item.get("batchId")
            return api.Request(
                id=item["ref"],
                cls=str(item["service"]),
                object=str(get_or_default(item, "asset", "")),
                time_left=int(item["timeLeft"]),
                group=None if group is None else int(group),
                size_kb=float(get_or_default(item, "kbytes", 0)),
                part=int(get_or_default(item, "chunk", 0)),
                is_write=bool(get_or_default(item, "update", False)),
                is_repeat=bool(get_or_default(item, "resent", False)),
                tenant=item.get("owner"),
            )
        case "returned":
            return api.Finished(
                id=item["ref"],
                attempt=int(get_or_default(item, "roundNo", 0)),
                server=str(item["server"]),
                outcome=OUTCOMES[item["reason"]],
                duration=int(get_or_default(item, "timeTaken", 0)),
                request_done=bool(get_or_default(item, "over", False)),
                note=int(get_or_default(item, "info", 0)),
                waited=int(get_or_default(item, "sourceWait", 0)),
                load=_decode_load(item),
            )
        case "ring":
            return api.TimerDue(int(item["nonce"]))
        case "lapsed":
            return api.ClientGone(item["ref"])
        case "announce":
            members = get_or_default(item, "membersList", [])
            version = int(get_or_default(item, "stamp", 0))
            return api.MembershipUpdate(
                UPDATE_KINDS[item["scope"]], tuple(_decode_entry(member) for member in members), version
            )
        case "recalled":
            group = item.get("familyId")
            group = None if group is None else int(group)
            return api.Purged(group, int(get_or_default(item, "copyAge", 0)), item.get("asset"))
        case "probeResult":
            outcome = OUTCOMES[item["reason"]]
            return api.Probed(
                str(item["server"]), outcome, int(get_or_default(item, "timeTaken", 0)), _decode_load(item)
            )
        case "underWay":
            return api.StreamStarted(item["ref"], int(get_or_default(item, "roundNo", 0)))
    return None


def encode_action(instance: int, action: api.Action) -> Json:
    """The item for an action of an instance's router. Raises ValueError for one that the simulator lacks."""
    match action:
        case api.Fetch():
            manner = action.may_join * 1 + action.only_if_cached * 2 + action.refresh_in_background * 8
            return {
                "op": "pullVia",
                "i": instance,
                "ref": action.id,
                "server": action.server,
                "tryFor": action.timeout,
                "feeder": action.source,
                "storeAs": action.retention_rank,
                "copyAge": action.max_age,
                "manner": manner,
            }
        case api.Forward():
            return {
                "op": "transmit",
                "i": instance,
                "ref": action.id,
                "server": action.server,
                "tryFor": action.timeout,
            }
        case api.ServeOwnCopy():
            raise ValueError("the simulator's routers keep no copies of their own")
        case api.Refuse():
            return {"op": "overloadReply", "i": instance, "ref": action.id, "comeBack": action.retry_after}
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


class SimulatorAdapter:
    """The routers of all instances in this process, by instance number."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def process_line(self, line: str) -> str:
        """Handles the events of one input line and returns the line of their actions.

        Raises MalformedLine, before any event is handled, where the input cannot be read.
        """
        try:
            frame = json.loads(line)
            now = int(frame["t"])
            events = [(int(item["i"]), item["op"], self._decode(item)) for item in frame["items"]]
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise MalformedLine(f"{type(error).__name__}: {error}") from error
        output = [action for event in events for action in self._run(now, *event)]
        return json.dumps({"output": output}, separators=(",", ":"))

    def _decode(self, item: Json) -> api.Event | tuple[api.Settings, int] | None:
        if item["op"] == "powerOn":
            return read_settings(item["params"]), int(item["randomSeed"])
        return decode_event(item)

    def _run(
        self, now: int, instance: int, op: str, event: api.Event | tuple[api.Settings, int] | None
    ) -> Iterator[Json]:
        if isinstance(event, tuple):
            self.routers[instance] = Router(*event)
        elif op == "retire":
            self.routers.pop(instance, None)
        elif event is not None and instance in self.routers:
            for action in self.routers[instance].handle(now, event):
                yield encode_action(instance, action)


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Runs until the input ends. Returns the exit code: 1 after a malformed line."""
    adapter = SimulatorAdapter()
    for line in source:
        try:
            sink.write(adapter.process_line(line) + "\n")
        except MalformedLine as error:
            print(f"onyxpulley: malformed input line: {error}", file=sys.stderr)
            return 1
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
