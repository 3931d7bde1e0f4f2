"""Counters of the process: what failed, and why something was closed, retried or refused.

They count up from the start and are shown at the second address by `COUNTERS`.
"""

from __future__ import annotations

import errno
from collections import Counter

_counts: Counter[str] = Counter()


def count(name: str, by: int = 1) -> None:
    _counts[name] += by


def error_name(problem: OSError) -> str:
    """The name of its errno, such as ENOBUFS."""
    return errno.errorcode.get(problem.errno or 0, type(problem).__name__)


def count_failed_call(call: str, problem: OSError) -> None:
    """One system call that failed and was dealt with where it was made."""
    count(f"call_failed.{call}.{error_name(problem)}")


def counters() -> list[tuple[str, int]]:
    return sorted(_counts.items())
