"""Which message numbers a client has used on its connection, in bounded memory."""

from __future__ import annotations

from bisect import bisect_right

MAX_RANGES = 64  # kept for one connection: a client that counts upwards needs one


class NumberSet:
    """A set of positive numbers, kept as ranges without gaps.

    It never holds more than `MAX_RANGES` ranges. Beyond them the two lowest are joined, so that the numbers
    between them count as members although they may not have been added: what was added is never forgotten.
    """

    def __init__(self) -> None:
        self.firsts: list[int] = []  # of each range, ascending
        self.lasts: list[int] = []  # of the same ranges, inclusive

    def __contains__(self, number: int) -> bool:
        index = bisect_right(self.firsts, number) - 1
        return index >= 0 and number <= self.lasts[index]

    def add(self, number: int) -> None:
        """Adds a number. Does nothing if it is a member already."""
        index = bisect_right(self.firsts, number)  # of the range behind the number
        if index and number <= self.lasts[index - 1]:
            return
        follows = bool(index) and self.lasts[index - 1] == number - 1
        precedes = index < len(self.firsts) and self.firsts[index] == number + 1
        if follows and precedes:
            self._join(index - 1)
        elif follows:
            self.lasts[index - 1] = number
        elif precedes:
            self.firsts[index] = number
        else:
            self.firsts.insert(index, number)
            self.lasts.insert(index, number)
            if len(self.firsts) > MAX_RANGES:
                self._join(0)

    def _join(self, index: int) -> None:
        """Joins the range at `index` with the next one."""
        del self.firsts[index + 1]
        del self.lasts[index]
