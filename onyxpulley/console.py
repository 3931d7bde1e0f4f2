"""The second address, for the staff's tools and the platform: one command line, one answer, then the end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable

from onyxpulley import metrics
from onyxpulley.buffers import Buffer
from onyxpulley.clock import now_us
from onyxpulley.lingering import LingeringSockets
from onyxpulley.listeners import Listener
from onyxpulley.streams import SocketStream

MAX_CONNECTIONS = 16
MAX_LINE_BYTES = 256
LINE_TIMEOUT_US = 5_000_000  # for the whole line to arrive
SEND_TIMEOUT_S = 5.0

Metric = tuple[str, int, str]  # name, value and kind: "c" is a counter, "g" a gauge


def format_statsd(samples: Iterable[Metric]) -> bytes:
    """The metrics as lines of StatsD, each name behind `app.`."""
    return "".join(f"app.{name}:{value}|{kind}\n" for name, value, kind in samples).encode()


class ConsoleConnection:
    """One connection, which carries one command."""

    def __init__(self, console: Console, sock: socket.socket) -> None:
        self.console = console
        self.stream = SocketStream(sock, "console", 0, console.lingering)
        self.connected_at = now_us()
        self.buffer = Buffer(MAX_LINE_BYTES, MAX_LINE_BYTES)
        self.line_received = False
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            while (line := self.buffer.read_line(MAX_LINE_BYTES - 1)) is None:
                received = await self.stream.receive_into(self.buffer.free_space())
                if not received:
                    return
                self.buffer.end += received
            self.line_received = True
            await self._send(self.console.execute(line))
        except BufferError:
            with contextlib.suppress(OSError, TimeoutError):
                await self._send(b"400 line too long\n")
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()

    async def _send(self, data: bytes) -> None:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await self.stream.send_all(data)

    def close(self) -> None:
        """Closes the connection and ends its task."""
        self.console.connections.discard(self)
        if self.task is not asyncio.current_task():
            self.task.cancel()
        self.stream.close()


class Console(Listener):
    """The listener of the second address, and its commands.

    `is_ready` tells whether the router takes new work. `pause` and `resume` return why they cannot be carried
    out, or an empty string.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        read_metrics: Callable[[], Iterable[Metric]],
        pause: Callable[[], str],
        resume: Callable[[], str],
        lingering: LingeringSockets | None = None,
    ) -> None:
        super().__init__(lingering)
        self.is_ready = is_ready
        self.read_metrics = read_metrics
        self.commands = {"PAUSE": pause, "RESUME": resume}
        self.connections: set[ConsoleConnection] = set()

    def execute(self, line: bytes) -> bytes:
        """Carries out one command and returns its answer."""
        word = line.decode("ascii", "replace").strip()
        if word == "STATUS":
            return b"200 ready\n" if self.is_ready() else b"400 not ready\n"
        if word == "METRICS":
            return format_statsd(self.read_metrics()) + b"EOF\n"
        if word == "COUNTERS":
            return format_statsd((name, value, "c") for name, value in metrics.counters()) + b"EOF\n"
        if word not in self.commands:
            return b"400 unknown call\n"
        refusal = self.commands[word]()
        return f"400 {refusal}\n".encode() if refusal else b"200 ok\n"

    def admit(self) -> bool:
        """Always true: at the limit the oldest connection is closed, first of those without a whole line."""
        if len(self.connections) >= MAX_CONNECTIONS:
            min(self.connections, key=lambda c: (c.line_received, c.connected_at)).close()
        return True

    def add_connection(self, sock: socket.socket) -> None:
        """Starts to serve an accepted connection."""
        self.connections.add(ConsoleConnection(self, sock))

    def sweep(self) -> None:
        """Closes connections whose line did not arrive in time."""
        now = now_us()
        for connection in [
            c for c in self.connections if not c.line_received and now - c.connected_at > LINE_TIMEOUT_US
        ]:
            connection.close()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.close_listener()
        for connection in list(self.connections):
            connection.close()
