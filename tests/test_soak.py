"""A short soak with fixed seeds: the real program keeps every rule under seeded disturbances."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from soak.deployment import CLASSES
from soak.observations import Forward, Observations, Reply, RequestRecord
from soak.rules import Rule, find_violations

ROOT = Path(__file__).parents[1]
FIRST_SEED = 1
SEED_COUNT = 6
JOBS = 3
SECONDS = 8


# Guards against rules that are broken in the first seconds of a run; the long soak is started by hand.
def test_a_short_soak_keeps_every_rule(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "soak", "--json", str(tmp_path / "results.json")]
    command += ["--first", str(FIRST_SEED), "--count", str(SEED_COUNT)]
    command += ["--jobs", str(JOBS), "--seconds", str(SECONDS)]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=240)
    assert run.returncode == 0, run.stdout + run.stderr
    results = json.loads((tmp_path / "results.json").read_text())
    assert len(results) == SEED_COUNT and all(result["served"] > 50 for result in results)


def request_record() -> RequestRecord:
    return RequestRecord("1" * 16, "convert-job", "2" * 16, 0, 1.0, "n0", sent_at=10.0)


def broken_rules(record: RequestRecord, end: float = 100.0) -> set[Rule]:
    observations = Observations({record.txn: record})
    return {violation.rule for violation in find_violations(observations, end, CLASSES)}


# Guards against a soak that detects nothing: each rule about requests is broken once by a made-up record.
@pytest.mark.parametrize(
    ("rule", "forwards", "replies", "abandoned_at", "disconnected_at"),
    [
        (Rule.LOST, [], [], None, None),
        (Rule.LOST, [], [], None, 10.4),
        (Rule.LOST, [], [Reply(11.7, "refused", False, b"")], None, None),
        (Rule.WRONG_ANSWER, [], [Reply(10.1, "good", False, b"", "other bytes")], None, None),
        (
            Rule.SECOND_ANSWER,
            [],
            [Reply(10.1, "broken", False, b""), Reply(10.2, "broken", False, b"")],
            None,
            None,
        ),
        (Rule.AFTER_END, [Forward(10.4, "o", 0.1)], [], 10.2, None),
        (Rule.DEADLINE, [Forward(10.5, "o", 0.9)], [Reply(10.6, "good", False, b"")], None, None),
        (
            Rule.RAN_TWICE,
            [Forward(10.0, "o", 1.0, ran=True), Forward(10.1, "o", 0.9, ran=True)],
            [Reply(10.6, "broken", False, b"")],
            None,
            None,
        ),
        (
            Rule.RAN_TWICE,
            [Forward(10.0, "o", 1.0, ran=True)],
            [Reply(10.6, "refused", False, b"")],
            None,
            None,
        ),
    ],
)
def test_the_soak_detects_each_broken_rule(
    rule: Rule,
    forwards: list[Forward],
    replies: list[Reply],
    abandoned_at: float | None,
    disconnected_at: float | None,
) -> None:
    record = request_record()
    record.forwards = forwards
    record.replies = replies
    record.abandoned_at = abandoned_at
    record.disconnected_at = disconnected_at
    assert rule in broken_rules(record)


def test_the_soak_finds_no_violation_in_a_correct_request() -> None:
    record = request_record()
    record.forwards = [Forward(10.01, "o", 0.98, ran=True)]
    record.replies = [Reply(10.3, "good", False, b"")]
    assert not broken_rules(record)
