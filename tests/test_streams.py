"""Calls on one socket that fail: made again, and given up when they never go through."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from onyxpulley import streams
from onyxpulley.streams import SocketStream


class FailingSocket:
    """A socket whose `send` fails so many times first; -1: always."""

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


# Guards against bytes that are lost or sent twice between a short write and an error.
def test_a_write_goes_on_where_it_stopped() -> None:
    async def play() -> bytes:
        stream, far = stream_over(5)
        await stream.send_all(b"0123456789")
        stream.close()
        return far.recv(100)

    assert asyncio.run(play()) == b"0123456789"


# Guards against a connection that is kept for ever although no call on it goes through.
def test_a_connection_on_which_nothing_goes_through_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "MAX_FAILING_US", 50_000)

    async def play() -> None:
        stream, _ = stream_over(-1)
        async with asyncio.timeout(2.0):
            await stream.send_all(b"x")

    with pytest.raises(OSError, match="no buffers"):
        asyncio.run(play())
