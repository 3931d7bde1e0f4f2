"""The report of a soak: a line a seed, and the whole as JSON for tools."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from soak.run import RunResult

SHOWN = 3  # violations of a seed that are printed in full


def lines_of(result: RunResult) -> list[str]:
    """The verdict of a seed; where a rule is broken, the first violations and what was going on."""
    lines = [result.summary()]
    if result.violations:
        lines += [f"  {violation}" for violation in result.violations[:SHOWN]]
        lines += [f"  {event}" for event in result.events]
    return lines


def totals(results: Sequence[RunResult]) -> str:
    broken = Counter(v.rule.value for r in results for v in r.violations)
    seeds = [str(r.seed) for r in results if r.violations]
    requests = sum(r.requests for r in results)
    served = sum(r.served for r in results)
    if not seeds:
        return f"{len(results)} seeds, {requests} requests, {served} served: every rule kept"
    rules = ", ".join(f"{rule}: {count}" for rule, count in sorted(broken.items()))
    return f"{len(results)} seeds, {requests} requests, {served} served: {rules}; seeds {' '.join(seeds)}"


def write_json(path: Path, results: Sequence[RunResult]) -> None:
    rows = [
        {
            "seed": r.seed,
            "seconds": r.seconds,
            "requests": r.requests,
            "served": r.served,
            "refused": r.refused,
            "failed": r.failed,
            "lag": round(r.lag, 4),
            "violations": [str(v) for v in r.violations],
            "events": r.events,
        }
        for r in results
    ]
    path.write_text(json.dumps(rows, indent=1) + "\n")
