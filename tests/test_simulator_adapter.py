"""The adapter: frames, malformed lines, the same actions under any hash seed and split into processes."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from typing import Any

import pytest

from onyxpulley.simulator_adapter import SimulatorAdapter, main

PARAMS: dict[str, Any] = {
    "azs": ["hub", "edge-1"],
    "zone": "edge-1",
    "peersTotal": 2,
    "shapes": ["box", "parent", "origin"],
    "classes": [
        {"name": "media", "objective": 400000, "deadline": 5000000, "idempotency": "safe", "worth": 2}
    ],
    "familyInfo": {
        "parentKind": 1,
        "originKind": 2,
        "flowKbPerS": 1000.0,
        "crewByZone": [0, 2],
        "bypassAllowed": True,
        "goodFor": [0],
        "unheard": {"of": 1},
    },
    "bounds": {"secondCopies": True, "cancelling": True, "maxAttempts": 6, "retryAfter": True},
    "new key": None,
}
ROWS = [
    {"server": f"c{i}", "regionPart": "edge-1", "classOfHost": "box", "readiness": 1, "since": None}
    for i in range(3)
] + [
    {"server": "p0", "regionPart": "hub", "classOfHost": "parent", "readiness": 1},
    {"server": "o", "regionPart": "hub", "classOfHost": "origin", "readiness": 1},
]


def script(instances: list[int]) -> list[str]:
    start = [
        item
        for i in instances
        for item in (
            {"op": "powerOn", "i": i, "randomSeed": i, "params": PARAMS},
            {"op": "announce", "i": i, "stamp": 1, "scope": 2, "membersList": ROWS},
        )
    ]
    lines = [{"t": 1000, "items": []}, {"t": 2000, "items": start}]
    for n in range(60):
        items: list[Any] = []
        for i in instances:
            name = f"rq{n}"
            items.append(
                {
                    "op": "newRequest",
                    "i": i,
                    "ref": name,
                    "asset": f"a{n % 9}",
                    "service": "media",
                    "timeLeft": 900000,
                }
            )
            reason = ["done", "busy", "econnreset", "enoent"][n % 4]
            items.append(
                {
                    "op": "returned",
                    "i": i,
                    "ref": name,
                    "reason": reason,
                    "server": "c1",
                    "over": reason == "done",
                }
            )
        lines.append({"t": 3000 + n * 50000, "items": items})
    return [json.dumps(line) for line in lines]


def by_instance(replies: list[str]) -> dict[int, list[str]]:
    found: dict[int, list[str]] = {}
    for reply in replies:
        for action in json.loads(reply)["output"]:
            found.setdefault(action["i"], []).append(json.dumps(action, sort_keys=True))
    return found


def run(lines: list[str], seed: str) -> list[str]:
    env = {**os.environ, "PYTHONHASHSEED": seed}
    command = [sys.executable, "-m", "onyxpulley.simulator_adapter"]
    done = subprocess.run(
        command, input="\n".join(lines) + "\n", env=env, capture_output=True, text=True, check=True
    )
    return done.stdout.splitlines()


def test_same_actions_under_another_hash_seed_and_process_split() -> None:
    whole = by_instance(run(script([0, 1, 2]), "1"))
    assert whole and all(whole[i] for i in (0, 1, 2))
    for i in (0, 1, 2):
        assert by_instance(run(script([i]), str(40 + i)))[i] == whole[i]


def test_a_request_becomes_a_named_fetch() -> None:
    drill = SimulatorAdapter()
    replies = [json.loads(drill.process_line(line))["output"] for line in script([7])[:3]]
    sent = [a for a in replies[2] if a["op"] == "pullVia"][0]
    assert sent["i"] == 7 and sent["server"].startswith("c") and sent["feeder"] == "p0"


@pytest.mark.parametrize(
    "line",
    [
        "no json",
        "[]",
        '{"t":1}',
        '{"t":1,"items":[{"i":1}]}',
        '{"t":1,"items":[{"op":"newRequest","i":0,"ref":"x"}]}',
        '{"t":1,"items":[{"op":"returned","i":0,"ref":"x","server":"s","reason":"odd"}]}',
    ],
)
def test_malformed_lines_end_the_adapter_with_a_plain_message(
    line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    sink = io.StringIO()
    assert main(io.StringIO(line + "\n"), sink) == 1
    assert sink.getvalue() == ""
    assert "bad line on the wire" in capsys.readouterr().err


def test_unknown_events_fields_and_stopped_instances_are_skipped() -> None:
    drill = SimulatorAdapter()
    for line in script([0])[:2]:
        drill.process_line(line)
    assert drill.process_line('{"t":9000,"items":[{"op":"fanfare","i":0,"x":1}]}') == '{"output":[]}'
    drill.process_line('{"t":9000,"items":[{"op":"retire","i":0}]}')
    late = '{"t":9001,"items":[{"op":"newRequest","i":0,"ref":"a","service":"media","timeLeft":5}]}'
    assert drill.process_line(late) == '{"output":[]}'
