"""The clocks of the program; nothing else asks the system for the time.

Intervals are measured on the monotonic clock. Dates are derived from it and one reading of the wall clock at
the start, so a step of the wall clock changes neither. `PlatformClock` bounds the platform's time by the
timestamps that the platform sends.
"""

from __future__ import annotations

import time
from collections.abc import Callable

SECOND_US = 1_000_000
MAX_LEAD_US = 7200 * SECOND_US  # by which a timestamp may be ahead of this machine's clock
MAX_ADVANCE_US = 60 * SECOND_US  # by which it may be ahead of what earlier timestamps have shown


def now_us() -> int:
    """Monotonic microseconds, for all intervals."""
    return time.monotonic_ns() // 1000


_UNIX_OFFSET_US = time.time_ns() // 1000 - now_us()


def monotonic() -> float:
    """Monotonic seconds, for all intervals."""
    return time.monotonic()


def unix_us() -> int:
    """Unix microseconds: the wall clock at the start plus the time elapsed since."""
    return _UNIX_OFFSET_US + now_us()


def unix_seconds() -> float:
    """Unix seconds, as `unix_us`."""
    return unix_us() / SECOND_US


class PlatformClock:
    """Bounds the platform's time, which is at least as late as any of its timestamps that has arrived.

    Ages are bounded on the safe side. `min_age_us` relies on the timestamps of discovery alone, so a server
    that started counts as no older than is certain. `max_age_us` also uses this machine's clock and the
    timestamps of copies, so a copy counts as no younger than it may be.
    """

    def __init__(self, clock: Callable[[], int] = now_us, local_offset: int | None = None) -> None:
        """`local_offset`: microseconds by which this machine's Unix time is ahead of `clock`."""
        self.clock = clock
        self.local_offset = _UNIX_OFFSET_US if local_offset is None else local_offset
        self.proven_offset: int | None = None  # of the platform's time, by the timestamps of discovery
        self.latest_offset = self.local_offset  # of the latest time by any source

    def observe_initial(self, unix_ms: int) -> None:
        """Takes a timestamp from the events in the configuration file."""
        self._observe_discovery(unix_ms, self.local_offset + MAX_LEAD_US)

    def observe_event(self, unix_ms: int) -> None:
        """Takes a timestamp from discovery. One far ahead of all others is ignored."""
        known = (
            self.latest_offset if self.proven_offset is None else max(self.proven_offset, self.local_offset)
        )
        self._observe_discovery(unix_ms, known + MAX_ADVANCE_US)

    def observe_copy(self, unix_ms: int) -> None:
        """Takes the timestamp at which the origin issued a copy. One far ahead of this machine is ignored."""
        offset = unix_ms * 1000 - self.clock()
        if offset <= self.local_offset + MAX_LEAD_US:
            self.latest_offset = max(self.latest_offset, offset)

    def _observe_discovery(self, unix_ms: int, max_offset: int) -> None:
        offset = unix_ms * 1000 - self.clock()
        if offset <= max_offset:
            self.proven_offset = offset if self.proven_offset is None else max(self.proven_offset, offset)
            self.latest_offset = max(self.latest_offset, offset)

    def latest_unix_ms(self) -> int:
        """The platform's time now, in Unix milliseconds, as late as it may be."""
        return (self.latest_offset + self.clock()) // 1000

    def min_age_us(self, unix_ms: int) -> int:
        """The least age of something that happened at `unix_ms`; 0 if no timestamp proves more."""
        if self.proven_offset is None:
            return 0
        return max(0, self.proven_offset + self.clock() - unix_ms * 1000)

    def max_age_us(self, unix_ms: int) -> int:
        """The greatest age that something of `unix_ms` may have."""
        return self.latest_offset + self.clock() - unix_ms * 1000
