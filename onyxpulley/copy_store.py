"""Copies of its own: what the router lately passed on, kept in bounded memory until a purge or their age."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from onyxpulley.clock import now_us

PURGE_MEMORY_US = 60_000_000  # us; far longer than servers take to drop what is older than a purge
MAX_PURGES = 20_000
COPY_OVERHEAD_BYTES = 400  # bytes of a copy beside its body

CopyKey = tuple[str, str, int]


@dataclass(frozen=True, slots=True)
class Copy:
    body: bytes
    tag: str
    issued_ms: int  # Unix ms at which the origin gave it out
    group: int | None


class CopyStore:
    """Least lately used goes first. `max_bytes` 0 keeps nothing."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.used_bytes = max_bytes, 0
        self.entries: OrderedDict[CopyKey, Copy] = OrderedDict()
        self.purges: dict[tuple[str, object], tuple[int, int]] = {}  # when issued (Unix ms), when told (us)

    def get(self, name: CopyKey) -> Copy | None:
        copy = self.entries.get(name)
        if copy is not None:
            self.entries.move_to_end(name)
        return copy

    def put(self, name: CopyKey, copy: Copy) -> None:
        """Guards against an answer that was on its way when its object was purged."""
        cost = len(copy.body) + COPY_OVERHEAD_BYTES
        if (
            copy.issued_ms <= 0
            or cost > self.max_bytes // 16
            or copy.issued_ms <= self._purged(name[1], copy.group)
        ):
            return
        old = self.entries.get(name)
        if old is not None:
            if old.issued_ms > copy.issued_ms:
                return
            self._drop(name)
        self.entries[name] = copy
        self.used_bytes += cost
        self.resize(self.max_bytes)

    def resize(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        while self.used_bytes > self.max_bytes:
            self._drop(next(iter(self.entries)))

    def purge(self, object_id: str | None, group: int | None, issued_ms: int) -> None:
        """Drops at once what is older, and remembers, so that nothing older is taken in again."""
        key = ("item", object_id) if object_id is not None else ("group", group)
        now = now_us()
        self.purges[key] = max(issued_ms, self._issued(key)), now
        if len(self.purges) > MAX_PURGES:
            self.purges = {k: row for k, row in self.purges.items() if now - row[1] < PURGE_MEMORY_US}
        for name, copy in list(self.entries.items()):
            if copy.issued_ms <= issued_ms and (
                name[1] == object_id if object_id is not None else copy.group == group
            ):
                self._drop(name)

    def _purged(self, object_id: str, group: int | None) -> int:
        return max(self._issued(("item", object_id)), self._issued(("group", group)))

    def _issued(self, key: tuple[str, object]) -> int:
        return self.purges.get(key, (0, 0))[0]

    def _drop(self, name: CopyKey) -> None:
        self.used_bytes -= len(self.entries.pop(name).body) + COPY_OVERHEAD_BYTES
