"""Reports of a soak test: text, one line per seed, and JSON for tools."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from soak.run import RunResult

MAX_SHOWN_VIOLATIONS = 3  # per seed


def format_result(result: RunResult) -> list[str]:
    """Returns the summary of a run and, if a rule was broken, the first violations and all disturbances."""
    lines = [result.summary()]
    if result.violations:
        lines += [f"  {violation}" for violation in result.violations[:MAX_SHOWN_VIOLATIONS]]
        lines += [f"  {event}" for event in result.events]
    return lines


def format_totals(results: Sequence[RunResult]) -> str:
    """Returns the totals of all runs in one line."""
    violations = Counter(v.rule.value for r in results for v in r.violations)
    seeds = [str(r.seed) for r in results if r.violations]
    requests = sum(r.requests for r in results)
    served = sum(r.served for r in results)
    if not seeds:
        return f"{len(results)} seeds, {requests} requests, {served} served: every rule kept"
    rules = ", ".join(f"{rule}: {count}" for rule, count in sorted(violations.items()))
    return f"{len(results)} seeds, {requests} requests, {served} served: {rules}; seeds {' '.join(seeds)}"


def write_json(path: Path, results: Sequence[RunResult]) -> None:
    """Writes all results as a JSON array. Raises OSError."""
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
