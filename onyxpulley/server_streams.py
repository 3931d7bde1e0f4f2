"""Connections to servers, plain or verified, and who decides whether a server may be spoken to."""

from __future__ import annotations

import socket
from typing import Protocol

from onyxpulley.streams import SocketStream, Stream


class ServerStream(Stream, Protocol):
    """A connection to a server."""

    def accepts_requests(self) -> bool:
        """May new work go on it? Asked again at each write."""
        ...

    def expired(self) -> bool:
        """Has what still runs on it had its time?"""
        ...


class TransportSecurity(Protocol):
    """Whether servers are who the list says they are."""

    async def secure(self, uid: str, sock: socket.socket) -> ServerStream:
        """Before the first byte of a request. Raises OSError or TimeoutError where the peer is not shown to
        be that server: nothing was sent, so it counts as one that cannot be reached."""
        ...


class PlainServerStream(SocketStream):
    """A connection to a server that is believed to be the one of the list."""

    def accepts_requests(self) -> bool:
        return True

    def expired(self) -> bool:
        return False


class PlainTransport:
    """Trusts the list, as the platform does."""

    async def secure(self, uid: str, sock: socket.socket) -> ServerStream:
        return PlainServerStream(sock, "server")
