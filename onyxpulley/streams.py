"""Byte streams over connections. A call that fails for the moment is retried; only an error that ends the
connection is raised."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from onyxpulley import metrics
from onyxpulley.clock import now_us
from onyxpulley.system_calls import ErrorKind, classify_error, next_retry_delay

if TYPE_CHECKING:
    from onyxpulley.lingering import LingeringSockets

Data = bytes | memoryview
MAX_SENDS_PER_TURN = 16  # before other tasks run, where each call takes few bytes
MAX_FAILING_US = 10_000_000  # a connection is given up when its calls fail for longer; exceeds any deadline
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
PEER_UNSEEN_US = 50_000  # half of the time after a client has left in which an attempt may still start


def close_quietly(sock: socket.socket) -> None:
    """Closes a socket and only counts an error: Linux frees the descriptor in any case."""
    try:
        sock.close()
    except OSError as error:
        metrics.count_failed_call("close", error)


def disable_write_delay(sock: socket.socket) -> bool:
    """Sets TCP_NODELAY, so that small writes leave at once. False if it cannot be set now."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        metrics.count_failed_call("setsockopt", error)
        return False
    return True


async def wait_readable(sock: socket.socket) -> None:
    """Waits until the socket has bytes, a connection, its end or an error to read."""
    loop = asyncio.get_running_loop()
    await _wait_ready(sock, loop.add_reader, loop.remove_reader)


async def wait_writable(sock: socket.socket) -> None:
    """Waits until the socket takes bytes or reports an error."""
    loop = asyncio.get_running_loop()
    await _wait_ready(sock, loop.add_writer, loop.remove_writer)


async def _wait_ready(
    sock: socket.socket,
    add: Callable[[socket.socket, Callable[[], None]], None],
    remove: Callable[[socket.socket], bool],
) -> None:
    is_ready = asyncio.get_running_loop().create_future()

    def ready() -> None:
        if not is_ready.done():
            is_ready.set_result(None)

    add(sock, ready)
    try:
        await is_ready
    finally:
        with contextlib.suppress(OSError):  # the loop's deferred close of the socket may fail
            remove(sock)


class Stream(Protocol):
    """A connection, plain or under TLS. An OSError that it raises ends it."""

    @property
    def delayed_since(self) -> int:
        """Since when (monotonic us) the bytes received last may have waited because reads failed; 0 if they
        arrived just now."""
        ...

    def peer_may_have_left(self) -> bool:
        """Whether reads have failed for so long that the peer may have closed the connection unnoticed."""
        ...

    async def receive_into(self, buffer: memoryview) -> int:
        """Waits for bytes and returns how many were received; 0 at the end of the stream."""
        ...

    def send_now(self, data: Data) -> int:
        """Returns how many bytes were taken without waiting; 0 if none can be taken now."""
        ...

    async def wait_writable(self) -> None:
        """After `send_now` took nothing, waits until another try is worthwhile."""
        ...

    async def send_all(self, data: Data) -> None:
        """Sends everything, waiting as needed."""
        ...

    def close(self) -> None:
        """Closes the connection. On a client's connection the client still receives what was sent."""
        ...


class ClientStream(Stream, Protocol):
    """A connection of a client."""

    def may_have_input(self) -> bool:
        """Whether bytes, the end of the stream or an error wait to be read."""
        ...

    def peer_has_closed(self) -> bool:
        """Whether the client has closed the connection, also behind bytes that wait to be read."""
        ...


class SocketStream:
    """A plain connection on a non-blocking socket. Points in time are monotonic microseconds, 0 for never."""

    def __init__(
        self,
        sock: socket.socket,
        peer: str,
        failing_since: int = 0,
        lingering: LingeringSockets | None = None,
    ) -> None:
        """`peer` names the kind of peer in the counters; `failing_since` is the time since when the
        connection may have waited to be accepted. With `lingering` it is closed gracefully."""
        self.sock, self.peer, self.lingering = sock, peer, lingering
        self.reads_failing_since = failing_since  # until the next successful read
        self.delayed_since = self.sends_failing_since = 0
        self.loop = asyncio.get_running_loop()
        self.write_delay_disabled = disable_write_delay(sock)
        self.retry_delay = 0.0  # seconds before the next send after an error

    async def receive_into(self, buffer: memoryview) -> int:
        """Waits for bytes and returns how many were received; 0 at the end of the stream."""
        delay = 0.0
        while True:
            try:
                received = await self.loop.sock_recv_into(self.sock, buffer)
            except OSError as error:
                self._raise_if_fatal("recv", error)
                self.reads_failing_since = self.reads_failing_since or now_us()
                if now_us() - self.reads_failing_since > MAX_FAILING_US:
                    raise
            else:
                self.delayed_since, self.reads_failing_since = self.reads_failing_since, 0
                return received
            delay = next_retry_delay(delay)
            await asyncio.sleep(delay)

    def receive_now(self, buffer: memoryview) -> int | None:
        """Returns how many bytes were there; 0 at the end of the stream, None if there are none now."""
        try:
            return self.sock.recv_into(buffer)
        except BlockingIOError:
            return None
        except OSError as error:
            self._raise_if_fatal("recv", error)
            self.reads_failing_since = self.reads_failing_since or self.delayed_since or now_us()
            return None

    def peer_may_have_left(self) -> bool:
        """Whether reads have failed for so long that the peer may have closed the connection unnoticed."""
        return bool(self.reads_failing_since) and now_us() - self.reads_failing_since > PEER_UNSEEN_US

    def send_now(self, data: Data) -> int:
        """Returns how many bytes were taken without waiting; 0 if none can be taken now."""
        self.write_delay_disabled = self.write_delay_disabled or disable_write_delay(self.sock)
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._raise_if_fatal("send", error)
            self.sends_failing_since = self.sends_failing_since or now_us()
            if now_us() - self.sends_failing_since > MAX_FAILING_US:
                raise
            self.retry_delay = next_retry_delay(self.retry_delay)
            return 0
        self.retry_delay, self.sends_failing_since = 0.0, 0
        return sent

    async def wait_writable(self) -> None:
        """After `send_now` took nothing, waits until the socket takes bytes, or the delay after an error."""
        if self.retry_delay:
            await asyncio.sleep(self.retry_delay)
        else:
            await wait_writable(self.sock)

    def would_block(self) -> bool:
        """Whether the next byte would have to wait."""
        poll = select.poll()
        poll.register(self.sock, select.POLLOUT)
        return not poll.poll(0)

    def may_have_input(self) -> bool:
        """Whether bytes, the end of the stream or an error wait to be read."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed the connection, also behind bytes that wait to be read."""
        if self.sock.fileno() < 0:
            return True  # closed on this side
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))

    async def send_all(self, data: Data) -> None:
        """Sends everything, waiting as needed, and lets other tasks run between many small sends."""
        rest, sends_left = memoryview(data), MAX_SENDS_PER_TURN
        while rest:
            sent = self.send_now(rest)
            rest, sends_left = rest[sent:], sends_left - 1
            if not sent:
                await self.wait_writable()
            elif not sends_left:
                await asyncio.sleep(0)
                sends_left = MAX_SENDS_PER_TURN

    def close(self) -> None:
        """Closes the socket, gracefully where it was made so."""
        if self.lingering is not None:
            self.lingering.add(self.sock)
        else:
            close_quietly(self.sock)

    def abort(self) -> None:
        """Closes the socket at once; the peer may lose what it has not received yet."""
        close_quietly(self.sock)

    def _raise_if_fatal(self, call: str, error: OSError) -> None:
        metrics.count_failed_call(f"{call}.{self.peer}", error)
        if classify_error(error) is ErrorKind.FATAL:
            raise error
