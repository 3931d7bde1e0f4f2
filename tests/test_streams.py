"""Calls that fail on a socket: retried, and given up if they keep failing."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from onyxpulley import streams
from onyxpulley.lingering import LingeringSockets
from onyxpulley.streams import SocketStream


class FailingSocket:
    """A socket whose first `failures` calls of `send` fail (-1: all); later ones send at most 3 bytes."""

    def __init__(self, sock: socket.socket, failures: int) -> None:
        self.sock, self.failures = sock, failures

    def send(self, data: bytes) -> int:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENOBUFS, "no buffers")
        return self.sock.send(data[:3])

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


def stream_over(failures: int) -> tuple[SocketStream, socket.socket]:
    near, far = socket.socketpair()
    near.setblocking(False)
    stream = SocketStream(near, "client")
    stream.sock = FailingSocket(near, failures)  # type: ignore[assignment]
    return stream, far


# Guards against bytes that are lost or sent twice when a short write is followed by an error.
def test_a_write_continues_where_it_stopped() -> None:
    async def play() -> bytes:
        stream, far = stream_over(5)
        await stream.send_all(b"0123456789")
        stream.close()
        return far.recv(100)

    assert asyncio.run(play()) == b"0123456789"


# Guards against a connection that is kept for good although every call on it fails.
def test_a_connection_whose_calls_keep_failing_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "MAX_FAILING_US", 50_000)

    async def play() -> None:
        stream, _ = stream_over(-1)
        async with asyncio.timeout(2.0):
            await stream.send_all(b"x")

    with pytest.raises(OSError, match="no buffers"):
        asyncio.run(play())


# Guards against an error in a check before a write, which would end the writer of a server's connection.
@pytest.mark.parametrize("end", ["graceful", "aborted"])
def test_a_connection_that_was_closed_on_this_side_counts_as_left(end: str) -> None:
    async def play() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        stream = SocketStream(near, "client", 0, LingeringSockets())
        assert not stream.peer_has_closed()
        if end == "aborted":
            stream.abort()
        else:
            stream.close()
            far.close()
        assert stream.peer_has_closed()
        near.close()
        far.close()

    asyncio.run(play())
