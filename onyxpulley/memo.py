"""A table of bounded size, and work per time: what was written longest ago makes way or fades."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")
SECOND = 1_000_000
PLAIN = 100  # references whose bytes are those of a plain entry: eight each, 900 in all (OBJECT_ENTRY_BYTES)


class Memo(OrderedDict[K, V], Generic[K, V]):
    """Guards the memory against names that never return. Writing an entry anew makes it the latest."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most = most

    def reset(self, most: int, wide: int) -> None:
        """Empty, for entries that each refer to so many things: the more there are, the fewer have room."""
        self.clear()
        self.most = max(1, most * PLAIN // (PLAIN + wide))

    def __setitem__(self, key: K, value: V) -> None:
        super().__setitem__(key, value)
        self.move_to_end(key)
        while len(self) > self.most:
            self.popitem(last=False)


class Flow:
    """Work per time, over the last `span` or, early on, since the first sample."""

    __slots__ = ("at", "since", "span", "sum")  # there is one for each object

    def __init__(self, span: int) -> None:
        self.span, self.sum, self.at, self.since = span, 0.0, 0, 0

    def add(self, now: int, work: float) -> None:
        self.since = self.since or now
        self.sum, self.at = self.sum * math.exp((self.at - now) / self.span) + work, now

    def over_span(self, now: int) -> float:
        return self.sum * math.exp((self.at - now) / self.span) / self.span

    def rate(self, now: int) -> float:
        return self.over_span(now) / -math.expm1(-max(SECOND, now - self.since) / self.span)
