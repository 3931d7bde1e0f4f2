"""The clocks of the program; nothing else asks the system for the time.

Spans are measured on the monotonic clock. Dates are counted from one look at the wall clock at the start, so
a step of that clock moves nothing. What the platform's own stamps prove of its time is in `PlatformClock`.
"""

from __future__ import annotations

import time
from collections.abc import Callable

SECOND = 1_000_000  # us
PLAUSIBLE = 7200 * SECOND  # by which a stamp may be ahead of this machine's clock
STEADY = 60 * SECOND  # by which it may be ahead of what earlier stamps have shown


def now_us() -> int:
    """Monotonic microseconds: the clock of all spans."""
    return time.monotonic_ns() // 1000


_START = time.time_ns() // 1000 - now_us()


def monotonic() -> float:
    """The clock of all spans, in seconds."""
    return time.monotonic()


def unix_us() -> int:
    """Unix microseconds by the wall clock of the start and the time that has passed since."""
    return _START + now_us()


def unix_seconds() -> float:
    """The same in seconds."""
    return unix_us() / SECOND


class PlatformClock:
    """The platform's time as its stamps prove it: at least as late as any stamp that has arrived.

    Ages come with a bound on the safe side. `min_age_us` rests on the stamps of discovery alone: a server
    that started counts as no older than is sure. `max_age_us` also takes this machine's clock and the stamps
    of copies: a copy counts as no younger than it may be.
    """

    def __init__(self, clock: Callable[[], int] = now_us, own_offset: int | None = None) -> None:
        """`own_offset`: by how much this machine's Unix time is ahead of `clock`, in microseconds."""
        self.clock = clock
        self.own_offset = _START if own_offset is None else own_offset
        self.proved: int | None = None  # the same of the platform's time, by discovery
        self.latest = self.own_offset  # by anything that speaks of the time

    def observe_initial(self, unix_ms: int) -> None:
        """A stamp of what is known at the start."""
        self._prove(unix_ms, self.own_offset + PLAUSIBLE)

    def observe_event(self, unix_ms: int) -> None:
        """A stamp of discovery. One that is far ahead of all others proves nothing."""
        known = self.latest if self.proved is None else max(self.proved, self.own_offset)
        self._prove(unix_ms, known + STEADY)

    def observe_copy(self, unix_ms: int) -> None:
        """The stamp that the origin gave a copy."""
        offset = unix_ms * 1000 - self.clock()
        if offset <= self.own_offset + PLAUSIBLE:
            self.latest = max(self.latest, offset)

    def _prove(self, unix_ms: int, most: int) -> None:
        offset = unix_ms * 1000 - self.clock()
        if offset <= most:
            self.proved = offset if self.proved is None else max(self.proved, offset)
            self.latest = max(self.latest, offset)

    def min_age_us(self, unix_ms: int) -> int:
        """0 where no stamp proves more."""
        if self.proved is None:
            return 0
        return max(0, self.proved + self.clock() - unix_ms * 1000)

    def max_age_us(self, unix_ms: int) -> int:
        return self.latest + self.clock() - unix_ms * 1000
