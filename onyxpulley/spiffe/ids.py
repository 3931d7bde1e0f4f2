"""SPIFFE IDs and trust domain names, read as strictly as the SPIFFE-ID specification words them."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_ID_BYTES = 2048  # bytes of an ID
TRUST_DOMAIN_NAME = re.compile(r"[a-z0-9._-]{1,255}")
PATH_SEGMENT = re.compile(r"[A-Za-z0-9._-]+")
SCHEME = "spiffe://"


class InvalidIdentity(Exception):
    """What cannot be used, in one line that names the field."""


@dataclass(frozen=True, slots=True, order=True)
class SpiffeId:
    trust_domain: str
    path: str = ""  # empty, or begins with a slash

    def __str__(self) -> str:
        return SCHEME + self.trust_domain + self.path


def read_trust_domain(text: str, label: str = "trust domain") -> str:
    """A name, with or without the scheme."""
    name = text.removeprefix(SCHEME)
    if not TRUST_DOMAIN_NAME.fullmatch(name):
        raise InvalidIdentity(f"{label}: no trust domain name: {text[:80]!r}")
    return name


def read_spiffe_id(text: str, label: str = "SPIFFE ID", workload: bool = True) -> SpiffeId:
    """`path`: that of a workload, which has one; else that of a trust domain, which has none."""
    if not text.startswith(SCHEME) or len(text.encode()) > MAX_ID_BYTES:
        raise InvalidIdentity(f"{label}: not a SPIFFE ID: {text[:80]!r}")
    domain, slash, rest = text.removeprefix(SCHEME).partition("/")
    read_trust_domain(domain, label)
    if workload != bool(slash):
        raise InvalidIdentity(f"{label}: a {'workload' if workload else 'trust domain'}'s ID has "
                          f"{'a' if workload else 'no'} path: {text[:80]!r}")  # fmt: skip
    for segment in rest.split("/") if slash else ():
        if not PATH_SEGMENT.fullmatch(segment) or segment in (".", ".."):
            raise InvalidIdentity(f"{label}: bad path segment {segment[:40]!r}")
    return SpiffeId(domain, slash + rest)
