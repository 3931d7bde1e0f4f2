"""Slow start: the work that this router has sent a recently started server within the window of the rule.

The rule limits what all routers together may send such a server in any window; each keeps to its own share.
Times are microseconds on the clock of the events. Work is the time that a transfer takes at full bandwidth.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(eq=False, slots=True)
class WorkEntry:
    """Work that counts from a time on."""

    at: int
    work: float


class WorkWindow:
    """Work sent to one server, summed over a sliding window."""

    def __init__(self) -> None:
        self.entries: deque[WorkEntry] = deque()  # by time
        self.total = 0.0

    def add(self, at: int, work: float) -> WorkEntry:
        """Adds work sent at a time that is not before the last one."""
        entry = WorkEntry(at, work)
        self.entries.append(entry)
        self.total += work
        return entry

    def move(self, entry: WorkEntry, now: int, window: int) -> WorkEntry | None:
        """Counts the work of an entry from `now` on instead; None if it lies before the window already."""
        if entry.at < now - window:
            return None
        work, entry.work = entry.work, 0.0
        self.total -= work
        return self.add(now, work)

    def total_within(self, now: int, window: int) -> float:
        """Sum of the work in the last `window`; drops what is older."""
        while self.entries and self.entries[0].at < now - window:
            self.total -= self.entries.popleft().work
        return self.total

    def has_work_within(self, now: int, window: int) -> bool:
        """Whether any work was sent in the last `window`."""
        return bool(self.entries) and self.entries[-1].at > now - window
