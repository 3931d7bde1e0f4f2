"""A stand-in issuer: trust domains, their SVIDs with any fault, and the agent that hands them out."""

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
    return datetime.datetime.now(datetime.UTC).replace(microsecond=0) + datetime.timedelta(seconds=seconds)


class Authority:
    """A trust domain's authority. Times are seconds from now."""

    def __init__(
        self, name: str = "letra.example", parent: Authority | None = None, uri: str | None = None
    ) -> None:
        self.name, self.parent = name, parent
        self.key = ec.generate_private_key(ec.SECP256R1())
        named = [f"spiffe://{name}"] if uri is None else [uri] if uri else []
        self.root = self.sign(self.key, named, ca=True)

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
        signer = self.parent if ca else self
        name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, f"{self.name} {id(self)}")])
        issuer = signer.root.subject if signer is not None else name
        subject = name if ca else x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "workload")])
        build = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(time_from_now(since))
            .not_valid_after(time_from_now(until))
        )
        if constraints:
            build = build.add_extension(x509.BasicConstraints(ca, None), True)
        if usage:
            flags = [not ca, False, False, False, False, ca, ca, False, False]
            build = build.add_extension(x509.KeyUsage(*flags), True)
        if uris:
            names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(u) for u in uris])
            build = build.add_extension(names, False)
        return build.sign(signer.key if signer is not None else key, hashes.SHA256())

    def issue(self, *uris: str, **faults: Any) -> tuple[list[x509.Certificate], Key]:
        key = ec.generate_private_key(ec.SECP256R1())
        between = [self.root] if self.parent is not None else []
        return [self.sign(key, uris, **faults), *between], key

    def chain(self, path: str, **faults: Any) -> Chain:
        return read_chain(self.issue(f"spiffe://{self.name}{path}", **faults)[0])

    def svid(self, path: str, **faults: Any) -> Svid:
        certs, key = self.issue(f"spiffe://{self.name}{path}", **faults)
        return read_svid(read_chain(certs), key)

    def bundle(self) -> Bundle:
        return read_bundle(self.name, [self.root])

    def crl(self, *certs: x509.Certificate) -> bytes:
        build = x509.CertificateRevocationListBuilder().issuer_name(self.root.subject)
        build = build.last_update(time_from_now(-60)).next_update(time_from_now(3600))
        for cert in certs:
            row = x509.RevokedCertificateBuilder().serial_number(cert.serial_number)
            build = build.add_revoked_certificate(row.revocation_date(time_from_now(-1)).build())
        return build.sign(self.key, hashes.SHA256()).public_bytes(DER)

    # ---- Files
    def write_bundle(self, path: Path) -> None:
        path.write_bytes(self.root.public_bytes(PEM))

    def write_svid(self, folder: Path, file: str, *uris: str, **faults: Any) -> Path:
        """`file`.key and `file`.pem, each put in place whole."""
        certs, key = self.issue(*uris, **faults)
        for name, data in (
            (f"{file}.key", key.private_bytes(PEM, PKCS8, PLAIN)),
            (f"{file}.pem", b"".join(c.public_bytes(PEM) for c in certs)),
        ):
            (folder / f"{name}.new").write_bytes(data)
            (folder / f"{name}.new").rename(folder / name)
        return folder / f"{file}.pem"


def make_response(
    svids: Sequence[tuple[str, list[x509.Certificate], Any]], bundle: bytes, **more: Any
) -> Any:
    """A message of the Workload API."""
    message = workload.X509SvidResponse(**more)
    for name, certs, key in svids:
        row = message.svids.add()
        row.spiffe_id, row.bundle = name, bundle
        row.x509_svid = b"".join(c.public_bytes(DER) for c in certs)
        row.x509_svid_key = key.private_bytes(DER, PKCS8, PLAIN)
    return message


def make_svid_response(
    domain: Authority, path: str = "/router", crls: Sequence[bytes] = (), **faults: Any
) -> Any:
    name = f"spiffe://{domain.name}{path}"
    certs, key = domain.issue(name, **faults)
    authority = domain.parent or domain
    return make_response([(name, certs, key)], authority.root.public_bytes(DER), crl=list(crls))


class FakeWorkloadApi(grpc.GenericRpcHandler):  # type: ignore[misc]
    """The Workload API on loopback. `tell` sends to whoever listens, and first thing to whoever comes."""

    def __init__(self) -> None:
        self.call_count, self.headers, self.port = 0, list[tuple[str, str]](), 0
        self.latest: Any = None
        self.subscribers: set[asyncio.Queue[Any]] = set()
        self.server: Any = None

    async def start(self) -> None:
        self.server = grpc.aio.server()
        self.server.add_generic_rpc_handlers((self,))
        self.port = self.server.add_insecure_port(f"127.0.0.1:{self.port}")
        await self.server.start()

    async def stop(self) -> None:
        await self.server.stop(0)

    def publish(self, message: Any) -> None:
        self.latest = message
        for queue in self.subscribers:
            queue.put_nowait(message)

    def break_streams(self) -> None:
        for queue in self.subscribers:
            queue.put_nowait(None)

    def service(self, details: Any) -> Any:
        if details.method != workload.FETCH_METHOD:
            return None
        return grpc.unary_stream_rpc_method_handler(
            self._stream,
            request_deserializer=workload.X509SvidRequest.FromString,
            response_serializer=lambda m: m if isinstance(m, bytes) else m.SerializeToString(),
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
