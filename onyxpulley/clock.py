"""The clocks of the program. Spans of time are measured on the monotonic clock alone."""

from __future__ import annotations

import time


def now_us() -> int:
    """Monotonic microseconds: the clock of all spans."""
    return time.monotonic_ns() // 1000
