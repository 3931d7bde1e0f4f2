"""Tenants, their keys and quotas, and the check of signed URLs (RFC 9246) and bearer tokens (RFC 7519).

Nothing here writes a token or a key anywhere: problems are worded without them.
"""

from __future__ import annotations

import hashlib
import re
from base64 import urlsafe_b64encode
from dataclasses import dataclass, field
from typing import Any

import re2
from joserfc import jws, jwt
from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey, OKPKey, RSAKey, import_key

from onyxpulley.clock import unix_seconds

ALGORITHMS = {  # the only ones: each is pinned to a kind of key, so none can stand in for another
    "HS256": ("oct", 32),
    "ES256": ("EC", 0),
    "RS256": ("RSA", 2048),
    "EdDSA": ("OKP", 0),
}
NONCES = 10_000  # of one tenant
KEYS = 16  # of one tenant
TENANTS = 1_000
TOKEN = 4_096  # characters of a token
PATTERN = 512  # characters of a regex container
CLAIMS = "iss sub aud exp nbf iat jti cdniv cdnicrit cdniip cdniuc cdniets cdnistt cdnistd"
KNOWN = frozenset(CLAIMS.split(" "))
UNSUPPORTED = ("cdniip", "cdniets", "cdnistt", "cdnistd")  # to pass them over would widen what was signed
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
KID = re.compile(r"[A-Za-z0-9._-]{1,128}")
PREFIX = re.compile(r"[0-9a-f]{1,16}")


class BadTenant(ValueError):
    """A tenant or key that cannot be taken in; the text says why and names no secret."""


class Denied(Exception):
    """A token that is not accepted. `code` is one of RFC 6750's words."""

    def __init__(self, why: str, code: str = "invalid_token") -> None:
        super().__init__(why)
        self.why, self.code = why, code


@dataclass(frozen=True, slots=True)
class Key:
    kid: str
    alg: str
    jwk: OctKey | RSAKey | ECKey | OKPKey = field(repr=False)

    def shown(self) -> dict[str, str]:
        """What the API tells of it. The thumbprint of a shared secret would let it be guessed offline."""
        row = {"kid": self.kid, "alg": self.alg}
        if self.alg != "HS256":
            row["thumbprint"] = self.jwk.thumbprint()
        return row


def read_key(row: dict[str, Any]) -> Key:
    """A key from {kid, alg, jwk}."""
    if not isinstance(row, dict) or set(row) != {"kid", "alg", "jwk"}:
        raise BadTenant("a key has kid, alg and jwk")
    kid, alg = row["kid"], row["alg"]
    if not isinstance(kid, str) or not KID.fullmatch(kid):
        raise BadTenant("bad kid")
    if alg not in ALGORITHMS:
        raise BadTenant(f"alg is one of {', '.join(ALGORITHMS)}")
    kind, least = ALGORITHMS[alg]
    if not isinstance(row["jwk"], dict) or row["jwk"].get("kty") != kind:
        raise BadTenant(f"key {kid}: {alg} wants a jwk of kty {kind}")
    try:
        jwk = import_key(row["jwk"])
        if alg == "HS256" and len(jwk.raw_value) < least:  # type: ignore[arg-type]
            raise BadTenant(f"key {kid}: shorter than {least} bytes")
        if alg == "RS256" and jwk.raw_value.key_size < least:  # type: ignore[union-attr]
            raise BadTenant(f"key {kid}: shorter than {least} bits")
        if kind in ("EC", "OKP") and row["jwk"].get("crv") not in ("P-256", "Ed25519"):
            raise BadTenant(f"key {kid}: curve is P-256 or Ed25519")
    except BadTenant:
        raise
    except Exception:  # whatever the library makes of it; its text may hold the key
        raise BadTenant(f"key {kid}: the jwk cannot be read") from None
    return Key(kid, alg, jwk)


@dataclass(frozen=True, slots=True)
class Grant:
    """What a good token allows."""

    tenant: Tenant
    jti: str
    exp: float


@dataclass(slots=True)
class Usage:
    """What a tenant uses now. Outlives a change of the tenant, not its removal."""

    open: int = 0
    tokens: float = 0.0  # of the bucket
    filled: float = 0.0
    counts: dict[str, int] = field(default_factory=dict)
    seen: dict[str, float] = field(default_factory=dict)  # jti of accepted jobs, until when

    def first_use(self, grant: Grant) -> bool:
        """Takes the token of a job once (RFC 9246, jti). False: it was used, or no more can be remembered."""
        now = unix_seconds()
        if len(self.seen) >= NONCES:
            self.seen = {jti: end for jti, end in self.seen.items() if end > now}
        if grant.jti in self.seen or len(self.seen) >= NONCES:
            return False
        self.seen[grant.jti] = grant.exp
        return True

    def count(self, word: str) -> None:
        self.counts[word] = self.counts.get(word, 0) + 1


@dataclass(eq=False, slots=True)
class Tenant:
    name: str
    issuer: str
    audience: str
    prefixes: tuple[str, ...]  # its objects: those whose id begins so
    quota_rps: float
    most_open: int
    keys: dict[str, Key] = field(default_factory=dict)
    usage: Usage = field(default_factory=Usage)

    def owns(self, item: str) -> bool:
        return item.startswith(self.prefixes)

    def admit(self, now: float) -> float:
        """Takes one request of the quota: 0, or the seconds until the next would fit."""
        burst, used = max(1.0, self.quota_rps), self.usage
        if used.open >= self.most_open:
            return 1.0
        used.tokens = min(burst, used.tokens + (now - used.filled) * self.quota_rps) if used.filled else burst
        used.filled = now
        if used.tokens < 1.0:
            return (1.0 - used.tokens) / self.quota_rps
        used.tokens -= 1.0
        return 0.0

    def shown(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "issuer": self.issuer,
            "audience": self.audience,
            "prefixes": list(self.prefixes),
            "quota_rps": self.quota_rps,
            "most_open": self.most_open,
            "keys": [key.shown() for key in self.keys.values()],
        }


def _number(row: dict[str, Any], name: str, default: float, least: float, most: float) -> float:
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise BadTenant(f"{name} is a number from {least:g} to {most:g}")
    return value


def read_tenant(row: dict[str, Any]) -> Tenant:
    """A tenant from the operator's file or the API."""
    unknown = set(row) - {"name", "issuer", "audience", "prefixes", "quota_rps", "most_open", "keys"}
    if unknown:
        raise BadTenant(f"unknown field {sorted(unknown)[0]!r}")
    for name in ("name", "issuer", "audience"):
        if not isinstance(row.get(name), str) or not 0 < len(row[name]) <= 256:
            raise BadTenant(f"{name} is missing or not a text")
    if not NAME.fullmatch(row["name"]):
        raise BadTenant("name: small letters, digits and hyphens")
    prefixes = row.get("prefixes")
    if not isinstance(prefixes, list) or not prefixes or len(prefixes) > 64:
        raise BadTenant("prefixes is a list of 1 to 64")
    if not all(isinstance(p, str) and PREFIX.fullmatch(p) for p in prefixes):
        raise BadTenant("a prefix is 1 to 16 hex digits")
    tenant = Tenant(
        row["name"],
        row["issuer"],
        row["audience"],
        tuple(prefixes),
        float(_number(row, "quota_rps", 50, 0.01, 100_000)),
        int(_number(row, "most_open", 64, 1, 2_000)),
    )
    keys = row.get("keys", [])
    if not isinstance(keys, list):
        raise BadTenant("keys is a list")
    for item in keys:
        add_key(tenant, read_key(item))
    return tenant


def add_key(tenant: Tenant, key: Key) -> None:
    if key.kid in tenant.keys:
        raise BadTenant(f"key {key.kid} is there already")
    if len(tenant.keys) >= KEYS:
        raise BadTenant(f"a tenant has {KEYS} keys at most")
    tenant.keys[key.kid] = key


class Tenants:
    """All tenants. No object may belong to two."""

    def __init__(self) -> None:
        self.all: dict[str, Tenant] = {}

    def put(self, tenant: Tenant) -> None:
        """Adds one, or puts it in the place of its namesake, whose running counts it keeps."""
        old = self.all.get(tenant.name)
        if old is None and len(self.all) >= TENANTS:
            raise BadTenant(f"{TENANTS} tenants at most")
        for other in self.all.values():
            for a in other.prefixes if other is not old else ():
                if any(a.startswith(b) or b.startswith(a) for b in tenant.prefixes):
                    raise BadTenant(f"prefix {a} is another tenant's")
        if old is not None:
            tenant.usage = old.usage
        self.all[tenant.name] = tenant

    def verify(self, name: str, token: str, url: str) -> Grant:
        """What is allowed, if `token` is one of its own, good now and for this `url`. Raises Denied."""
        tenant = self.all.get(name)
        if tenant is None:
            raise Denied("unknown tenant")
        claims = _signed_claims(tenant, token)
        if claims.get("iss") != tenant.issuer:
            raise Denied("wrong issuer")
        audience = claims.get("aud")
        if tenant.audience not in (audience if isinstance(audience, list) else [audience]):
            raise Denied("wrong audience")
        now = unix_seconds()
        if now >= _date(claims, "exp"):
            raise Denied("expired")
        if "nbf" in claims and now < _date(claims, "nbf"):
            raise Denied("not yet valid")
        if claims.get("cdniv", 1) != 1 or isinstance(claims.get("cdniv"), bool):
            raise Denied("unknown claim set version")
        critical = claims.get("cdnicrit", "")
        if not isinstance(critical, str) or not KNOWN.issuperset(critical.split(",") if critical else ()):
            raise Denied("unknown critical claim")
        for claim in UNSUPPORTED:
            if claim in claims:
                raise Denied(f"{claim} is not supported")
        if not contains(claims.get("cdniuc"), url):
            raise Denied("the token is for another URI", "insufficient_scope")
        jti = claims.get("jti", "")
        if not isinstance(jti, str) or len(jti) > 128:
            raise Denied("jti is no text")
        return Grant(tenant, jti, _date(claims, "exp"))


def _signed_claims(tenant: Tenant, token: str) -> dict[str, Any]:
    """The claims under a good signature by one of the tenant's own keys, with the key's own algorithm."""
    if len(token) > TOKEN:
        raise Denied("token too long")
    try:
        header = jws.extract_compact(token.encode("ascii")).headers()
        key = tenant.keys.get(str(header.get("kid", "")))
        if key is None:
            raise Denied("unknown key")
        if header.get("alg") != key.alg:
            raise Denied("wrong algorithm")
        claims = jwt.decode(token, key.jwk, algorithms=[key.alg]).claims
    except (JoseError, ValueError, TypeError, AttributeError, RecursionError):
        raise Denied("bad signature") from None
    if not isinstance(claims, dict):
        raise Denied("no claims")
    return claims


def _date(claims: dict[str, Any], name: str) -> float:
    value = claims.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not -(2**53) < value < 2**53:
        raise Denied(f"{name} is missing or not a date")
    return float(value)


def contains(container: object, url: str) -> bool:
    """Is `url`, without its signing package, what the URI Container (cdniuc) stands for?"""
    if not isinstance(container, str):
        return False
    kind, _, value = container.partition(":")
    if kind == "hash":
        name, _, digest = value.partition(";")
        found = urlsafe_b64encode(hashlib.sha256(url.encode()).digest()).rstrip(b"=").decode()
        return name == "sha-256" and digest == found
    if kind == "regex" and len(value) <= PATTERN:
        return _matches(value, url)
    return False


def _matches(pattern: str, url: str) -> bool:
    """The whole URI, in linear time: a tenant's pattern must not hold up the others."""
    options = re2.Options()
    options.max_mem, options.log_errors = 1 << 20, False
    try:
        return re2.compile(pattern, options).fullmatch(url) is not None
    except re2.error:
        return False


PACKAGE = re.compile(r"([?&;])URISigningPackage=([A-Za-z0-9_.-]*)(?=([&;]|$))")


def split_package(url: str) -> tuple[str, str]:
    """The URL without its signing package, and the package ('' where there is none)."""
    found = PACKAGE.search(url)
    if found is None:
        return url, ""
    before, after = url[: found.start()], url[found.end() :]
    if found[1] == "?" and after.startswith("&"):
        after = "?" + after[1:]
    if "URISigningPackage" in after:
        raise Denied("two signing packages", "invalid_request")
    return before + after, found[2]
