"""Streams to servers, plain or authenticated, and the interface for authenticating servers."""

from __future__ import annotations

import socket
from typing import Protocol

from onyxpulley.streams import SocketStream, Stream


class ServerStream(Stream, Protocol):
    """A stream to a server."""

    def accepts_requests(self) -> bool:
        """Whether new requests may be sent. Checked again before each write."""
        ...

    def expired(self) -> bool:
        """Whether it is to be closed, because the time granted to its requests in flight is over."""
        ...


class TransportSecurity(Protocol):
    """Authenticates servers on new connections."""

    async def secure(self, uid: str, sock: socket.socket) -> ServerStream:
        """Returns a stream on the connected socket before any byte of a request is sent. Raises OSError or
        TimeoutError if the peer does not prove that it is the server `uid`, which then counts as
        unreachable."""
        ...


class PlainServerStream(SocketStream):
    """A stream to a server whose identity is not checked."""

    def accepts_requests(self) -> bool:
        """Always true."""
        return True

    def expired(self) -> bool:
        """Always false."""
        return False


class PlainTransport:
    """Plain connections: like the platform, trusts that the listed address is that of the server."""

    async def secure(self, uid: str, sock: socket.socket) -> ServerStream:
        """Returns a plain stream."""
        return PlainServerStream(sock, "server")
