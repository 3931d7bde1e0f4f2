"""Reads the router's identity and the expected identities of servers from files, and notices changes."""

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

MAX_FILE_BYTES = 4_000_000


def read_file(path: Path, label: str) -> bytes:
    """Returns the contents of a file. `label` names the setting in errors. Raises InvalidIdentity."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise InvalidIdentity(f"{label}: {path.name}: {error.strerror}") from error
    if len(data) > MAX_FILE_BYTES:
        raise InvalidIdentity(f"{label}: {path.name}: larger than {MAX_FILE_BYTES} bytes")
    return data


def read_certificates(path: Path, label: str) -> list[x509.Certificate]:
    """Returns the PEM certificates of a file. Raises InvalidIdentity."""
    try:
        return x509.load_pem_x509_certificates(read_file(path, label))
    except ValueError as error:
        raise InvalidIdentity(f"{label}: {path.name}: contains no valid PEM certificates") from error


class FileChangeDetector:
    """A call returns whether any of the files has changed since the previous call.

    Files are compared by modification time, size and inode; a missing one counts as a state of its own.
    """

    def __init__(self, paths: Sequence[Path]) -> None:
        self.paths = paths
        self.last_state = self._state()

    def _state(self) -> list[object]:
        state: list[object] = []
        for path in self.paths:
            try:
                stat = path.stat()
                state.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
            except OSError:
                state.append(None)
        return state

    def __call__(self) -> bool:
        state = self._state()
        if state == self.last_state:
            return False
        self.last_state = state
        return True


@dataclass(frozen=True, slots=True)
class IdentityFiles:
    """The paths of an SVID, its private key and the trust bundles, all in PEM."""

    certificate: Path
    key: Path
    bundle: Path
    trust_domain: str
    federated: Mapping[str, Path] = field(default_factory=dict)  # bundles of other trust domains

    @property
    def paths(self) -> list[Path]:
        """All files."""
        return [self.certificate, self.key, self.bundle, *self.federated.values()]

    def load(self) -> IdentityUpdate:
        """Reads all files. Raises InvalidIdentity."""
        chain = read_chain(read_certificates(self.certificate, "certificate"), "certificate")
        try:
            key = serialization.load_pem_private_key(read_file(self.key, "key"), None)
        except (ValueError, TypeError) as error:
            raise InvalidIdentity(f"key: {self.key.name}: not an unencrypted PEM private key") from error
        svid = read_svid(chain, key, "certificate")
        bundles = {self.trust_domain: self._bundle(self.trust_domain, self.bundle)}
        for trust_domain, path in self.federated.items():
            bundles[trust_domain] = self._bundle(trust_domain, path)
        return IdentityUpdate((svid,), bundles)

    @staticmethod
    def _bundle(trust_domain: str, path: Path) -> Bundle:
        return read_bundle(trust_domain, read_certificates(path, "bundle"))


def read_table(path: Path, label: str) -> dict[str, Any]:
    """Returns the contents of a TOML file. Raises InvalidIdentity."""
    try:
        return tomllib.loads(read_file(path, label).decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidIdentity(f"{label}: {path.name}: not valid TOML: {error}") from error


def read_entries(template: str, path: Path | None) -> ExpectedIdentities:
    """Reads the operator's list of servers; without a file the template applies to all servers.

    `[boxes]` maps the id of each expected server to its identity, or to "" where the template gives it;
    `revoked` lists identities that are no longer accepted. Raises InvalidIdentity.
    """
    if path is None:
        return ExpectedIdentities(template)
    table = read_table(path, "entries")
    unknown = set(table) - {"boxes", "revoked"}
    if unknown:
        raise InvalidIdentity(f"entries: {path.name}: unknown key {sorted(unknown)[0]!r}")
    boxes, revoked = table.get("boxes", {}), table.get("revoked", [])
    if not isinstance(boxes, dict) or not isinstance(revoked, list):
        raise InvalidIdentity(f"entries: {path.name}: boxes must be a table and revoked a list")
    by_server = {}
    for uid, text in boxes.items():
        if not isinstance(text, str) or (not text and not template):
            raise InvalidIdentity(f"entries: {path.name}: boxes.{uid} must be a SPIFFE ID: {text!r}")
        if text:
            by_server[uid] = read_spiffe_id(text, f"entries: boxes.{uid}")
    revoked_ids = frozenset(
        read_spiffe_id(str(text), f"entries: revoked {number}") for number, text in enumerate(revoked, 1)
    )
    return ExpectedIdentities(template, by_server, frozenset(boxes), revoked_ids)
