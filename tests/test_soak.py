"""A short soak with fixed seeds: the real program under seeded disturbances keeps every rule."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from soak.records import Evidence, Forward, Reply, RequestRecord
from soak.rules import Rule, check

ROOT = Path(__file__).parents[1]
FIRST, COUNT, JOBS, SECONDS = 1, 6, 3, 8


# Guards against whatever breaks a rule in the first seconds of a run; the long soak is started by hand.
def test_a_short_soak_keeps_every_rule(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "soak", "--json", str(tmp_path / "results.json")]
    command += ["--first", str(FIRST), "--count", str(COUNT), "--jobs", str(JOBS), "--seconds", str(SECONDS)]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=240)
    assert run.returncode == 0, run.stdout + run.stderr
    results = json.loads((tmp_path / "results.json").read_text())
    assert len(results) == COUNT and all(row["served"] > 50 for row in results)


def record() -> RequestRecord:
    return RequestRecord("1" * 16, "convert-job", "2" * 16, 0, 1.0, "n0", sent=10.0)


def broken(evidence: RequestRecord, end: float = 100.0) -> set[Rule]:
    from soak.deployment import CLASSES

    return {v.rule for v in check(Evidence({evidence.txn: evidence}), end, CLASSES)}


# Guards against a soak that sees nothing: each rule is broken by hand once.
@pytest.mark.parametrize(
    ("rule", "forwards", "replies", "left", "dropped"),
    [
        (Rule.LOST, [], [], None, None),
        (Rule.LOST, [], [], None, 10.4),
        (Rule.LOST, [], [Reply(11.7, "refused", False, b"")], None, None),
        (Rule.WRONG, [], [Reply(10.1, "good", False, b"", "other bytes")], None, None),
        (Rule.TWICE, [], [Reply(10.1, "broken", False, b""), Reply(10.2, "broken", False, b"")], None, None),
        (Rule.AFTER_END, [Forward(10.4, "o", 0.1)], [], 10.2, None),
        (Rule.DEADLINE, [Forward(10.5, "o", 0.9)], [Reply(10.6, "good", False, b"")], None, None),
        (
            Rule.DUPLICATE,
            [Forward(10.0, "o", 1.0, ran=True), Forward(10.1, "o", 0.9, ran=True)],
            [Reply(10.6, "broken", False, b"")],
            None,
            None,
        ),
        (
            Rule.DUPLICATE,
            [Forward(10.0, "o", 1.0, ran=True)],
            [Reply(10.6, "refused", False, b"")],
            None,
            None,
        ),
    ],
)
def test_the_soak_sees_each_broken_rule(
    rule: Rule, forwards: list[Forward], replies: list[Reply], left: float | None, dropped: float | None
) -> None:
    case = record()
    case.forwards, case.replies, case.left, case.dropped = forwards, replies, left, dropped
    assert rule in broken(case)


def test_the_soak_finds_nothing_in_a_request_that_went_well() -> None:
    case = record()
    case.forwards = [Forward(10.01, "o", 0.98, ran=True)]
    case.replies = [Reply(10.3, "good", False, b"")]
    assert not broken(case)
