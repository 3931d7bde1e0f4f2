"""Receive buffer of a connection: it grows on demand and is compacted in place."""

from __future__ import annotations


class Buffer:
    """Bytes received and not yet consumed: `data[start:end]`. The buffer never exceeds `max_size` bytes."""

    def __init__(self, min_size: int, max_size: int) -> None:
        self.data = bytearray(min_size)
        self.min_size = min_size
        self.max_size = max_size
        self.start = 0
        self.end = 0

    def free_space(self) -> memoryview:
        """The free space behind the data, for the next read; whoever fills it advances `end`.

        Raises BufferError when a message exceeds the maximum size.
        """
        if self.start == self.end:
            self.start = 0
            self.end = 0
            if len(self.data) > 4 * self.min_size:  # grown for a large message, which is consumed
                self.data = bytearray(self.min_size)
        if len(self.data) - self.end < self.min_size // 2:
            unread = self.end - self.start
            if self.start and unread <= len(self.data) // 2:
                self.data[:unread] = self.data[self.start : self.end]
            elif len(self.data) >= self.max_size:
                if not self.start:
                    if self.end == len(self.data):
                        raise BufferError(f"message larger than {self.max_size} bytes")
                    return memoryview(self.data)[self.end :]
                self.data[:unread] = self.data[self.start : self.end]
            else:
                larger = bytearray(min(self.max_size, 2 * len(self.data)))
                larger[:unread] = memoryview(self.data)[self.start : self.end]
                self.data = larger
            self.start = 0
            self.end = unread
        return memoryview(self.data)[self.end :]

    def read_line(self, max_length: int) -> bytes | None:
        """Consumes one line and returns it without its line end; None while no line is complete.

        Raises BufferError when more than `max_length` bytes hold no line end.
        """
        line_end = self.data.find(b"\n", self.start, self.end)
        if line_end < 0:
            if self.end - self.start > max_length:
                raise BufferError(f"line longer than {max_length} bytes")
            return None
        line = bytes(memoryview(self.data)[self.start : line_end])
        self.start = line_end + 1
        return line.removesuffix(b"\r")
