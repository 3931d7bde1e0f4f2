"""SPIFFE IDs and trust domain names, read as strictly as the SPIFFE-ID specification words them."""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST = 2048  # bytes of an ID
DOMAIN = re.compile(r"[a-z0-9._-]{1,255}")
SEGMENT = re.compile(r"[A-Za-z0-9._-]+")
SCHEME = "spiffe://"


class BadIdentity(Exception):
    """What cannot be used, in one line that names the field."""


@dataclass(frozen=True, slots=True, order=True)
class SpiffeId:
    domain: str
    path: str = ""  # empty, or begins with a slash

    def __str__(self) -> str:
        return SCHEME + self.domain + self.path


def read_domain(text: str, what: str = "trust domain") -> str:
    """A name, with or without the scheme."""
    name = text.removeprefix(SCHEME)
    if not DOMAIN.fullmatch(name):
        raise BadIdentity(f"{what}: no trust domain name: {text[:80]!r}")
    return name


def read_id(text: str, what: str = "SPIFFE ID", path: bool = True) -> SpiffeId:
    """`path`: that of a workload, which has one; else that of a trust domain, which has none."""
    if not text.startswith(SCHEME) or len(text.encode()) > MOST:
        raise BadIdentity(f"{what}: not a SPIFFE ID: {text[:80]!r}")
    domain, slash, rest = text.removeprefix(SCHEME).partition("/")
    read_domain(domain, what)
    if path != bool(slash):
        raise BadIdentity(f"{what}: a {'workload' if path else 'trust domain'}'s ID has "
                          f"{'a' if path else 'no'} path: {text[:80]!r}")  # fmt: skip
    for segment in rest.split("/") if slash else ():
        if not SEGMENT.fullmatch(segment) or segment in (".", ".."):
            raise BadIdentity(f"{what}: bad path segment {segment[:40]!r}")
    return SpiffeId(domain, slash + rest)
