"""The router's own copies of recent answers, held in bounded memory until they are purged or too old."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from onyxpulley.clock import now_us

PURGE_MEMORY_US = 60_000_000  # far longer than servers take to drop the copies that a purge makes invalid
MAX_PURGES = 20_000  # remembered purges from which on the old ones are dropped
COPY_OVERHEAD_BYTES = 400  # memory of a copy beside its body

CopyKey = tuple[str, str, int]  # class, object and part


@dataclass(frozen=True, slots=True)
class Copy:
    """An answer that can be served again."""

    body: bytes
    tag: str  # version tag
    issued_ms: int  # Unix milliseconds at which the origin issued it
    group: int | None


class CopyStore:
    """Copies by class, object and part, of which the least recently used are evicted first.

    `max_bytes` 0 keeps nothing.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.entries: OrderedDict[CopyKey, Copy] = OrderedDict()
        # by object or group: when the purge was issued (Unix ms), and when it arrived (monotonic us)
        self.purges: dict[tuple[str, object], tuple[int, int]] = {}
        self.everything_purged = 0, 0  # the same for the last purge of all copies

    def get(self, key: CopyKey) -> Copy | None:
        """The copy under this key, which becomes the most recently used one."""
        copy = self.entries.get(key)
        if copy is not None:
            self.entries.move_to_end(key)
        return copy

    def put(self, key: CopyKey, copy: Copy) -> None:
        """Keeps a copy, unless it is too large, older than the one held, or from before a purge.

        The answer may have been on its way while its object was purged.
        """
        cost = len(copy.body) + COPY_OVERHEAD_BYTES
        if (
            copy.issued_ms <= 0
            or cost > self.max_bytes // 16
            or copy.issued_ms <= self._purged_at(key[1], copy.group)
        ):
            return
        old = self.entries.get(key)
        if old is not None:
            if old.issued_ms > copy.issued_ms:
                return
            self._drop(key)
        self.entries[key] = copy
        self.used_bytes += cost
        self.resize(self.max_bytes)

    def resize(self, max_bytes: int) -> None:
        """Sets the memory limit and evicts what exceeds it."""
        self.max_bytes = max_bytes
        while self.used_bytes > self.max_bytes:
            self._drop(next(iter(self.entries)))

    def purge(self, object_id: str | None, group: int | None, issued_ms: int) -> None:
        """Drops the copies of an object (None: of a whole group) that are no newer than the purge.

        The purge is remembered, so that no such copy is taken in again.
        """
        purge_key = ("item", object_id) if object_id is not None else ("group", group)
        now = now_us()
        self.purges[purge_key] = max(issued_ms, self._issued_at(purge_key)), now
        if len(self.purges) > MAX_PURGES:
            self.purges = {k: times for k, times in self.purges.items() if now - times[1] < PURGE_MEMORY_US}
        for key, copy in list(self.entries.items()):
            if copy.issued_ms <= issued_ms and (
                key[1] == object_id if object_id is not None else copy.group == group
            ):
                self._drop(key)

    def purge_all(self, issued_ms: int) -> None:
        """Drops all copies, and takes none in that was issued before while servers may still hold such."""
        self.everything_purged = issued_ms, now_us()
        for key in list(self.entries):
            self._drop(key)

    def _purged_at(self, object_id: str, group: int | None) -> int:
        """When the latest purge of this object was issued, in Unix milliseconds; 0: none is known."""
        issued_ms, arrived = self.everything_purged
        recent_ms = issued_ms if now_us() - arrived < PURGE_MEMORY_US else 0
        return max(self._issued_at(("item", object_id)), self._issued_at(("group", group)), recent_ms)

    def _issued_at(self, purge_key: tuple[str, object]) -> int:
        return self.purges.get(purge_key, (0, 0))[0]

    def _drop(self, key: CopyKey) -> None:
        self.used_bytes -= len(self.entries.pop(key).body) + COPY_OVERHEAD_BYTES
