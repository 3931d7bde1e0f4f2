"""X.509-SVIDs, trust bundles and revocation lists: read, checked, and matched with each other. No clock."""

from __future__ import annotations

import datetime
import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa
from cryptography.x509 import verification

from onyxpulley.spiffe.ids import BadIdentity, SpiffeId, read_id

Key = ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey | ed25519.Ed25519PrivateKey
CHAIN = 8  # certificates of a chain
ROOTS = 64  # of one trust domain
UNREADABLE = (
    ValueError,
    TypeError,
    x509.ExtensionNotFound,
    x509.DuplicateExtension,
    x509.UnsupportedGeneralNameType,
)


class Cause(Enum):
    """Why a peer was refused."""

    NO_SVID = "no svid"  # what it showed is none
    FOREIGN = "foreign trust domain"  # no bundle of its domain is held
    UNTRUSTED = "untrusted"  # its chain leads to no authority of its domain
    EARLY = "not yet valid"
    EXPIRED = "expired"
    REVOKED = "revoked"
    MISMATCH = "other identity"  # genuine, but not who was expected
    UNLISTED = "not listed"  # nobody is expected there, or the peer may not call
    OWN = "no own svid"  # this router has none in force
    HANDSHAKE = "handshake"  # TLS failed before it was known who it is


class Refused(Exception):
    def __init__(self, cause: Cause, detail: str = "") -> None:
        super().__init__(f"{cause.value}: {detail}" if detail else cause.value)
        self.cause = cause


def leaf_id(cert: x509.Certificate, what: str = "SVID") -> SpiffeId:
    """The one SPIFFE ID of a leaf. Raises BadIdentity on what the X509-SVID specification rules out."""
    try:
        names = cert.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        uris = names.get_values_for_type(x509.UniformResourceIdentifier)
        basic = [e.value for e in cert.extensions if isinstance(e.value, x509.BasicConstraints)]
        usage = [e.value for e in cert.extensions if isinstance(e.value, x509.KeyUsage)]
    except UNREADABLE as problem:
        raise BadIdentity(f"{what}: no readable names: {type(problem).__name__}") from problem
    if len(uris) != 1:
        raise BadIdentity(f"{what}: {len(uris)} URI names, an SVID has one")
    if any(value.ca for value in basic):
        raise BadIdentity(f"{what}: a signing certificate is no leaf")
    if not usage:
        raise BadIdentity(f"{what}: key usage is missing")
    if not usage[0].digital_signature or usage[0].key_cert_sign or usage[0].crl_sign:
        raise BadIdentity(f"{what}: key usage is not that of a leaf")
    return read_id(uris[0], f"{what}'s URI name")


@dataclass(frozen=True, slots=True)
class Chain:
    """What a peer shows: its leaf, then the intermediates."""

    certs: tuple[x509.Certificate, ...]
    id: SpiffeId

    @property
    def since(self) -> float:
        return self.certs[0].not_valid_before_utc.timestamp()

    @property
    def until(self) -> float:
        """The first end of any certificate in it."""
        return min(c.not_valid_after_utc.timestamp() for c in self.certs)


def read_chain(certs: Sequence[x509.Certificate], what: str = "SVID") -> Chain:
    if not certs:
        raise BadIdentity(f"{what}: no certificate")
    if len(certs) > CHAIN:
        raise BadIdentity(f"{what}: more than {CHAIN} certificates")
    return Chain(tuple(certs), leaf_id(certs[0], what))


@dataclass(frozen=True, slots=True)
class Svid:
    """This router's own identity."""

    chain: Chain
    key: Key = field(repr=False)
    hint: str = ""

    @property
    def id(self) -> SpiffeId:
        return self.chain.id


def public_bytes(key: Any) -> bytes:
    form = serialization.PublicFormat.SubjectPublicKeyInfo
    return bytes(key.public_bytes(serialization.Encoding.DER, form))


def read_svid(chain: Chain, key: object, what: str = "SVID", hint: str = "") -> Svid:
    """Raises BadIdentity where the key is not the leaf's, or of no kind that is used."""
    if not isinstance(key, Key):
        raise BadIdentity(f"{what}'s key: no EC, RSA or Ed25519 key")
    if public_bytes(key.public_key()) != public_bytes(chain.certs[0].public_key()):
        raise BadIdentity(f"{what}'s key: not that of its certificate")
    return Svid(chain, key, hint)


def der_chain(data: bytes, what: str) -> list[x509.Certificate]:
    """Certificates in DER, one behind the other, as the Workload API gives them."""
    found: list[x509.Certificate] = []
    at = 0
    try:
        while at < len(data):
            size = der_size(data, at)
            found.append(x509.load_der_x509_certificate(data[at : at + size]))
            at += size
    except (ValueError, IndexError) as problem:
        raise BadIdentity(f"{what}: certificate {len(found) + 1} cannot be read") from problem
    return found


def der_size(data: bytes, at: int) -> int:
    """Bytes of the DER sequence that begins there. Raises ValueError where it is none or not whole."""
    if data[at] != 0x30:
        raise ValueError("no sequence")
    first = data[at + 1]
    more = first & 0x7F if first & 0x80 else 0
    if more > 4 or first == 0x80:
        raise ValueError("bad length")
    size = 2 + more + (int.from_bytes(data[at + 2 : at + 2 + more], "big") if more else first)
    if at + size > len(data):
        raise ValueError("cut off")
    return size


@dataclass(frozen=True, slots=True)
class Bundle:
    """The authorities of one trust domain."""

    domain: str
    roots: tuple[x509.Certificate, ...]
    crls: tuple[x509.CertificateRevocationList, ...] = ()

    @property
    def mark(self) -> str:
        """The same for the same content, in whatever order."""
        form = serialization.Encoding.DER
        parts = sorted([c.public_bytes(form) for c in self.roots] + [c.public_bytes(form) for c in self.crls])
        return hashlib.sha256(b"".join(parts)).hexdigest()


def read_bundle(domain: str, roots: Sequence[x509.Certificate], what: str = "bundle") -> Bundle:
    """Raises BadIdentity on a certificate that is no authority of that domain."""
    if not roots:
        raise BadIdentity(f"{what} of {domain}: no authority")
    if len(roots) > ROOTS:
        raise BadIdentity(f"{what} of {domain}: more than {ROOTS} authorities")
    for no, cert in enumerate(roots, 1):
        try:
            basic = cert.extensions.get_extension_for_class(x509.BasicConstraints).value
            names = [
                uri
                for e in cert.extensions
                if isinstance(e.value, x509.SubjectAlternativeName)
                for uri in e.value.get_values_for_type(x509.UniformResourceIdentifier)
            ]
        except UNREADABLE as problem:
            raise BadIdentity(f"{what} of {domain}: authority {no}: {type(problem).__name__}") from problem
        if not basic.ca:
            raise BadIdentity(f"{what} of {domain}: authority {no} signs nothing (CA flag)")
        for name in names:
            if read_id(name, f"{what} of {domain}: authority {no}", path=False).domain != domain:
                raise BadIdentity(f"{what} of {domain}: authority {no} is of another trust domain")
    return Bundle(domain, tuple(roots))


def with_crls(bundle: Bundle, lists: Iterable[bytes], what: str = "crl") -> Bundle:
    """Those lists that an authority of the bundle signed; others say nothing of this domain."""
    found = []
    for no, der in enumerate(lists, 1):
        try:
            crl = x509.load_der_x509_crl(der)
        except ValueError as problem:
            raise BadIdentity(f"{what} {no}: cannot be read") from problem
        if any(signed(crl, root) for root in bundle.roots):
            found.append(crl)
    return Bundle(bundle.domain, bundle.roots, tuple(found))


def signed(crl: x509.CertificateRevocationList, root: x509.Certificate) -> bool:
    try:
        return crl.issuer == root.subject and crl.is_signature_valid(root.public_key())  # type: ignore[arg-type]
    except (TypeError, ValueError, InvalidSignature):
        return False


def _authority(
    policy: verification.Policy, cert: x509.Certificate, value: x509.BasicConstraints | None
) -> None:
    if value is None or not value.ca:
        raise ValueError("an intermediate without CA flag")


AUTHORITIES = verification.ExtensionPolicy.permit_all().require_present(
    x509.BasicConstraints, verification.Criticality.AGNOSTIC, _authority
)
LEAVES = verification.ExtensionPolicy.permit_all().require_present(
    x509.SubjectAlternativeName, verification.Criticality.AGNOSTIC, None
)


def verify(chain: Chain, bundle: Bundle | None, now: float, skew: float = 0.0) -> None:
    """Raises Refused unless an authority of the bundle vouches for the chain at that time. `skew`: seconds by
    which another clock may be ahead of this one; behind, nothing is given, since what is over is over."""
    if bundle is None or bundle.domain != chain.id.domain:
        raise Refused(Cause.FOREIGN, chain.id.domain)
    if now + skew < max(c.not_valid_before_utc.timestamp() for c in chain.certs):
        raise Refused(Cause.EARLY, str(chain.id))
    if now >= chain.until:
        raise Refused(Cause.EXPIRED, str(chain.id))
    at = max(now, *(c.not_valid_before_utc.timestamp() for c in chain.certs))
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    try:
        builder = verification.PolicyBuilder().store(verification.Store(list(bundle.roots))).time(moment)
        builder = builder.extension_policies(ca_policy=AUTHORITIES, ee_policy=LEAVES)
        builder.build_client_verifier().verify(chain.certs[0], list(chain.certs[1:]))
    except (verification.VerificationError, *UNREADABLE) as problem:
        raise Refused(Cause.UNTRUSTED, str(chain.id)) from problem
    for crl in bundle.crls:
        for cert in chain.certs:
            if cert.issuer == crl.issuer and crl.get_revoked_certificate_by_serial_number(cert.serial_number):
                raise Refused(Cause.REVOKED, f"{chain.id} by the authority's list")
