"""Identities and expectations from files: read whole when they change, kept as they were when bad."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import serialization

from onyxpulley.spiffe.ids import InvalidIdentity, read_spiffe_id
from onyxpulley.spiffe.peers import ExpectedIdentities
from onyxpulley.spiffe.store import IdentityUpdate
from onyxpulley.spiffe.svids import Bundle, read_bundle, read_chain, read_svid

MAX_FILE_BYTES = 4_000_000  # bytes of one file


def read_file(path: Path, label: str) -> bytes:
    try:
        data = path.read_bytes()
    except OSError as problem:
        raise InvalidIdentity(f"{label}: {path.name}: {problem.strerror}") from problem
    if len(data) > MAX_FILE_BYTES:
        raise InvalidIdentity(f"{label}: {path.name}: larger than {MAX_FILE_BYTES} bytes")
    return data


def read_certificates(path: Path, label: str) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(read_file(path, label))
    except ValueError as problem:
        raise InvalidIdentity(f"{label}: {path.name}: no PEM certificates") from problem


class FileChangeDetector:
    """Whether any of some files is another one than at the last look."""

    def __init__(self, paths: Sequence[Path]) -> None:
        self.paths = paths
        self.last_state = self._stamp()

    def _stamp(self) -> list[object]:
        found: list[object] = []
        for path in self.paths:
            try:
                stat = path.stat()
                found.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
            except OSError:
                found.append(None)
        return found

    def __call__(self) -> bool:
        stamp = self._stamp()
        if stamp == self.last_state:
            return False
        self.last_state = stamp
        return True


@dataclass(frozen=True, slots=True)
class IdentityFiles:
    """An SVID, its key, and bundles in PEM."""

    certificate: Path
    key: Path
    bundle: Path
    trust_domain: str
    federated: Mapping[str, Path] = field(default_factory=dict)

    @property
    def paths(self) -> list[Path]:
        return [self.certificate, self.key, self.bundle, *self.federated.values()]

    def load(self) -> IdentityUpdate:
        """Raises InvalidIdentity."""
        chain = read_chain(read_certificates(self.certificate, "certificate"), "certificate")
        try:
            key = serialization.load_pem_private_key(read_file(self.key, "key"), None)
        except (ValueError, TypeError) as problem:
            raise InvalidIdentity(f"key: {self.key.name}: no PEM private key") from problem
        svid = read_svid(chain, key, "certificate")
        bundles = {self.trust_domain: self._bundle(self.trust_domain, self.bundle)}
        for domain, path in self.federated.items():
            bundles[domain] = self._bundle(domain, path)
        return IdentityUpdate((svid,), bundles)

    @staticmethod
    def _bundle(domain: str, path: Path) -> Bundle:
        return read_bundle(domain, read_certificates(path, "bundle"))


def read_table(path: Path, label: str) -> dict[str, Any]:
    try:
        return tomllib.loads(read_file(path, label).decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise InvalidIdentity(f"{label}: {path.name}: no TOML: {problem}") from problem


def read_entries(template: str, path: Path | None) -> ExpectedIdentities:
    """The operator's list of boxes: `[boxes]` has the id of each that is expected at all, and its identity
    where the template does not tell it; `revoked` names identities that nobody may have any more."""
    if path is None:
        return ExpectedIdentities(template)
    table = read_table(path, "entries")
    unknown = set(table) - {"boxes", "revoked"}
    if unknown:
        raise InvalidIdentity(f"entries: {path.name}: unknown key {sorted(unknown)[0]!r}")
    boxes, revoked = table.get("boxes", {}), table.get("revoked", [])
    if not isinstance(boxes, dict) or not isinstance(revoked, list):
        raise InvalidIdentity(f"entries: {path.name}: boxes is a table, revoked a list")
    named = {}
    for uid, text in boxes.items():
        if not isinstance(text, str) or (not text and not template):
            raise InvalidIdentity(f"entries: {path.name}: boxes.{uid} names no SPIFFE ID")
        if text:
            named[uid] = read_spiffe_id(text, f"entries: boxes.{uid}")
    gone = frozenset(
        read_spiffe_id(str(text), f"entries: revoked {no}") for no, text in enumerate(revoked, 1)
    )
    return ExpectedIdentities(template, named, frozenset(boxes), gone)
