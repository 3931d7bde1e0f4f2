"""Slow start: the work that this router has sent a recently started server within the window of the rule.

The rule limits what all routers together may send such a server in any window; each keeps to its own share.
Times are microseconds on the clock of the events. Work is the time that a transfer takes at full bandwidth.
"""

from __future__ import annotations

from collections import deque


class WorkWindow:
    """Work sent to one server, summed over a sliding window."""

    def __init__(self) -> None:
        self.entries: deque[tuple[int, float]] = deque()  # time and work
        self.total = 0.0

    def add(self, at: int, work: float) -> None:
        """Adds work sent at a time that is not before the last one."""
        self.entries.append((at, work))
        self.total += work

    def total_within(self, now: int, window: int) -> float:
        """Sum of the work in the last `window`; drops what is older."""
        while self.entries and self.entries[0][0] < now - window:
            self.total -= self.entries.popleft()[1]
        return self.total

    def has_work_within(self, now: int, window: int) -> bool:
        """Whether any work was sent in the last `window`."""
        return bool(self.entries) and self.entries[-1][0] > now - window
