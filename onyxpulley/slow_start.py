"""Slow start: the work that this router has sent a server that has just started, within the rule's window.

All routers together may send such a server so much in any window; each keeps to its own share. Times are
microseconds on the events' clock, work is the sending time at full pace.
"""

from __future__ import annotations

from collections import deque


class WorkWindow:
    """Work booked at one server. What is older than the window no longer counts."""

    def __init__(self) -> None:
        self.entries: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def add(self, at: int, work: float) -> None:
        self.entries.append((at, work))
        self.total += work

    def total_within(self, now: int, window: int) -> float:
        """The work of the last `window`."""
        while self.entries and self.entries[0][0] < now - window:
            self.total -= self.entries.popleft()[1]
        return self.total

    def has_work_within(self, now: int, window: int) -> bool:
        """Is there any entry that still counts?"""
        return bool(self.entries) and self.entries[-1][0] > now - window
