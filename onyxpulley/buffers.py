"""The one buffer of a connection: it grows as it needs and is compacted in place."""

from __future__ import annotations


class Buffer:
    """`data[start:end]` is what came and was not taken yet. Never larger than `max_size`."""

    def __init__(self, min_size: int, max_size: int) -> None:
        self.data = bytearray(min_size)
        self.min_size, self.max_size = min_size, max_size
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Where the next bytes go. Raises BufferError when the peer sends more than one message may hold."""
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > 4 * self.min_size:  # a large message has passed: give its room back
                self.data = bytearray(self.min_size)
        if len(self.data) - self.end < self.min_size // 2:
            held = self.end - self.start
            if self.start and held <= len(self.data) // 2:
                self.data[:held] = self.data[self.start : self.end]
            elif len(self.data) >= self.max_size:
                if not self.start:
                    if self.end == len(self.data):
                        raise BufferError("message too large")
                    return memoryview(self.data)[self.end :]
                self.data[:held] = self.data[self.start : self.end]
            else:
                larger = bytearray(min(self.max_size, 2 * len(self.data)))
                larger[:held] = memoryview(self.data)[self.start : self.end]
                self.data = larger
            self.start, self.end = 0, held
        return memoryview(self.data)[self.end :]

    def read_line(self, max_length: int) -> bytes | None:
        """Takes one line without its end, or None when none is whole yet."""
        at = self.data.find(b"\n", self.start, self.end)
        if at < 0:
            if self.end - self.start > max_length:
                raise BufferError("line too long")
            return None
        found = bytes(memoryview(self.data)[self.start : at])
        self.start = at + 1
        return found.removesuffix(b"\r")
