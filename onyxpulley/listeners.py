"""Listening sockets: the accept loop that all fronts share, and eviction of idle connections."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import heapq
import socket
import struct
from collections.abc import Callable, Iterable
from typing import Protocol

from onyxpulley import logs, metrics
from onyxpulley.clock import now_us
from onyxpulley.lingering import LingeringSockets
from onyxpulley.streams import close_quietly
from onyxpulley.system_calls import ErrorKind, classify_error, next_retry_delay

# Idle time counts this many times on a connection on which nothing was ever received. With 2, requests that
# are slow to arrive fail, because their connections are evicted first.
SILENT_CONNECTION_WEIGHT = 4
FIRST_REQUEST_GRACE_US = 1_000_000  # for which a drain spares a connection that has made no request yet
# Accepts that fail in a row and are repeated without a pause, as many as the listen queue holds: each may
# stand for one connection that was given up before it was accepted.
MAX_IMMEDIATE_RETRIES = 512
ACCEPT_QUEUE_TIMEOUT_US = 500_000  # for accepting what is queued before the socket is closed
RANKING_VALID_US = 100_000  # of idle connections; short compared with the time for which they are idle
MAX_RANKED_IDLE = 64  # about as many as are evicted in that time
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


class EvictableConnection(Protocol):
    """A connection of any front that may be closed to make room for another one."""

    closed: bool
    last_activity: int  # monotonic us

    def all_answered(self) -> bool:
        """Whether no request is open and no answer unsent."""
        ...

    def is_delivered(self) -> bool:
        """Whether the client takes what it is sent, and has sent nothing that waits to be read."""
        ...

    def eviction_age(self, now: int) -> int:
        """Microseconds of idle time, weighted on a connection on which nothing was ever received."""
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


def evict_one(connections: Iterable[EvictableConnection], now: int) -> bool:
    """Closes the longest idle of the connections on which everything is answered; False if there is none.

    Connections that wait for a slow or a next request outlast those that never sent anything. One whose
    request waits to be read, or whose client still reads an answer, only looks idle.
    """
    evictable = [connection for connection in connections if connection.all_answered()]
    while evictable:
        longest_idle = max(evictable, key=lambda connection: connection.eviction_age(now))
        if longest_idle.is_delivered():
            longest_idle.close()
            return True
        evictable.remove(longest_idle)
    return False


class EvictionRanking:
    """Evicts like `evict_one` from very many connections, and ranks them once for several evictions.

    Under a crowd every accept needs an eviction, and to look at all connections costs ten times as much as to
    accept one.
    """

    def __init__(self, connections: Callable[[], Iterable[EvictableConnection]]) -> None:
        """`connections` returns all that may be evicted now."""
        self.connections = connections
        self.ranked: list[tuple[EvictableConnection, int]] = []  # with its last activity; longest idle last
        self.ranked_at = 0  # monotonic us

    def evict_one(self, now: int) -> bool:
        """Closes the longest idle connection on which everything is answered; False if there is none."""
        if self.ranked and now - self.ranked_at < RANKING_VALID_US and self._evict_ranked():
            return True
        idle = [connection for connection in self.connections() if connection.all_answered()]
        longest_idle = heapq.nlargest(MAX_RANKED_IDLE, idle, key=lambda c: c.eviction_age(now))
        self.ranked = [(connection, connection.last_activity) for connection in reversed(longest_idle)]
        self.ranked_at = now
        return self._evict_ranked() or evict_one(idle, now)

    def _evict_ranked(self) -> bool:
        """Closes the next one that is still idle. One that is not is no candidate until the next ranking."""
        while self.ranked:
            connection, last_activity = self.ranked.pop()
            has_rested = not connection.closed and connection.last_activity == last_activity
            if has_rested and connection.all_answered() and connection.is_delivered():
                connection.close()
                return True
        return False


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
        """Accepts connections until cancelled."""
        self.accept_task = asyncio.current_task()
        assert self.sock is not None
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
            except OSError as error:
                self._accept_failed(error)
                await asyncio.sleep(self.retry_delay)
                continue
            self._handle_accepted(sock)
            if self.failing_since and not self._empty_queue():
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

    def _empty_queue(self) -> bool:
        """Accepts all queued connections. False if an accept failed, so that others may still be queued."""
        while self.sock is not None:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                break
            except OSError as error:
                self._accept_failed(error)
                return False
            sock.setblocking(False)
            self._handle_accepted(sock)
        self.failing_since = 0
        self.failures = 0
        self.retry_delay = 0.0
        return True

    def _handle_accepted(self, sock: socket.socket) -> None:
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

    async def stop_listening(self) -> None:
        """Accepts what is still queued, which closing the socket would reset, and closes it."""
        if self.accept_task is not None:  # uvloop keeps the socket open while an accept is under way
            self.accept_task.cancel()
        end = now_us() + ACCEPT_QUEUE_TIMEOUT_US
        while not self._empty_queue() and now_us() < end:
            await asyncio.sleep(self.retry_delay)
        self.close_listener()

    def close_listener(self) -> None:
        """Stops accepting and closes the socket, also if it was never opened."""
        if self.accept_task is not None:
            self.accept_task.cancel()
        if self.sock is not None:
            close_quietly(self.sock)
            self.sock = None
