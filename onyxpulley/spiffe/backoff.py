"""Exponential back-off with jitter for calls of the Workload API: all routers may lose an agent at once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Seconds; upper bounds of the delay before jitter.
INITIAL_DELAY = 0.5
MAX_DELAY = 30.0
MAX_DELAY_WITHOUT_SVID = 2.0  # without a valid SVID no server can be reached


@dataclass(slots=True)
class Backoff:
    """Delays between calls that fail. `random_fraction` returns a random number in [0, 1)."""

    random_fraction: Callable[[], float]
    failures: int = 0  # since the last success

    def reset(self) -> None:
        """Starts again from the initial delay, after a success."""
        self.failures = 0

    def next_delay(self, seconds_left: float = float("inf")) -> float:
        """Counts one more failure and returns the seconds to wait before the next attempt.

        The delay leaves time for two more attempts before the current SVID, which is valid for another
        `seconds_left`, expires.
        """
        longest = min(MAX_DELAY, INITIAL_DELAY * 2.0 ** min(self.failures, 16))
        self.failures += 1
        longest = min(
            longest, max(INITIAL_DELAY, seconds_left / 3) if seconds_left > 0 else MAX_DELAY_WITHOUT_SVID
        )
        return longest * (0.1 + 0.9 * self.random_fraction())
