"""A table of bounded size, and work per time: what was written longest ago makes way or fades."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")
SECOND = 1_000_000
REFERENCES_PER_ENTRY = (
    100  # references whose bytes are those of a plain entry: eight each, 900 in all (OBJECT_ENTRY_BYTES)
)


class BoundedDict(OrderedDict[K, V], Generic[K, V]):
    """Guards the memory against names that never return. Writing an entry anew makes it the latest."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.max_entries = most

    def reset(self, most: int, wide: int) -> None:
        """Empty, for entries that each refer to so many things: the more there are, the fewer have room."""
        self.clear()
        self.max_entries = max(1, most * REFERENCES_PER_ENTRY // (REFERENCES_PER_ENTRY + wide))

    def __setitem__(self, key: K, value: V) -> None:
        super().__setitem__(key, value)
        self.move_to_end(key)
        while len(self) > self.max_entries:
            self.popitem(last=False)


class DecayingRate:
    """Work per time, over the last `span` or, early on, since the first sample."""

    __slots__ = ("first_at", "time_constant", "total", "updated_at")  # there is one for each object

    def __init__(self, span: int) -> None:
        self.time_constant, self.total, self.updated_at, self.first_at = span, 0.0, 0, 0

    def add(self, now: int, work: float) -> None:
        self.first_at = self.first_at or now
        self.total, self.updated_at = (
            self.total * math.exp((self.updated_at - now) / self.time_constant) + work,
            now,
        )

    def decayed_rate(self, now: int) -> float:
        return self.total * math.exp((self.updated_at - now) / self.time_constant) / self.time_constant

    def rate(self, now: int) -> float:
        return self.decayed_rate(now) / -math.expm1(-max(SECOND, now - self.first_at) / self.time_constant)
