"""The memory that requests may take before they are handled."""

from __future__ import annotations

import math
from collections.abc import Callable


class ReceiveBudget:
    """Memory of the requests that were not handled yet, of all connections together."""

    def __init__(self, max_bytes: Callable[[], float] = lambda: math.inf) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def has_room(self, more_bytes: int) -> bool:
        """Whether so many more bytes may be kept."""
        return self.used_bytes + more_bytes <= self.max_bytes()
