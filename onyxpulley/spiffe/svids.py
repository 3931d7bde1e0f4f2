"""Reads X.509-SVIDs, trust bundles and revocation lists, and verifies SVIDs with them. No I/O, no clock."""

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
MAX_CHAIN_LENGTH = 8  # certificates
MAX_AUTHORITIES = 64  # per trust domain
# What the library raises for certificates that it cannot read or that are malformed.
PARSE_ERRORS = (
    ValueError,
    TypeError,
    x509.ExtensionNotFound,
    x509.DuplicateExtension,
    x509.UnsupportedGeneralNameType,
)


class RefusalCause(Enum):
    """Why a peer was refused."""

    NO_SVID = "no svid"  # its certificate is not an SVID
    FOREIGN_DOMAIN = "foreign trust domain"  # there is no bundle for its trust domain
    UNTRUSTED = "untrusted"  # its chain leads to no authority of its trust domain
    NOT_YET_VALID = "not yet valid"
    EXPIRED = "expired"
    REVOKED = "revoked"
    OTHER_IDENTITY = "other identity"  # valid, but not the expected one
    NOT_LISTED = "not listed"  # no such server is expected, or the caller is not allowed
    NO_OWN_SVID = "no own svid"  # the router itself has no valid SVID
    HANDSHAKE = "handshake"  # TLS failed before the peer's identity was known


class PeerRefused(Exception):
    """A peer that the router does not communicate with."""

    def __init__(self, cause: RefusalCause, detail: str = "") -> None:
        super().__init__(f"{cause.value}: {detail}" if detail else cause.value)
        self.cause = cause


def leaf_spiffe_id(cert: x509.Certificate, label: str = "SVID") -> SpiffeId:
    """Returns the SPIFFE ID of a leaf certificate. `label` names the certificate in errors.

    Raises InvalidIdentity unless the certificate is a leaf according to the X509-SVID specification.
    """
    try:
        names = cert.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        uris = names.get_values_for_type(x509.UniformResourceIdentifier)
        constraints = [e.value for e in cert.extensions if isinstance(e.value, x509.BasicConstraints)]
        usage = [e.value for e in cert.extensions if isinstance(e.value, x509.KeyUsage)]
    except PARSE_ERRORS as error:
        raise InvalidIdentity(f"{label}: no readable names: {type(error).__name__}") from error
    if len(uris) != 1:
        raise InvalidIdentity(f"{label}: has {len(uris)} URI names instead of one")
    if any(value.ca for value in constraints):
        raise InvalidIdentity(f"{label}: is a CA certificate, not a leaf")
    if not usage:
        raise InvalidIdentity(f"{label}: key usage is missing")
    if not usage[0].digital_signature or usage[0].key_cert_sign or usage[0].crl_sign:
        raise InvalidIdentity(f"{label}: key usage is not that of a leaf")
    return read_spiffe_id(uris[0], f"{label}'s URI name")


@dataclass(frozen=True, slots=True)
class Chain:
    """A certificate chain: the leaf, followed by the intermediates."""

    certs: tuple[x509.Certificate, ...]
    id: SpiffeId

    @property
    def not_before(self) -> float:
        """When the leaf becomes valid, in Unix seconds."""
        return self.certs[0].not_valid_before_utc.timestamp()

    @property
    def not_after(self) -> float:
        """When the first certificate of the chain expires, in Unix seconds."""
        return min(cert.not_valid_after_utc.timestamp() for cert in self.certs)


def read_chain(certs: Sequence[x509.Certificate], label: str = "SVID") -> Chain:
    """Returns the chain of a leaf and its intermediates. Raises InvalidIdentity."""
    if not certs:
        raise InvalidIdentity(f"{label}: no certificate")
    if len(certs) > MAX_CHAIN_LENGTH:
        raise InvalidIdentity(f"{label}: more than {MAX_CHAIN_LENGTH} certificates")
    return Chain(tuple(certs), leaf_spiffe_id(certs[0], label))


@dataclass(frozen=True, slots=True)
class Svid:
    """An SVID with its private key, as the router itself uses it."""

    chain: Chain
    key: PrivateKey = field(repr=False)
    hint: str = ""  # by which the Workload API tells several SVIDs apart

    @property
    def id(self) -> SpiffeId:
        """The SPIFFE ID."""
        return self.chain.id


def public_key_bytes(key: Any) -> bytes:
    """Returns the DER encoding of a public key."""
    key_format = serialization.PublicFormat.SubjectPublicKeyInfo
    return bytes(key.public_bytes(serialization.Encoding.DER, key_format))


def read_svid(chain: Chain, key: object, label: str = "SVID", hint: str = "") -> Svid:
    """Returns an SVID. Raises InvalidIdentity if the key is not the leaf's or of an unsupported type."""
    if not isinstance(key, PrivateKey):
        raise InvalidIdentity(f"{label}'s key: not an EC, RSA or Ed25519 key: {type(key).__name__}")
    if public_key_bytes(key.public_key()) != public_key_bytes(chain.certs[0].public_key()):
        raise InvalidIdentity(f"{label}'s key: does not match its certificate")
    return Svid(chain, key, hint)


def read_der_certificates(data: bytes, label: str) -> list[x509.Certificate]:
    """Returns the concatenated DER certificates of a field of the Workload API. Raises InvalidIdentity."""
    certs: list[x509.Certificate] = []
    offset = 0
    try:
        while offset < len(data):
            size = der_sequence_size(data, offset)
            certs.append(x509.load_der_x509_certificate(data[offset : offset + size]))
            offset += size
    except (ValueError, IndexError) as error:
        raise InvalidIdentity(f"{label}: certificate {len(certs) + 1} cannot be read") from error
    return certs


def der_sequence_size(data: bytes, offset: int) -> int:
    """Returns the size in bytes, with its header, of the DER sequence that starts at `offset`.

    Raises ValueError or IndexError if there is no complete sequence.
    """
    if data[offset] != 0x30:
        raise ValueError("not a DER sequence")
    first = data[offset + 1]  # the length, or the number of bytes that hold it
    length_bytes = first & 0x7F if first & 0x80 else 0
    if length_bytes > 4 or first == 0x80:
        raise ValueError(f"DER length not supported: {first:#x}")
    length = int.from_bytes(data[offset + 2 : offset + 2 + length_bytes], "big") if length_bytes else first
    size = 2 + length_bytes + length
    if offset + size > len(data):
        raise ValueError("DER sequence is truncated")
    return size


@dataclass(frozen=True, slots=True)
class Bundle:
    """The authorities of one trust domain and their revocation lists."""

    trust_domain: str
    authorities: tuple[x509.Certificate, ...]
    crls: tuple[x509.CertificateRevocationList, ...] = ()

    @property
    def fingerprint(self) -> str:
        """A hash of the contents, whatever their order."""
        encoding = serialization.Encoding.DER
        parts = sorted(
            [cert.public_bytes(encoding) for cert in self.authorities]
            + [crl.public_bytes(encoding) for crl in self.crls]
        )
        return hashlib.sha256(b"".join(parts)).hexdigest()


def read_bundle(trust_domain: str, authorities: Sequence[x509.Certificate], label: str = "bundle") -> Bundle:
    """Returns a bundle without CRLs.

    Raises InvalidIdentity if a certificate is not an authority of the trust domain.
    """
    if not authorities:
        raise InvalidIdentity(f"{label} of {trust_domain}: no authority")
    if len(authorities) > MAX_AUTHORITIES:
        raise InvalidIdentity(f"{label} of {trust_domain}: more than {MAX_AUTHORITIES} authorities")
    for number, cert in enumerate(authorities, 1):
        authority = f"{label} of {trust_domain}: authority {number}"
        try:
            constraints = cert.extensions.get_extension_for_class(x509.BasicConstraints).value
            names = [
                uri
                for e in cert.extensions
                if isinstance(e.value, x509.SubjectAlternativeName)
                for uri in e.value.get_values_for_type(x509.UniformResourceIdentifier)
            ]
        except PARSE_ERRORS as error:
            raise InvalidIdentity(f"{authority}: {type(error).__name__}") from error
        if not constraints.ca:
            raise InvalidIdentity(f"{authority}: has no CA flag")
        for name in names:
            if read_spiffe_id(name, authority, workload=False).trust_domain != trust_domain:
                raise InvalidIdentity(f"{authority}: is of another trust domain: {name[:80]!r}")
    return Bundle(trust_domain, tuple(authorities))


def with_crls(bundle: Bundle, lists: Iterable[bytes], label: str = "crl") -> Bundle:
    """Returns the bundle with those DER revocation lists that one of its authorities has signed.

    Lists of other authorities do not apply to the trust domain. Raises InvalidIdentity for a malformed list.
    """
    crls = []
    for number, der in enumerate(lists, 1):
        try:
            crl = x509.load_der_x509_crl(der)
        except ValueError as error:
            raise InvalidIdentity(f"{label} {number}: cannot be read") from error
        if any(is_signed_by(crl, authority) for authority in bundle.authorities):
            crls.append(crl)
    return Bundle(bundle.trust_domain, bundle.authorities, tuple(crls))


def is_signed_by(crl: x509.CertificateRevocationList, authority: x509.Certificate) -> bool:
    """Whether an authority issued a revocation list and its signature is valid."""
    try:
        return crl.issuer == authority.subject and crl.is_signature_valid(authority.public_key())  # type: ignore[arg-type]
    except (TypeError, ValueError, InvalidSignature):
        return False


def _require_ca(
    policy: verification.Policy, cert: x509.Certificate, value: x509.BasicConstraints | None
) -> None:
    if value is None or not value.ca:
        raise ValueError("an intermediate certificate without CA flag")


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
    if now + skew < max(cert.not_valid_before_utc.timestamp() for cert in chain.certs):
        raise PeerRefused(RefusalCause.NOT_YET_VALID, str(chain.id))
    if now >= chain.not_after:
        raise PeerRefused(RefusalCause.EXPIRED, str(chain.id))
    # The library knows no skew: a chain that is valid only within the skew is verified as of its start.
    at = max(now, *(cert.not_valid_before_utc.timestamp() for cert in chain.certs))
    time = datetime.datetime.fromtimestamp(at, datetime.UTC)
    try:
        builder = verification.PolicyBuilder().store(verification.Store(list(bundle.authorities))).time(time)
        builder = builder.extension_policies(ca_policy=CA_POLICY, ee_policy=LEAF_POLICY)
        builder.build_client_verifier().verify(chain.certs[0], list(chain.certs[1:]))
    except (verification.VerificationError, *PARSE_ERRORS) as error:
        raise PeerRefused(RefusalCause.UNTRUSTED, str(chain.id)) from error
    for crl in bundle.crls:
        for cert in chain.certs:
            if cert.issuer == crl.issuer and crl.get_revoked_certificate_by_serial_number(cert.serial_number):
                raise PeerRefused(RefusalCause.REVOKED, f"{chain.id} by its authority's revocation list")
