"""SPIFFE identities: X.509-SVIDs from files, mutual TLS, and who the peer is (X509-SVID specification)."""

from __future__ import annotations

import asyncio
import hashlib
import re
import ssl
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.x509.oid import ExtensionOID

from onyxpulley.wires import Stream

CHUNK = 16_384
HANDSHAKE = 5.0
DOMAIN = r"[a-z0-9._-]{1,255}"
SPIFFE_ID = re.compile(rf"spiffe://({DOMAIN})((?:/(?!\.\.?(?:/|$))[A-Za-z0-9._-]+)*)")


class BadIdentity(Exception):
    """Files that cannot be used, or a peer that is not who may call."""


def domain_of(spiffe_id: str) -> str:
    """The trust domain of a well-formed SPIFFE ID. Raises BadIdentity."""
    found = SPIFFE_ID.fullmatch(spiffe_id)
    if found is None or len(spiffe_id) > 2048:
        raise BadIdentity("not a SPIFFE ID")
    return found[1]


def spiffe_id(der: bytes) -> str:
    """The one SPIFFE ID of a leaf certificate whose chain is already verified. Raises BadIdentity."""
    try:
        cert = x509.load_der_x509_certificate(der)
        names = cert.extensions.get_extension_for_oid(ExtensionOID.SUBJECT_ALTERNATIVE_NAME).value
        assert isinstance(names, x509.SubjectAlternativeName)
        uris = names.get_values_for_type(x509.UniformResourceIdentifier)
        if len(uris) != 1:
            raise BadIdentity("an SVID has one URI name")
        domain_of(uris[0])
        if not SPIFFE_ID.fullmatch(uris[0])[2]:  # type: ignore[index]
            raise BadIdentity("a leaf's SPIFFE ID has a path")
        for extension in cert.extensions:
            value = extension.value
            if isinstance(value, x509.BasicConstraints) and value.ca:
                raise BadIdentity("a signing certificate is no leaf")
            if isinstance(value, x509.KeyUsage) and (
                not value.digital_signature or value.key_cert_sign or value.crl_sign
            ):
                raise BadIdentity("key usage is not that of a leaf")
        if not any(isinstance(e.value, x509.KeyUsage) for e in cert.extensions):
            raise BadIdentity("key usage is missing")
    except (ValueError, x509.ExtensionNotFound, x509.DuplicateExtension) as problem:
        raise BadIdentity(f"no SVID: {problem}") from problem
    return uris[0]


def valid_until(der: bytes) -> float:
    return x509.load_der_x509_certificate(der).not_valid_after_utc.timestamp()


@dataclass(frozen=True, slots=True)
class Files:
    certificate: Path  # this program's SVID, with intermediates
    key: Path
    bundle: Path  # the trust domain's CA certificates
    trust_domain: str


class Source:
    """The TLS context made of the files. Rotated files count from the next handshake on; bad ones never."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.mark = ""
        self.generation = 0
        self.context: ssl.SSLContext
        self.own_id = ""
        self.load()

    def _stamp(self) -> str:
        digest = hashlib.sha256()
        for path in (self.files.certificate, self.files.key, self.files.bundle):
            digest.update(path.read_bytes() + b"\0")
        return digest.hexdigest()

    def load(self) -> None:
        """Raises BadIdentity and keeps what was good."""
        try:
            mark = self._stamp()
            leaf = x509.load_pem_x509_certificates(self.files.certificate.read_bytes())[0]
            own = spiffe_id(leaf.public_bytes(Encoding.DER))
            if domain_of(own) != self.files.trust_domain:
                raise BadIdentity("the program's own SVID is of another trust domain")
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.minimum_version = ssl.TLSVersion.TLSv1_2
            context.load_cert_chain(self.files.certificate, self.files.key)
            context.load_verify_locations(self.files.bundle)
            context.verify_mode = ssl.CERT_REQUIRED
            context.num_tickets = (
                0  # no resumption: every connection is checked against the bundle of its day
            )
        except (OSError, ValueError, IndexError, ssl.SSLError) as problem:
            raise BadIdentity(f"SVID files: {type(problem).__name__}") from problem
        self.context, self.own_id, self.mark = context, own, mark
        self.generation += 1

    def reload(self) -> bool:
        """Takes rotated files in. True where something changed."""
        try:
            if self._stamp() == self.mark:
                return False
            self.load()
        except (OSError, BadIdentity) as problem:
            print(f"identity: kept the files of before: {problem}", file=sys.stderr, flush=True)
            return False
        print("identity: files reloaded", file=sys.stderr, flush=True)
        return True

    def peer(self, der: bytes) -> str:
        found = spiffe_id(der)
        if domain_of(found) != self.files.trust_domain:
            raise BadIdentity("the peer is of another trust domain")
        return found


class Tls:
    """A server's side of TLS over a plain stream."""

    def __init__(self, plain: Stream, context: ssl.SSLContext) -> None:
        self.plain = plain
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_side=True)
        self.room = memoryview(bytearray(CHUNK))
        self.sending = asyncio.Lock()

    async def _flush(self) -> None:
        async with self.sending:
            if self.outgoing.pending:
                await self.plain.send_all(self.outgoing.read())

    async def _more(self) -> bool:
        got = await self.plain.receive_into(self.room)
        if got:
            self.incoming.write(self.room[:got])
        else:
            self.incoming.write_eof()
        return bool(got)

    async def handshake(self) -> bytes:
        """The peer's certificate in DER. Raises OSError (ssl.SSLError is one) or TimeoutError."""
        async with asyncio.timeout(HANDSHAKE):
            await self._step(self.tls.do_handshake)
        der = self.tls.getpeercert(binary_form=True)
        if not der:
            raise ssl.SSLError("no certificate")
        return der

    async def _step(self, step: Callable[[], object]) -> None:
        while True:
            try:
                step()
                await self._flush()
                return
            except ssl.SSLWantReadError:
                await self._flush()
                if not await self._more():
                    raise ConnectionResetError("ended in the handshake") from None
            except ssl.SSLError:
                await self._flush()
                raise

    async def receive_into(self, room: memoryview) -> int:
        while True:
            try:
                return self.tls.read(len(room), room)  # type: ignore[return-value]
            except ssl.SSLWantReadError:
                await self._flush()
                if not await self._more():
                    return 0
            except ssl.SSLZeroReturnError:
                return 0

    async def send_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self.tls.write(view[:CHUNK]) :]
            await self._flush()

    def close(self) -> None:
        self.plain.close()
