"""SPIFFE IDs and trust domain names, read as strictly as the SPIFFE-ID specification defines them."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_ID_BYTES = 2048
TRUST_DOMAIN_NAME = re.compile(r"[a-z0-9._-]{1,255}")
PATH_SEGMENT = re.compile(r"[A-Za-z0-9._-]+")
SCHEME = "spiffe://"


class InvalidIdentity(Exception):
    """An identity, bundle or message that cannot be used; the message names the field, on one line."""


@dataclass(frozen=True, slots=True, order=True)
class SpiffeId:
    """The SPIFFE ID of a workload, or of a trust domain if the path is empty."""

    trust_domain: str
    path: str = ""  # empty, or starts with a slash

    def __str__(self) -> str:
        return SCHEME + self.trust_domain + self.path


def read_trust_domain(text: str, label: str = "trust domain") -> str:
    """Returns a trust domain's name, given with or without the scheme. `label` names the field in errors.

    Raises InvalidIdentity.
    """
    name = text.removeprefix(SCHEME)
    if not TRUST_DOMAIN_NAME.fullmatch(name):
        raise InvalidIdentity(f"{label}: not a trust domain name: {text[:80]!r}")
    return name


def read_spiffe_id(text: str, label: str = "SPIFFE ID", workload: bool = True) -> SpiffeId:
    """Reads the SPIFFE ID of a workload, which has a path, or of a trust domain, which has none.

    `label` names the field in errors. Raises InvalidIdentity.
    """
    if not text.startswith(SCHEME) or len(text.encode()) > MAX_ID_BYTES:
        raise InvalidIdentity(f"{label}: not a SPIFFE ID: {text[:80]!r}")
    trust_domain, slash, rest = text.removeprefix(SCHEME).partition("/")
    read_trust_domain(trust_domain, label)
    if workload != bool(slash):
        raise InvalidIdentity(
            f"{label}: a {'workload' if workload else 'trust domain'}'s ID has "
            f"{'a' if workload else 'no'} path: {text[:80]!r}"
        )
    for segment in rest.split("/") if slash else ():
        if not PATH_SEGMENT.fullmatch(segment) or segment in (".", ".."):
            raise InvalidIdentity(f"{label}: bad path segment {segment[:40]!r}")
    return SpiffeId(trust_domain, slash + rest)
