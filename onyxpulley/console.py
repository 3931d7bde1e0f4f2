"""The second address: one line in, one answer, the end. For the staff's tools and the platform."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable

from onyxpulley import metrics
from onyxpulley.buffers import Buffer
from onyxpulley.clock import now_us
from onyxpulley.listeners import Listener
from onyxpulley.streams import SocketStream

CALLS = 16  # connections at a time
LINE = 256
WHOLE = 5_000_000  # us in which the line is there
STALL = 5.0  # seconds that an answer may stay unread

Metric = tuple[str, int, str]  # its name, value and kind: "c" counts up, "g" goes up and down


def format_statsd(figures: Iterable[Metric]) -> bytes:
    return "".join(f"app.{name}:{value}|{kind}\n" for name, value, kind in figures).encode()


class ConsoleConnection:
    """One connection, one call."""

    def __init__(self, console: Console, sock: socket.socket) -> None:
        self.console, self.stream, self.began = console, SocketStream(sock, "console"), now_us()
        self.buffer = Buffer(LINE, LINE)
        self.called = False  # the whole line came
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            while (line := self.buffer.read_line(LINE - 1)) is None:
                got = await self.stream.receive_into(self.buffer.free_space())
                if not got:
                    return
                self.buffer.end += got
            self.called = True
            await self._send(self.console.answer(line))
        except BufferError:
            with contextlib.suppress(OSError, TimeoutError):
                await self._send(b"400 line too long\n")
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()

    async def _send(self, data: bytes) -> None:
        async with asyncio.timeout(STALL):
            await self.stream.send_all(data)

    def close(self) -> None:
        self.console.connections.discard(self)
        if self.task is not asyncio.current_task():
            self.task.cancel()
        self.stream.close()


class Console(Listener):
    """The calls. `fit`: ready to serve; `pause` and `resume` give what stands in the way, or nothing."""

    def __init__(
        self,
        fit: Callable[[], bool],
        figures: Callable[[], Iterable[Metric]],
        pause: Callable[[], str],
        resume: Callable[[], str],
    ) -> None:
        super().__init__()
        self.fit, self.figures = fit, figures
        self.calls = {"PAUSE": pause, "RESUME": resume}
        self.connections: set[ConsoleConnection] = set()

    def answer(self, line: bytes) -> bytes:
        word = line.decode("ascii", "replace").strip()
        if word == "STATUS":
            return b"200 ready\n" if self.fit() else b"400 not ready\n"
        if word == "METRICS":
            return format_statsd(self.figures()) + b"EOF\n"
        if word == "COUNTERS":
            return format_statsd((name, value, "c") for name, value in metrics.counters()) + b"EOF\n"
        if word not in self.calls:
            return b"400 unknown call\n"
        problem = self.calls[word]()
        return f"400 {problem}\n".encode() if problem else b"200 ok\n"

    def admit(self) -> bool:
        """Guards against callers that hold a connection: the one that has waited longest makes way."""
        if len(self.connections) >= CALLS:
            min(self.connections, key=lambda c: (c.called, c.began)).close()
        return True

    def add_connection(self, sock: socket.socket) -> None:
        self.connections.add(ConsoleConnection(self, sock))

    def sweep(self) -> None:
        now = now_us()
        for caller in [c for c in self.connections if not c.called and now - c.began > WHOLE]:
            caller.close()

    def close(self) -> None:
        self.close_listener()
        for caller in list(self.connections):
            caller.close()
