"""A listening socket and its loop, as every front has one."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import socket
import struct
from collections.abc import Iterable
from typing import Protocol

from onyxpulley import logs, metrics
from onyxpulley.clock import now_us
from onyxpulley.streams import close_quietly
from onyxpulley.system_calls import ErrorKind, classify_error, next_retry_delay

SILENT_CONNECTION_WEIGHT = (
    4  # times that silence counts on a connection that never said anything: half fails slow requests
)
FIRST_REQUEST_GRACE_US = 1_000_000  # us that a connection without a request is left when the router leaves
AT_ONCE = 512  # connections in a row that were given up before they were accepted: a whole queue
EMPTY_WITHIN = 500_000  # us in which the queue of new connections is emptied at the end
ATTACH = 51  # SO_ATTACH_REUSEPORT_CBPF, which the socket module does not name
RETURN = 0x06  # BPF_RET | BPF_K: the whole program is "socket K of the group"


def prefer_latest(sock: socket.socket) -> None:
    """Of two sockets of one address the later takes all new connections; one alone is out of the filter's
    range, and the kernel takes that one. Guards an old version's queue against being reset when it closes."""
    program = ctypes.create_string_buffer(struct.pack("HBBI", RETURN, 0, 0, 1))
    with contextlib.suppress(OSError):  # where there are no such filters, new connections are spread
        sock.setsockopt(socket.SOL_SOCKET, ATTACH, struct.pack("HP", 1, ctypes.addressof(program)))


class EvictableConnection(Protocol):
    """A connection that may have to make way for another one, whatever its front."""

    def all_answered(self) -> bool: ...
    def eviction_age(self, now: int) -> int: ...
    def close(self) -> None: ...


def evict_one(holders: Iterable[EvictableConnection], now: int) -> bool:
    """Closes the one that has been still for longest, of those to whom nothing is owed. Guards requests that
    are slow to arrive: they and those that wait for their next one outlast the silent."""
    spare = [holder for holder in holders if holder.all_answered()]
    if spare:
        max(spare, key=lambda holder: holder.eviction_age(now)).close()
    return bool(spare)


class Listener:
    """`admit` says whether one more connection has room; `add_connection` takes it."""

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.failing_since = 0  # us, since when connections may have waited because accepting failed
        self.failures = 0  # of accepts, since the queue was last empty
        self.pause = 0.0  # seconds before the next try

    def listen(self, address: tuple[str, int]) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        try:
            sock.bind(address)
            sock.listen(512)
            prefer_latest(sock)  # not before: a socket with a group of its own can join no other
        except OSError:
            sock.close()
            raise
        self.sock = sock

    async def accept(self) -> None:
        self.accepting = asyncio.current_task()
        assert self.sock is not None
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
            except OSError as problem:
                self._failed(problem)
                await asyncio.sleep(self.pause)
                continue
            self._take(sock)
            if self.failing_since and not self._empty_queue():
                await asyncio.sleep(self.pause)

    def _failed(self, problem: OSError) -> None:
        """One connection that was given up says nothing of those behind it; else the next try waits."""
        metrics.count_failed_call("accept", problem)
        logs.event("listener", "accept_failed", why=problem)
        self.failing_since = self.failing_since or now_us()
        self.failures += 1
        at_once = classify_error(problem) is not ErrorKind.LOCAL and self.failures <= AT_ONCE
        self.pause = 0.0 if at_once else next_retry_delay(self.pause)

    def _empty_queue(self) -> bool:
        """Takes all connections that wait. False where an accept failed with others behind it."""
        while self.sock is not None:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                break
            except OSError as problem:
                self._failed(problem)
                return False
            sock.setblocking(False)
            self._take(sock)
        self.failing_since, self.failures, self.pause = 0, 0, 0.0
        return True

    def _take(self, sock: socket.socket) -> None:
        if self.admit():
            self.add_connection(sock)
        else:
            metrics.count("client_closed.no_room")
            close_quietly(sock)

    def admit(self) -> bool:
        raise NotImplementedError

    def add_connection(self, sock: socket.socket) -> None:
        raise NotImplementedError

    async def stop_listening(self) -> None:
        """What the machine accepted already is taken first: closing the socket would reset it."""
        if self.accepting is not None:  # uvloop keeps the socket open while an accept is under way
            self.accepting.cancel()
        end = now_us() + EMPTY_WITHIN
        while not self._empty_queue() and now_us() < end:
            await asyncio.sleep(self.pause)
        self.close_listener()

    def close_listener(self) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
        if self.sock is not None:
            close_quietly(self.sock)
            self.sock = None
