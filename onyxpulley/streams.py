"""Connections as streams of bytes. A call that fails for a moment is made again; only an error that ends the
connection is raised."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from typing import Protocol

from onyxpulley import metrics
from onyxpulley.clock import now_us
from onyxpulley.system_calls import ErrorKind, classify_error, next_retry_delay

Data = bytes | memoryview
SENDS_A_TURN = 16
MAX_FAILING_US = (
    10_000_000  # us for which a call on one connection may fail: longer than any deadline counted
)
OUT_OF_TOUCH = 50_000  # us: half of the time after a client's end in which an attempt may still begin


def close_quietly(sock: socket.socket) -> None:
    """Closes whatever `close` says: Linux frees the descriptor in any case."""
    try:
        sock.close()
    except OSError as problem:
        metrics.count_failed_call("close", problem)


def disable_write_delay(sock: socket.socket) -> bool:
    """Keeps the system from holding small writes back. False where that cannot be set now."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as problem:
        metrics.count_failed_call("setsockopt", problem)
        return False
    return True


async def wait_writable(sock: socket.socket) -> None:
    """Until the socket takes bytes, or has an error to tell."""
    loop = asyncio.get_running_loop()
    writable = loop.create_future()

    def ready() -> None:
        if not writable.done():
            writable.set_result(None)

    loop.add_writer(sock, ready)
    try:
        await writable
    finally:
        with contextlib.suppress(OSError):  # its deferred close may fail
            loop.remove_writer(sock)


class Stream(Protocol):
    """A connection, plain or under TLS. What it raises (OSError) ends it."""

    @property
    def delayed_since(self) -> int:
        """Since when what came last may have waited, because reads failed; 0 where it came just now."""
        ...

    def peer_may_have_left(self) -> bool:
        """Have reads failed for so long that the peer may have left unseen?"""
        ...

    async def receive_into(self, room: memoryview) -> int:
        """How many bytes came; 0 at the end."""
        ...

    def send_now(self, data: Data) -> int:
        """How many bytes were taken without waiting; 0: none now."""
        ...

    async def wait_writable(self) -> None:
        """After `send_now` took none: until it is worth another try."""
        ...

    async def send_all(self, data: Data) -> None: ...

    def close(self) -> None: ...


class SocketStream:
    """A plain connection on a non-blocking socket. `peer` names the kind of peer in the counters,
    `failing_since` tells since when it may have waited to be accepted. Times in monotonic microseconds, 0 for
    never."""

    def __init__(self, sock: socket.socket, peer: str, failing_since: int = 0) -> None:
        self.sock, self.peer = sock, peer
        self.failing_since = failing_since  # of reads; the next one that goes through ends it
        self.delayed_since = self.sends_failing_since = 0
        self.loop = asyncio.get_running_loop()
        self.without_delay = disable_write_delay(sock)
        self.pause = 0.0  # seconds before the next try to send, after an error

    async def receive_into(self, room: memoryview) -> int:
        pause = 0.0
        while True:
            try:
                got = await self.loop.sock_recv_into(self.sock, room)
            except OSError as problem:
                self._raise_if_ended("recv", problem)
                self.failing_since = self.failing_since or now_us()
                if now_us() - self.failing_since > MAX_FAILING_US:
                    raise
            else:
                self.delayed_since, self.failing_since = self.failing_since, 0
                return got
            pause = next_retry_delay(pause)
            await asyncio.sleep(pause)

    def receive_now(self, room: memoryview) -> int | None:
        """How many bytes were there; 0 at the end, None where there is nothing now."""
        try:
            return self.sock.recv_into(room)
        except BlockingIOError:
            return None
        except OSError as problem:
            self._raise_if_ended("recv", problem)
            self.failing_since = self.failing_since or self.delayed_since or now_us()
            return None

    def peer_may_have_left(self) -> bool:
        return bool(self.failing_since) and now_us() - self.failing_since > OUT_OF_TOUCH

    def send_now(self, data: Data) -> int:
        self.without_delay = self.without_delay or disable_write_delay(self.sock)
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as problem:
            self._raise_if_ended("send", problem)
            self.sends_failing_since = self.sends_failing_since or now_us()
            if now_us() - self.sends_failing_since > MAX_FAILING_US:
                raise
            self.pause = next_retry_delay(self.pause)
            return 0
        self.pause, self.sends_failing_since = 0.0, 0
        return sent

    async def wait_writable(self) -> None:
        if self.pause:
            await asyncio.sleep(self.pause)
        else:
            await wait_writable(self.sock)

    def would_block(self) -> bool:
        """Would the next byte have to wait?"""
        poll = select.poll()
        poll.register(self.sock, select.POLLOUT)
        return not poll.poll(0)

    async def send_all(self, data: Data) -> None:
        rest, turn = memoryview(data), SENDS_A_TURN
        while rest:
            sent = self.send_now(rest)
            rest, turn = rest[sent:], turn - 1
            if not sent:
                await self.wait_writable()
            elif not turn:  # others have their turn where each call takes few bytes
                await asyncio.sleep(0)
                turn = SENDS_A_TURN

    def close(self) -> None:
        close_quietly(self.sock)

    def _raise_if_ended(self, call: str, problem: OSError) -> None:
        metrics.count_failed_call(f"{call}.{self.peer}", problem)
        if classify_error(problem) is ErrorKind.FATAL:
            raise problem
