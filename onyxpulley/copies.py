"""Copies of its own: what the router lately passed on, kept in bounded memory until a purge or their age."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from onyxpulley.clock import now_us

KEEP_PURGES = 60_000_000  # us; far longer than servers take to drop what is older than a purge
PURGES = 20_000
OVERHEAD = 400  # bytes of a copy beside its body

Name = tuple[str, str, int]


@dataclass(frozen=True, slots=True)
class Copy:
    body: bytes
    tag: str
    stamp: int  # Unix ms at which the origin gave it out
    group: int | None


class Copies:
    """Least lately used goes first. `most` 0 keeps nothing."""

    def __init__(self, most: int) -> None:
        self.most, self.size = most, 0
        self.all: OrderedDict[Name, Copy] = OrderedDict()
        self.purges: dict[tuple[str, object], tuple[int, int]] = {}  # when issued (Unix ms), when told (us)

    def find(self, name: Name) -> Copy | None:
        copy = self.all.get(name)
        if copy is not None:
            self.all.move_to_end(name)
        return copy

    def keep(self, name: Name, copy: Copy) -> None:
        """Guards against an answer that was on its way when its object was purged."""
        cost = len(copy.body) + OVERHEAD
        if copy.stamp <= 0 or cost > self.most // 16 or copy.stamp <= self._purged(name[1], copy.group):
            return
        old = self.all.get(name)
        if old is not None:
            if old.stamp > copy.stamp:
                return
            self._drop(name)
        self.all[name] = copy
        self.size += cost
        self.shrink(self.most)

    def shrink(self, most: int) -> None:
        self.most = most
        while self.size > self.most:
            self._drop(next(iter(self.all)))

    def purge(self, item: str | None, group: int | None, issued_ms: int) -> None:
        """Drops at once what is older, and remembers, so that nothing older is taken in again."""
        key = ("item", item) if item is not None else ("group", group)
        now = now_us()
        self.purges[key] = max(issued_ms, self._issued(key)), now
        if len(self.purges) > PURGES:
            self.purges = {k: row for k, row in self.purges.items() if now - row[1] < KEEP_PURGES}
        for name, copy in list(self.all.items()):
            if copy.stamp <= issued_ms and (name[1] == item if item is not None else copy.group == group):
                self._drop(name)

    def _purged(self, item: str, group: int | None) -> int:
        return max(self._issued(("item", item)), self._issued(("group", group)))

    def _issued(self, key: tuple[str, object]) -> int:
        return self.purges.get(key, (0, 0))[0]

    def _drop(self, name: Name) -> None:
        self.size -= len(self.all.pop(name).body) + OVERHEAD
