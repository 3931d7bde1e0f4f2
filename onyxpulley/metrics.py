"""Counters of the process: failed calls, and why something was closed, retried or refused.

They count from the start of the process and are shown at the second address by `COUNTERS`.
"""

from __future__ import annotations

import errno
from collections import Counter

_counts: Counter[str] = Counter()


def count(name: str, by: int = 1) -> None:
    """Adds `by` to the counter `name`."""
    _counts[name] += by


def error_name(error: OSError) -> str:
    """The name of its errno, such as ENOBUFS, or else of its type."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


def count_failed_call(call: str, error: OSError) -> None:
    """Counts a failed system call that was handled where it was made."""
    count(f"call_failed.{call}.{error_name(error)}")


def counters() -> list[tuple[str, int]]:
    """All counters, sorted by name."""
    return sorted(_counts.items())
