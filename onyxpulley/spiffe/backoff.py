"""When to call the issuer's agent again: back-off with jitter, since all routers lose it in one moment."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

INITIAL_DELAY, MAX_DELAY = 0.5, 30.0  # seconds of the longest wait: after one failure, after many
MAX_DELAY_WITHOUT_SVID = 2.0  # the longest while nothing is held, and so nobody can be asked


@dataclass(slots=True)
class Backoff:
    random_fraction: Callable[[], float]  # in [0, 1)
    failures: int = 0

    def reset(self) -> None:
        self.failures = 0

    def next_delay(self, seconds_left: float = float("inf")) -> float:
        """Counts one more failure and returns the seconds to wait before the next attempt.

        The delay leaves time for two more attempts before the current SVID, which is valid for another
        `seconds_left`, expires.
        """
        most = min(MAX_DELAY, INITIAL_DELAY * 2.0 ** min(self.failures, 16))
        self.failures += 1
        most = min(most, max(INITIAL_DELAY, seconds_left / 3) if seconds_left > 0 else MAX_DELAY_WITHOUT_SVID)
        return most * (0.1 + 0.9 * self.random_fraction())
