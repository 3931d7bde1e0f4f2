"""A stand-in SPIFFE issuer: authorities, SVIDs with any fault, and a fake of the Workload API."""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from onyxpulley.spiffe import workload
from onyxpulley.spiffe.svids import Bundle, Chain, Svid, read_bundle, read_chain, read_svid

Key = ec.EllipticCurvePrivateKey
PEM, DER = serialization.Encoding.PEM, serialization.Encoding.DER
PKCS8, PLAIN = serialization.PrivateFormat.PKCS8, serialization.NoEncryption()


def time_from_now(seconds: float) -> datetime.datetime:
    """Returns a time in whole seconds, as certificates hold it."""
    return datetime.datetime.now(datetime.UTC).replace(microsecond=0) + datetime.timedelta(seconds=seconds)


class Authority:
    """A certificate authority of the trust domain `name`, signed by `parent` or by itself.

    `uri` replaces the URI name of its certificate; "" leaves it out. Times are seconds from now. Keyword
    arguments called `faults` are passed on to `sign`.
    """

    def __init__(
        self, name: str = "letra.example", parent: Authority | None = None, uri: str | None = None
    ) -> None:
        self.name = name
        self.parent = parent
        self.key = ec.generate_private_key(ec.SECP256R1())
        uris = [f"spiffe://{name}"] if uri is None else [uri] if uri else []
        self.root = self.sign(self.key, uris, ca=True)

    def sign(
        self,
        key: Key,
        uris: Sequence[str],
        ca: bool = False,
        since: float = -3600,
        until: float = 3600,
        usage: bool = True,
        constraints: bool = True,
    ) -> x509.Certificate:
        """Returns a certificate for a key; `usage` and `constraints` tell whether it has these extensions."""
        signer = self.parent if ca else self
        name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, f"{self.name} {id(self)}")])
        issuer = signer.root.subject if signer is not None else name
        subject = name if ca else x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "workload")])
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(time_from_now(since))
            .not_valid_after(time_from_now(until))
        )
        if constraints:
            builder = builder.add_extension(x509.BasicConstraints(ca, None), True)
        if usage:
            flags = [not ca, False, False, False, False, ca, ca, False, False]
            builder = builder.add_extension(x509.KeyUsage(*flags), True)
        if uris:
            names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri) for uri in uris])
            builder = builder.add_extension(names, False)
        return builder.sign(signer.key if signer is not None else key, hashes.SHA256())

    def issue(self, *uris: str, **faults: Any) -> tuple[list[x509.Certificate], Key]:
        """Returns a leaf with its intermediates, and its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        intermediates = [self.root] if self.parent is not None else []
        return [self.sign(key, uris, **faults), *intermediates], key

    def chain(self, path: str, **faults: Any) -> Chain:
        """Returns the chain of an SVID for a path in the trust domain."""
        return read_chain(self.issue(f"spiffe://{self.name}{path}", **faults)[0])

    def svid(self, path: str, **faults: Any) -> Svid:
        """Returns an SVID for a path in the trust domain."""
        certs, key = self.issue(f"spiffe://{self.name}{path}", **faults)
        return read_svid(read_chain(certs), key)

    def bundle(self) -> Bundle:
        """Returns the trust bundle with this authority alone."""
        return read_bundle(self.name, [self.root])

    def crl(self, *certs: x509.Certificate) -> bytes:
        """Returns a DER revocation list with the given certificates."""
        builder = x509.CertificateRevocationListBuilder().issuer_name(self.root.subject)
        builder = builder.last_update(time_from_now(-60)).next_update(time_from_now(3600))
        for cert in certs:
            revoked = x509.RevokedCertificateBuilder().serial_number(cert.serial_number)
            builder = builder.add_revoked_certificate(revoked.revocation_date(time_from_now(-1)).build())
        return builder.sign(self.key, hashes.SHA256()).public_bytes(DER)

    # ---- Files
    def write_bundle(self, path: Path) -> None:
        """Writes the trust bundle in PEM."""
        path.write_bytes(self.root.public_bytes(PEM))

    def write_svid(self, folder: Path, file: str, *uris: str, **faults: Any) -> Path:
        """Writes a new SVID to `file`.key and `file`.pem, each replaced atomically. Returns the latter."""
        certs, key = self.issue(*uris, **faults)
        for name, data in (
            (f"{file}.key", key.private_bytes(PEM, PKCS8, PLAIN)),
            (f"{file}.pem", b"".join(cert.public_bytes(PEM) for cert in certs)),
        ):
            (folder / f"{name}.new").write_bytes(data)
            (folder / f"{name}.new").rename(folder / name)
        return folder / f"{file}.pem"


def make_response(
    svids: Sequence[tuple[str, list[x509.Certificate], Any]], bundle: bytes, **more: Any
) -> Any:
    """Returns a message of the Workload API. `svids`: SPIFFE ID, certificates and key of each."""
    message = workload.X509SvidResponse(**more)
    for name, certs, key in svids:
        entry = message.svids.add()
        entry.spiffe_id = name
        entry.bundle = bundle
        entry.x509_svid = b"".join(cert.public_bytes(DER) for cert in certs)
        entry.x509_svid_key = key.private_bytes(DER, PKCS8, PLAIN)
    return message


def make_svid_response(
    authority: Authority, path: str = "/router", crls: Sequence[bytes] = (), **faults: Any
) -> Any:
    """Returns a message of the Workload API with one new SVID."""
    name = f"spiffe://{authority.name}{path}"
    certs, key = authority.issue(name, **faults)
    root_authority = authority.parent or authority
    return make_response([(name, certs, key)], root_authority.root.public_bytes(DER), crl=list(crls))


class FakeWorkloadApi(grpc.GenericRpcHandler):  # type: ignore[misc]
    """A Workload API on loopback that sends the latest published message to each new subscriber."""

    def __init__(self) -> None:
        self.call_count = 0
        self.headers = list[tuple[str, str]]()  # of the last call
        self.port = 0  # chosen at the first start, then kept
        self.latest: Any = None
        self.subscribers: set[asyncio.Queue[Any]] = set()
        self.server: Any = None

    async def start(self) -> None:
        """Starts to listen."""
        self.server = grpc.aio.server()
        self.server.add_generic_rpc_handlers((self,))
        self.port = self.server.add_insecure_port(f"127.0.0.1:{self.port}")
        await self.server.start()

    async def stop(self) -> None:
        """Stops at once; open streams are broken off."""
        await self.server.stop(0)

    def publish(self, message: Any) -> None:
        """Sends a message, or bytes that are none, to all present and later subscribers."""
        self.latest = message
        for queue in self.subscribers:
            queue.put_nowait(message)

    def break_streams(self) -> None:
        """Ends all open streams with an error."""
        for queue in self.subscribers:
            queue.put_nowait(None)

    def service(self, details: Any) -> Any:
        """Finds the handler of a call, for gRPC."""
        if details.method != workload.FETCH_METHOD:
            return None
        return grpc.unary_stream_rpc_method_handler(
            self._stream,
            request_deserializer=workload.X509SvidRequest.FromString,
            response_serializer=lambda message: (
                message if isinstance(message, bytes) else message.SerializeToString()
            ),
        )

    async def _stream(self, request: Any, context: Any) -> AsyncIterator[Any]:
        self.call_count += 1
        self.headers = list(context.invocation_metadata())
        queue: asyncio.Queue[Any] = asyncio.Queue()
        self.subscribers.add(queue)
        try:
            if self.latest is not None:
                yield self.latest
            while (message := await queue.get()) is not None:
                yield message
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the agent restarts")
        finally:
            self.subscribers.discard(queue)
