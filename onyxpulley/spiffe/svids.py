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

from onyxpulley.spiffe.ids import InvalidIdentity, SpiffeId, read_spiffe_id

PrivateKey = ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey | ed25519.Ed25519PrivateKey
MAX_CHAIN_LENGTH = 8  # certificates of a chain
MAX_AUTHORITIES = 64  # of one trust domain
PARSE_ERRORS = (
    ValueError,
    TypeError,
    x509.ExtensionNotFound,
    x509.DuplicateExtension,
    x509.UnsupportedGeneralNameType,
)


class RefusalCause(Enum):
    """Why a peer was refused."""

    NO_SVID = "no svid"  # what it showed is none
    FOREIGN_DOMAIN = "foreign trust domain"  # no bundle of its domain is held
    UNTRUSTED = "untrusted"  # its chain leads to no authority of its domain
    NOT_YET_VALID = "not yet valid"
    EXPIRED = "expired"
    REVOKED = "revoked"
    OTHER_IDENTITY = "other identity"  # genuine, but not who was expected
    NOT_LISTED = "not listed"  # nobody is expected there, or the peer may not call
    NO_OWN_SVID = "no own svid"  # this router has none in force
    HANDSHAKE = "handshake"  # TLS failed before it was known who it is


class PeerRefused(Exception):
    def __init__(self, cause: RefusalCause, detail: str = "") -> None:
        super().__init__(f"{cause.value}: {detail}" if detail else cause.value)
        self.cause = cause


def leaf_spiffe_id(cert: x509.Certificate, label: str = "SVID") -> SpiffeId:
    """The one SPIFFE ID of a leaf. Raises InvalidIdentity on what the X509-SVID specification rules out."""
    try:
        names = cert.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        uris = names.get_values_for_type(x509.UniformResourceIdentifier)
        basic = [e.value for e in cert.extensions if isinstance(e.value, x509.BasicConstraints)]
        usage = [e.value for e in cert.extensions if isinstance(e.value, x509.KeyUsage)]
    except PARSE_ERRORS as problem:
        raise InvalidIdentity(f"{label}: no readable names: {type(problem).__name__}") from problem
    if len(uris) != 1:
        raise InvalidIdentity(f"{label}: {len(uris)} URI names, an SVID has one")
    if any(value.ca for value in basic):
        raise InvalidIdentity(f"{label}: a signing certificate is no leaf")
    if not usage:
        raise InvalidIdentity(f"{label}: key usage is missing")
    if not usage[0].digital_signature or usage[0].key_cert_sign or usage[0].crl_sign:
        raise InvalidIdentity(f"{label}: key usage is not that of a leaf")
    return read_spiffe_id(uris[0], f"{label}'s URI name")


@dataclass(frozen=True, slots=True)
class Chain:
    """What a peer shows: its leaf, then the intermediates."""

    certs: tuple[x509.Certificate, ...]
    id: SpiffeId

    @property
    def not_before(self) -> float:
        return self.certs[0].not_valid_before_utc.timestamp()

    @property
    def not_after(self) -> float:
        """The first end of any certificate in it."""
        return min(c.not_valid_after_utc.timestamp() for c in self.certs)


def read_chain(certs: Sequence[x509.Certificate], label: str = "SVID") -> Chain:
    if not certs:
        raise InvalidIdentity(f"{label}: no certificate")
    if len(certs) > MAX_CHAIN_LENGTH:
        raise InvalidIdentity(f"{label}: more than {MAX_CHAIN_LENGTH} certificates")
    return Chain(tuple(certs), leaf_spiffe_id(certs[0], label))


@dataclass(frozen=True, slots=True)
class Svid:
    """This router's own identity."""

    chain: Chain
    key: PrivateKey = field(repr=False)
    hint: str = ""

    @property
    def id(self) -> SpiffeId:
        return self.chain.id


def public_key_bytes(key: Any) -> bytes:
    form = serialization.PublicFormat.SubjectPublicKeyInfo
    return bytes(key.public_bytes(serialization.Encoding.DER, form))


def read_svid(chain: Chain, key: object, label: str = "SVID", hint: str = "") -> Svid:
    """Raises InvalidIdentity where the key is not the leaf's, or of no kind that is used."""
    if not isinstance(key, PrivateKey):
        raise InvalidIdentity(f"{label}'s key: no EC, RSA or Ed25519 key")
    if public_key_bytes(key.public_key()) != public_key_bytes(chain.certs[0].public_key()):
        raise InvalidIdentity(f"{label}'s key: not that of its certificate")
    return Svid(chain, key, hint)


def read_der_certificates(data: bytes, label: str) -> list[x509.Certificate]:
    """Certificates in DER, one behind the other, as the Workload API gives them."""
    found: list[x509.Certificate] = []
    at = 0
    try:
        while at < len(data):
            size = der_sequence_size(data, at)
            found.append(x509.load_der_x509_certificate(data[at : at + size]))
            at += size
    except (ValueError, IndexError) as problem:
        raise InvalidIdentity(f"{label}: certificate {len(found) + 1} cannot be read") from problem
    return found


def der_sequence_size(data: bytes, at: int) -> int:
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

    trust_domain: str
    authorities: tuple[x509.Certificate, ...]
    crls: tuple[x509.CertificateRevocationList, ...] = ()

    @property
    def fingerprint(self) -> str:
        """The same for the same content, in whatever order."""
        form = serialization.Encoding.DER
        parts = sorted(
            [c.public_bytes(form) for c in self.authorities] + [c.public_bytes(form) for c in self.crls]
        )
        return hashlib.sha256(b"".join(parts)).hexdigest()


def read_bundle(domain: str, authorities: Sequence[x509.Certificate], label: str = "bundle") -> Bundle:
    """Raises InvalidIdentity on a certificate that is no authority of that domain."""
    if not authorities:
        raise InvalidIdentity(f"{label} of {domain}: no authority")
    if len(authorities) > MAX_AUTHORITIES:
        raise InvalidIdentity(f"{label} of {domain}: more than {MAX_AUTHORITIES} authorities")
    for no, cert in enumerate(authorities, 1):
        try:
            basic = cert.extensions.get_extension_for_class(x509.BasicConstraints).value
            names = [
                uri
                for e in cert.extensions
                if isinstance(e.value, x509.SubjectAlternativeName)
                for uri in e.value.get_values_for_type(x509.UniformResourceIdentifier)
            ]
        except PARSE_ERRORS as problem:
            raise InvalidIdentity(
                f"{label} of {domain}: authority {no}: {type(problem).__name__}"
            ) from problem
        if not basic.ca:
            raise InvalidIdentity(f"{label} of {domain}: authority {no} signs nothing (CA flag)")
        for name in names:
            if (
                read_spiffe_id(name, f"{label} of {domain}: authority {no}", workload=False).trust_domain
                != domain
            ):
                raise InvalidIdentity(f"{label} of {domain}: authority {no} is of another trust domain")
    return Bundle(domain, tuple(authorities))


def with_crls(bundle: Bundle, lists: Iterable[bytes], label: str = "crl") -> Bundle:
    """Those lists that an authority of the bundle signed; others say nothing of this domain."""
    found = []
    for no, der in enumerate(lists, 1):
        try:
            crl = x509.load_der_x509_crl(der)
        except ValueError as problem:
            raise InvalidIdentity(f"{label} {no}: cannot be read") from problem
        if any(is_signed_by(crl, root) for root in bundle.authorities):
            found.append(crl)
    return Bundle(bundle.trust_domain, bundle.authorities, tuple(found))


def is_signed_by(crl: x509.CertificateRevocationList, root: x509.Certificate) -> bool:
    try:
        return crl.issuer == root.subject and crl.is_signature_valid(root.public_key())  # type: ignore[arg-type]
    except (TypeError, ValueError, InvalidSignature):
        return False


def _require_ca(
    policy: verification.Policy, cert: x509.Certificate, value: x509.BasicConstraints | None
) -> None:
    if value is None or not value.ca:
        raise ValueError("an intermediate without CA flag")


CA_POLICY = verification.ExtensionPolicy.permit_all().require_present(
    x509.BasicConstraints, verification.Criticality.AGNOSTIC, _require_ca
)
LEAF_POLICY = verification.ExtensionPolicy.permit_all().require_present(
    x509.SubjectAlternativeName, verification.Criticality.AGNOSTIC, None
)


def verify_chain(chain: Chain, bundle: Bundle | None, now: float, skew: float = 0.0) -> None:
    """Raises PeerRefused unless an authority of the bundle vouches for the chain at time `now`.

    `skew` is the number of seconds by which the issuer's clock may be ahead of this one. A clock that is
    behind gets no tolerance: an expired certificate is never accepted.
    """
    if bundle is None or bundle.trust_domain != chain.id.trust_domain:
        raise PeerRefused(RefusalCause.FOREIGN_DOMAIN, chain.id.trust_domain)
    if now + skew < max(c.not_valid_before_utc.timestamp() for c in chain.certs):
        raise PeerRefused(RefusalCause.NOT_YET_VALID, str(chain.id))
    if now >= chain.not_after:
        raise PeerRefused(RefusalCause.EXPIRED, str(chain.id))
    at = max(now, *(c.not_valid_before_utc.timestamp() for c in chain.certs))
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    try:
        builder = (
            verification.PolicyBuilder().store(verification.Store(list(bundle.authorities))).time(moment)
        )
        builder = builder.extension_policies(ca_policy=CA_POLICY, ee_policy=LEAF_POLICY)
        builder.build_client_verifier().verify(chain.certs[0], list(chain.certs[1:]))
    except (verification.VerificationError, *PARSE_ERRORS) as problem:
        raise PeerRefused(RefusalCause.UNTRUSTED, str(chain.id)) from problem
    for crl in bundle.crls:
        for cert in chain.certs:
            if cert.issuer == crl.issuer and crl.get_revoked_certificate_by_serial_number(cert.serial_number):
                raise PeerRefused(RefusalCause.REVOKED, f"{chain.id} by the authority's list")
