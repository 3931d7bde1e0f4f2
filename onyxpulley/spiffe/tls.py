"""TLS over a plain stream, for both sides. Who the peer is, `Peers` judges by what it showed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cryptography import x509
from OpenSSL import SSL

from onyxpulley.spiffe.ids import InvalidIdentity
from onyxpulley.spiffe.svids import Chain, Svid, read_chain
from onyxpulley.streams import Data, SocketStream

CHUNK = 16_384


class TlsError(OSError):
    """Anything that TLS itself has to complain of."""


def make_context(svid: Svid, server: bool) -> SSL.Context:
    """Shows this SVID and takes any certificate for which the peer proves that it has the key. It is no check
    of who that is: `Peers` does that before a byte of a request is written or read, with the bundle of the
    peer's own trust domain, which OpenSSL's one store cannot tell from another's."""
    context = SSL.Context(SSL.TLS_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    context.set_options(SSL.OP_NO_RENEGOTIATION | SSL.OP_NO_COMPRESSION)
    context.use_certificate(svid.chain.certs[0])
    for cert in svid.chain.certs[1:]:
        context.add_extra_chain_cert(cert)
    context.use_privatekey(svid.key)
    context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, _accept_certificate)
    if server:  # a resumed session shows no certificate: callers show theirs each time
        context.set_session_cache_mode(SSL.SESS_CACHE_OFF)
        context.set_options(SSL.OP_NO_TICKET)
    else:
        context.set_session_cache_mode(SSL.SESS_CACHE_CLIENT)
    return context


def _accept_certificate(connection: SSL.Connection, cert: object, error: int, depth: int, ok: int) -> bool:
    """OpenSSL calls it in a full handshake, and not where a session is resumed."""
    connection.set_app_data(True)
    return True


class TlsStream:
    """One side of a TLS connection. Readers and one writer may work at the same time."""

    def __init__(self, plain: SocketStream, context: SSL.Context, server: bool) -> None:
        self.plain = plain
        self.connection = SSL.Connection(context, None)
        self.connection.set_app_data(False)
        if server:
            self.connection.set_accept_state()
        else:
            self.connection.set_connect_state()
        self.room = memoryview(bytearray(CHUNK))
        self.sending = asyncio.Lock()

    @property
    def delayed_since(self) -> int:
        return self.plain.delayed_since

    def peer_may_have_left(self) -> bool:
        return self.plain.peer_may_have_left()

    async def handshake(self) -> None:
        """Raises OSError; a TimeoutError is the caller's."""
        await self._step(self.connection.do_handshake)

    def is_full_handshake(self) -> bool:
        """The peer showed its certificate on this very connection."""
        return bool(self.connection.get_app_data())

    def peer_chain(self) -> Chain:
        """Raises InvalidIdentity."""
        certs: list[x509.Certificate] = self.connection.get_peer_cert_chain(as_cryptography=True) or []
        leaf = self.connection.get_peer_certificate(as_cryptography=True)
        if leaf is None:
            raise InvalidIdentity("SVID: no certificate")
        return read_chain([leaf, *(c for c in certs if c != leaf)])

    async def _flush(self) -> None:
        async with self.sending:
            while True:
                try:
                    data = self.connection.bio_read(4 * CHUNK)
                except SSL.WantReadError:
                    return
                await self.plain.send_all(data)

    async def _more(self) -> bool:
        got = await self.plain.receive_into(self.room)
        if got:
            self.connection.bio_write(bytes(self.room[:got]))
        else:
            self.connection.bio_shutdown()
        return bool(got)

    async def _step(self, step: Callable[[], object]) -> None:
        while True:
            try:
                step()
                await self._flush()
                return
            except SSL.WantReadError:
                await self._flush()
                if not await self._more():
                    raise ConnectionResetError("ended in the handshake") from None
            except SSL.Error as problem:
                await self._flush()  # the alert that tells the peer
                raise TlsError(error_text(problem)) from None

    async def receive_into(self, room: memoryview) -> int:
        while True:
            try:
                return self.connection.recv_into(room, len(room))
            except SSL.WantReadError:
                await self._flush()
                if not await self._more():
                    return 0
            except SSL.ZeroReturnError:
                return 0
            except SSL.Error as problem:
                raise TlsError(error_text(problem)) from None

    def send_now(self, data: Data) -> int:
        """Encrypts a first part where the socket has room; `send_all` sees to it that it leaves."""
        if self.sending.locked() or self.plain.would_block():
            return 0
        try:
            return self.connection.send(memoryview(data)[:CHUNK])
        except SSL.Error as problem:
            raise TlsError(error_text(problem)) from None

    async def wait_writable(self) -> None:
        async with self.sending:
            await self.plain.wait_writable()

    async def send_all(self, data: Data) -> None:
        await self._flush()
        view = memoryview(data)
        while view:
            try:
                view = view[self.connection.send(view[:CHUNK]) :]
            except SSL.Error as problem:
                raise TlsError(error_text(problem)) from None
            await self._flush()

    def close(self) -> None:
        """Guards the session: OpenSSL takes it for spoilt where a connection just stops."""
        self.connection.set_shutdown(SSL.SENT_SHUTDOWN | SSL.RECEIVED_SHUTDOWN)
        self.plain.close()


def error_text(problem: SSL.Error) -> str:
    """OpenSSL's words, which name no keys."""
    if isinstance(problem, SSL.SysCallError):
        return "connection ended"
    rows = problem.args[0] if problem.args and isinstance(problem.args[0], list) else []
    return str(rows[-1][2]) if rows else type(problem).__name__
