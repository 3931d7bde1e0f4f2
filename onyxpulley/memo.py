"""A table of bounded size: what was written longest ago makes way."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class Memo(OrderedDict[K, V], Generic[K, V]):
    """Guards the memory against names that never return. Writing an entry anew makes it the latest."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most = most

    def __setitem__(self, key: K, value: V) -> None:
        super().__setitem__(key, value)
        self.move_to_end(key)
        while len(self) > self.most:
            self.popitem(last=False)
