"""What bytes travel on, plain or verified, and who decides whether a server may be spoken to."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol


class Stream(Protocol):
    """A connection, plain or under TLS."""

    async def receive_into(self, room: memoryview) -> int: ...
    async def send_all(self, data: bytes) -> None: ...
    def close(self) -> None: ...


class Wire(Stream, Protocol):
    """A connection to a server."""

    def takes(self) -> bool:
        """May new work go on it? Asked again at each write."""
        ...

    def over(self) -> bool:
        """Has what still runs on it had its time?"""
        ...


class Trust(Protocol):
    """Whether servers are who the list says they are."""

    async def secure(self, uid: str, sock: socket.socket) -> Wire:
        """Before the first byte of a request. Raises OSError or TimeoutError where the peer is not shown to
        be that server: nothing was sent, so it counts as one that cannot be reached."""
        ...


class Plain:
    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.loop = sock, asyncio.get_running_loop()

    async def receive_into(self, room: memoryview) -> int:
        return await self.loop.sock_recv_into(self.sock, room)

    async def send_all(self, data: bytes) -> None:
        await self.loop.sock_sendall(self.sock, data)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.close()

    def takes(self) -> bool:
        return True

    def over(self) -> bool:
        return False


class Listed:
    """Trusts the list, as the platform does."""

    async def secure(self, uid: str, sock: socket.socket) -> Wire:
        return Plain(sock)
