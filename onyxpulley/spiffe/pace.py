"""When to call the issuer's agent again: back-off with jitter, since all routers lose it in one moment."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

FIRST, LONGEST = 0.5, 30.0  # seconds of the longest wait: after one failure, after many
URGENT = 2.0  # the longest while nothing is held, and so nobody can be asked


@dataclass(slots=True)
class Pace:
    luck: Callable[[], float]  # in [0, 1)
    failures: int = 0

    def good(self) -> None:
        self.failures = 0

    def wait(self, left: float = float("inf")) -> float:
        """Seconds, and one failure more. Never so long that what is held ends before two more tries: `left`
        seconds are left of it."""
        most = min(LONGEST, FIRST * 2.0 ** min(self.failures, 16))
        self.failures += 1
        most = min(most, max(FIRST, left / 3) if left > 0 else URGENT)
        return most * (0.1 + 0.9 * self.luck())
