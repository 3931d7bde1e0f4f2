"""Listening sockets: the accept loop that all fronts share, and eviction of idle connections."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import itertools
import socket
import struct

from onyxpulley import logs, metrics
from onyxpulley.clock import now_us
from onyxpulley.lingering import LingeringSockets
from onyxpulley.streams import close_quietly, wait_readable
from onyxpulley.system_calls import ErrorKind, classify_error, next_retry_delay

FIRST_REQUEST_GRACE_US = 1_000_000  # for which a drain spares a connection that has made no request yet
# Accepts that fail in a row and are repeated without a pause, as many as the listen queue holds: each may
# stand for one connection that was given up before it was accepted.
MAX_IMMEDIATE_RETRIES = 512
ACCEPT_BATCH = 16  # connections accepted in a row before the event loop reads what has arrived meanwhile
TURNS_FOR_ROOM = 3  # of the event loop, in which what has arrived is read and so another one may be evicted
SO_ATTACH_REUSEPORT_CBPF = 51  # missing from the socket module
BPF_RET_K = 0x06  # BPF_RET | BPF_K; as the whole program: "socket K of the group"


def prefer_latest(sock: socket.socket) -> None:
    """Makes the latest of two sockets with one address take all new connections.

    Otherwise those in the queue of the old process would be reset when it closes its socket. The filter picks
    the second socket; with only one, that index is out of range and the kernel uses the one there is.
    """
    program = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RET_K, 0, 0, 1))
    with contextlib.suppress(OSError):  # without such filters new connections are spread over both
        sock.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, ctypes.addressof(program))
        )


class Listener:
    """A listening socket and its accept loop. Subclasses implement `admit` and `add_connection`."""

    def __init__(self, lingering: LingeringSockets | None = None) -> None:
        """`lingering`: where connections go that are being closed; all listeners of a program share it."""
        self.lingering = LingeringSockets() if lingering is None else lingering
        self.sock: socket.socket | None = None
        self.accept_task: asyncio.Task[None] | None = None
        self.failing_since = 0  # monotonic us since when connections may wait as accepting fails, or 0
        self.failures = 0  # failed accepts since the queue was last empty
        self.retry_delay = 0.0  # seconds

    def listen(self, address: tuple[str, int]) -> None:
        """Binds and listens. Raises OSError."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        try:
            sock.bind(address)
            sock.listen(512)
            prefer_latest(sock)  # only now: a socket that forms a group of its own can join no other
        except OSError:
            sock.close()
            raise
        self.sock = sock

    async def accept(self) -> None:
        """Accepts connections until cancelled, one in each turn of the event loop."""
        self.accept_task = asyncio.current_task()
        assert self.sock is not None
        while True:
            await wait_readable(self.sock)
            most = None if self.failing_since else 1  # after failures, all that have queued up meanwhile
            if not await self._accept_queued(most):
                await asyncio.sleep(self.retry_delay)

    def _accept_failed(self, error: OSError) -> None:
        """Logs the failure and sets the delay before the next try.

        There is no delay where only that connection was given up: others may be queued behind it.
        """
        metrics.count_failed_call("accept", error)
        logs.event("listener", "accept_failed", why=error)
        self.failing_since = self.failing_since or now_us()
        self.failures += 1
        at_once = classify_error(error) is not ErrorKind.LOCAL and self.failures <= MAX_IMMEDIATE_RETRIES
        self.retry_delay = 0.0 if at_once else next_retry_delay(self.retry_delay)

    async def _accept_queued(self, most: int | None = None, end: int | None = None) -> bool:
        """Accepts queued connections in batches: at most `most`, and until `end` (monotonic us).

        Returns False if an accept failed or the time is over, so that others may still be queued. Between two
        batches the event loop reads, answers and runs timers: with hundreds of connections queued, requests
        would miss their time otherwise, and connections that wait to be read could not make room.
        """
        for accepted in itertools.count():
            if accepted == most:
                return True
            if end is not None and now_us() >= end:
                return False
            if accepted % ACCEPT_BATCH == ACCEPT_BATCH - 1:
                await asyncio.sleep(0)
            if self.sock is None:
                return True
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                break
            except OSError as error:
                self._accept_failed(error)
                return False
            sock.setblocking(False)
            await self._handle_accepted(sock)
        self.failing_since = 0
        self.failures = 0
        self.retry_delay = 0.0
        return True

    async def _handle_accepted(self, sock: socket.socket) -> None:
        """Serves an accepted connection, or closes it where no room can be made within some turns."""
        try:
            for _ in range(TURNS_FOR_ROOM):
                if self.admit():
                    return self.add_connection(sock)
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self._add_or_close(sock)
            raise
        self._add_or_close(sock)

    def _add_or_close(self, sock: socket.socket) -> None:
        if self.admit():
            self.add_connection(sock)
        else:
            metrics.count("client_closed.no_room")
            close_quietly(sock)

    def admit(self) -> bool:
        """Whether one more connection may be accepted; may close another one to make room."""
        raise NotImplementedError

    def add_connection(self, sock: socket.socket) -> None:
        """Starts to serve an accepted connection."""
        raise NotImplementedError

    async def stop_listening(self, end: int) -> None:
        """Accepts what is still queued, which closing the socket would reset, and closes it; `end` (monotonic
        us) bounds the time."""
        if self.accept_task is not None:
            self.accept_task.cancel()
            await asyncio.wait([self.accept_task])
        while not await self._accept_queued(end=end) and now_us() < end:
            await asyncio.sleep(self.retry_delay)
        self.close_listener()

    def close_listener(self) -> None:
        """Stops accepting and closes the socket, also if it was never opened."""
        if self.accept_task is not None:
            self.accept_task.cancel()
        if self.sock is not None:
            close_quietly(self.sock)
            self.sock = None
