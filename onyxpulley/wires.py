"""What bytes travel on, plain or verified, and who decides whether a server may be spoken to."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from onyxpulley import metrics


def close_quietly(sock: socket.socket) -> None:
    """Closes whatever `close` says: Linux frees the descriptor in any case."""
    try:
        sock.close()
    except OSError as problem:
        metrics.count_failed_call("close", problem)


def send_at_once(sock: socket.socket) -> bool:
    """Keeps the system from holding small writes back. False where that cannot be set now."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as problem:
        metrics.count_failed_call("setsockopt", problem)
        return False
    return True


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
        self.at_once = send_at_once(sock)

    async def receive_into(self, room: memoryview) -> int:
        return await self.loop.sock_recv_into(self.sock, room)

    async def send_all(self, data: bytes) -> None:
        self.at_once = self.at_once or send_at_once(self.sock)
        await self.loop.sock_sendall(self.sock, data)

    def close(self) -> None:
        close_quietly(self.sock)

    def takes(self) -> bool:
        return True

    def over(self) -> bool:
        return False


class Listed:
    """Trusts the list, as the platform does."""

    async def secure(self, uid: str, sock: socket.socket) -> Wire:
        return Plain(sock)
