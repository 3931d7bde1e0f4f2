"""TLS on a plain stream, for clients and servers. The peer's identity is verified by `PeerVerifier`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cryptography import x509
from OpenSSL import SSL

from onyxpulley.spiffe.ids import InvalidIdentity
from onyxpulley.spiffe.svids import Chain, Svid, read_chain
from onyxpulley.streams import Data, SocketStream

CHUNK = 16_384  # bytes; the most that one TLS record holds


class TlsError(OSError):
    """An error of TLS itself, in contrast to one of the connection below it."""


def make_context(svid: Svid, server: bool) -> SSL.Context:
    """Returns a context that presents an SVID and accepts any certificate whose key the peer proves to have.

    The context does not verify the peer's identity: `PeerVerifier` does so before a byte of a request is
    written or read. It uses the bundle of the peer's own trust domain, which OpenSSL's single certificate
    store could not keep apart from the bundles of others.
    """
    context = SSL.Context(SSL.TLS_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    context.set_options(SSL.OP_NO_RENEGOTIATION | SSL.OP_NO_COMPRESSION)
    context.use_certificate(svid.chain.certs[0])
    for cert in svid.chain.certs[1:]:
        context.add_extra_chain_cert(cert)
    context.use_privatekey(svid.key)
    context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, _accept_certificate)
    if server:  # callers must present their certificate each time, which they do not in a resumed session
        context.set_session_cache_mode(SSL.SESS_CACHE_OFF)
        context.set_options(SSL.OP_NO_TICKET)
    else:
        context.set_session_cache_mode(SSL.SESS_CACHE_CLIENT)
    return context


def _accept_certificate(connection: SSL.Connection, cert: object, error: int, depth: int, ok: int) -> bool:
    """Notes that a certificate was presented: OpenSSL calls this only in a full handshake."""
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
        self.encrypted_buffer = memoryview(bytearray(CHUNK))  # for encrypted bytes
        self.sending = asyncio.Lock()

    @property
    def delayed_since(self) -> int:
        """That of the plain stream."""
        return self.plain.delayed_since

    def peer_may_have_left(self) -> bool:
        """That of the plain stream."""
        return self.plain.peer_may_have_left()

    def may_have_input(self) -> bool:
        """Whether bytes, the end of the stream or an error wait to be read."""
        return self.plain.may_have_input()

    def peer_has_closed(self) -> bool:
        """That of the plain stream."""
        return self.plain.peer_has_closed()

    async def handshake(self) -> None:
        """Completes the handshake, without a timeout. Raises OSError."""
        await self._step(self.connection.do_handshake)

    def is_full_handshake(self) -> bool:
        """Whether the peer presented its certificate, and no earlier session was resumed."""
        return bool(self.connection.get_app_data())

    def peer_chain(self) -> Chain:
        """Returns the certificates that the peer presented. Raises InvalidIdentity."""
        certs: list[x509.Certificate] = self.connection.get_peer_cert_chain(as_cryptography=True) or []
        leaf = self.connection.get_peer_certificate(as_cryptography=True)
        if leaf is None:
            raise InvalidIdentity("SVID: no certificate")
        return read_chain([leaf, *(cert for cert in certs if cert != leaf)])

    async def _flush(self) -> None:
        """Sends the encrypted bytes that OpenSSL has ready."""
        async with self.sending:
            while True:
                try:
                    data = self.connection.bio_read(4 * CHUNK)
                except SSL.WantReadError:
                    return
                await self.plain.send_all(data)

    async def _feed(self) -> bool:
        """Passes encrypted bytes from the plain stream to OpenSSL. Returns False at the end of the stream."""
        received = await self.plain.receive_into(self.encrypted_buffer)
        if received:
            self.connection.bio_write(bytes(self.encrypted_buffer[:received]))
        else:
            self.connection.bio_shutdown()
        return bool(received)

    async def _step(self, step: Callable[[], object]) -> None:
        """Repeats a call of OpenSSL until it needs no more bytes of the peer."""
        while True:
            try:
                step()
                await self._flush()
                return
            except SSL.WantReadError:
                await self._flush()
                if not await self._feed():
                    raise ConnectionResetError("connection closed during the handshake") from None
            except SSL.Error as error:
                await self._flush()  # sends the alert
                raise TlsError(error_text(error)) from None

    async def receive_into(self, buffer: memoryview) -> int:
        """Reads decrypted bytes into `buffer`. Returns their number, or 0 at the end of the stream."""
        while True:
            try:
                return self.connection.recv_into(buffer, len(buffer))
            except SSL.WantReadError:
                await self._flush()
                if not await self._feed():
                    return 0
            except SSL.ZeroReturnError:
                return 0
            except SSL.Error as error:
                raise TlsError(error_text(error)) from None

    def send_now(self, data: Data) -> int:
        """Encrypts the first part of `data` if the socket can be written to, and returns its length.

        The encrypted bytes leave with the next call of `send_all`.
        """
        if self.sending.locked() or self.plain.would_block():
            return 0
        try:
            return self.connection.send(memoryview(data)[:CHUNK])
        except SSL.Error as error:
            raise TlsError(error_text(error)) from None

    async def wait_writable(self) -> None:
        """Waits until the socket can be written to."""
        async with self.sending:
            await self.plain.wait_writable()

    async def send_all(self, data: Data) -> None:
        """Encrypts and sends `data`, after what `send_now` has encrypted."""
        await self._flush()
        view = memoryview(data)
        while view:
            try:
                view = view[self.connection.send(view[:CHUNK]) :]
            except SSL.Error as error:
                raise TlsError(error_text(error)) from None
            await self._flush()

    def close(self) -> None:
        """Closes the connection.

        Marks the TLS session as shut down: OpenSSL would not resume a session whose connection just ended.
        """
        self.connection.set_shutdown(SSL.SENT_SHUTDOWN | SSL.RECEIVED_SHUTDOWN)
        self.plain.close()


def error_text(error: SSL.Error) -> str:
    """Returns OpenSSL's description of an error, which contains no keys."""
    if isinstance(error, SSL.SysCallError):
        return "connection ended"
    entries = error.args[0] if error.args and isinstance(error.args[0], list) else []
    return str(entries[-1][2]) if entries else type(error).__name__
