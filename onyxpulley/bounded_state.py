"""State of bounded size: tables that evict their oldest entries, and rates whose past decays."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")
SECOND = 1_000_000  # us
# An entry may hold this many references (of eight bytes) in the memory that the limits assume for an entry.
REFERENCES_PER_ENTRY = 100


class BoundedDict(OrderedDict[K, V], Generic[K, V]):
    """A dict that evicts the entries written longest ago: keys that never return cannot fill the memory."""

    def __init__(self, max_entries: int) -> None:
        super().__init__()
        self.max_entries = max_entries

    def reset(self, max_entries: int, references: int) -> None:
        """Empties the table, for entries with that many references each: the more, the fewer entries fit."""
        self.clear()
        base = REFERENCES_PER_ENTRY
        self.max_entries = max(1, max_entries * base // (base + references))

    def __setitem__(self, key: K, value: V) -> None:
        super().__setitem__(key, value)
        self.move_to_end(key)
        while len(self) > self.max_entries:
            self.popitem(last=False)


class DecayingRate:
    """Work per time with exponentially decaying weight. Times and the time constant are microseconds."""

    __slots__ = ("first_at", "time_constant", "total", "updated_at")  # one instance per object

    def __init__(self, time_constant: int) -> None:
        self.time_constant = time_constant
        self.total = 0.0
        self.updated_at = 0
        self.first_at = 0

    def add(self, now: int, work: float) -> None:
        """Adds work at the time `now`."""
        self.first_at = self.first_at or now
        self.total = self.total * math.exp((self.updated_at - now) / self.time_constant) + work
        self.updated_at = now

    def decayed_rate(self, now: int) -> float:
        """Work per time over the time constant, too low while the first sample is not that old."""
        return self.total * math.exp((self.updated_at - now) / self.time_constant) / self.time_constant

    def rate(self, now: int) -> float:
        """Work per time, corrected for the short time since the first sample, of at least one second."""
        since_first = max(SECOND, now - self.first_at)
        return self.decayed_rate(now) / -math.expm1(-since_first / self.time_constant)
