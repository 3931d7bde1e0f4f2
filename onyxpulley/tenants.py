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
MAX_USED_TOKEN_IDS = 10_000  # of one tenant
MAX_KEYS = 16  # of one tenant
MAX_TENANTS = 1_000
MAX_TOKEN_LENGTH = 4_096  # characters of a token
MAX_REGEX_LENGTH = 512  # characters of a regex container
CLAIMS = "iss sub aud exp nbf iat jti cdniv cdnicrit cdniip cdniuc cdniets cdnistt cdnistd"
KNOWN_CLAIMS = frozenset(CLAIMS.split(" "))
UNSUPPORTED_CLAIMS = (
    "cdniip",
    "cdniets",
    "cdnistt",
    "cdnistd",
)  # to pass them over would widen what was signed
TENANT_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
KEY_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
OBJECT_PREFIX = re.compile(r"[0-9a-f]{1,16}")


class InvalidTenant(ValueError):
    """A tenant or key that cannot be taken in; the text says why and names no secret."""


class AccessDenied(Exception):
    """A token that is not accepted. `code` is one of RFC 6750's words."""

    def __init__(self, reason: str, code: str = "invalid_token") -> None:
        super().__init__(reason)
        self.reason, self.code = reason, code


@dataclass(frozen=True, slots=True)
class Key:
    kid: str
    alg: str
    jwk: OctKey | RSAKey | ECKey | OKPKey = field(repr=False)

    def describe(self) -> dict[str, str]:
        """What the API tells of it. The thumbprint of a shared secret would let it be guessed offline."""
        row = {"kid": self.kid, "alg": self.alg}
        if self.alg != "HS256":
            row["thumbprint"] = self.jwk.thumbprint()
        return row


def read_key(row: dict[str, Any]) -> Key:
    """A key from {kid, alg, jwk}."""
    if not isinstance(row, dict) or set(row) != {"kid", "alg", "jwk"}:
        raise InvalidTenant("a key has kid, alg and jwk")
    kid, alg = row["kid"], row["alg"]
    if not isinstance(kid, str) or not KEY_ID.fullmatch(kid):
        raise InvalidTenant("bad kid")
    if alg not in ALGORITHMS:
        raise InvalidTenant(f"alg is one of {', '.join(ALGORITHMS)}")
    kind, least = ALGORITHMS[alg]
    if not isinstance(row["jwk"], dict) or row["jwk"].get("kty") != kind:
        raise InvalidTenant(f"key {kid}: {alg} wants a jwk of kty {kind}")
    try:
        jwk = import_key(row["jwk"])
        if alg == "HS256" and len(jwk.raw_value) < least:  # type: ignore[arg-type]
            raise InvalidTenant(f"key {kid}: shorter than {least} bytes")
        if alg == "RS256" and jwk.raw_value.key_size < least:  # type: ignore[union-attr]
            raise InvalidTenant(f"key {kid}: shorter than {least} bits")
        if kind in ("EC", "OKP") and row["jwk"].get("crv") not in ("P-256", "Ed25519"):
            raise InvalidTenant(f"key {kid}: curve is P-256 or Ed25519")
    except InvalidTenant:
        raise
    except Exception:  # whatever the library makes of it; its text may hold the key
        raise InvalidTenant(f"key {kid}: the jwk cannot be read") from None
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

    open_requests: int = 0
    quota_tokens: float = 0.0  # of the bucket
    refilled_at: float = 0.0
    counts: dict[str, int] = field(default_factory=dict)
    used_token_ids: dict[str, float] = field(default_factory=dict)  # jti of accepted jobs, until when

    def use_token(self, grant: Grant) -> bool:
        """Takes the token of a job once (RFC 9246, jti). False: it was used, or no more can be remembered."""
        now = unix_seconds()
        if len(self.used_token_ids) >= MAX_USED_TOKEN_IDS:
            self.used_token_ids = {jti: end for jti, end in self.used_token_ids.items() if end > now}
        if grant.jti in self.used_token_ids or len(self.used_token_ids) >= MAX_USED_TOKEN_IDS:
            return False
        self.used_token_ids[grant.jti] = grant.exp
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
        if used.open_requests >= self.most_open:
            return 1.0
        used.quota_tokens = (
            min(burst, used.quota_tokens + (now - used.refilled_at) * self.quota_rps)
            if used.refilled_at
            else burst
        )
        used.refilled_at = now
        if used.quota_tokens < 1.0:
            return (1.0 - used.quota_tokens) / self.quota_rps
        used.quota_tokens -= 1.0
        return 0.0

    def describe(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "issuer": self.issuer,
            "audience": self.audience,
            "prefixes": list(self.prefixes),
            "quota_rps": self.quota_rps,
            "most_open": self.most_open,
            "keys": [key.describe() for key in self.keys.values()],
        }


def _number(row: dict[str, Any], name: str, default: float, least: float, most: float) -> float:
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise InvalidTenant(f"{name} is a number from {least:g} to {most:g}")
    return value


def read_tenant(row: dict[str, Any]) -> Tenant:
    """A tenant from the operator's file or the API."""
    unknown = set(row) - {"name", "issuer", "audience", "prefixes", "quota_rps", "most_open", "keys"}
    if unknown:
        raise InvalidTenant(f"unknown field {sorted(unknown)[0]!r}")
    for name in ("name", "issuer", "audience"):
        if not isinstance(row.get(name), str) or not 0 < len(row[name]) <= 256:
            raise InvalidTenant(f"{name} is missing or not a text")
    if not TENANT_NAME.fullmatch(row["name"]):
        raise InvalidTenant("name: small letters, digits and hyphens")
    prefixes = row.get("prefixes")
    if not isinstance(prefixes, list) or not prefixes or len(prefixes) > 64:
        raise InvalidTenant("prefixes is a list of 1 to 64")
    if not all(isinstance(p, str) and OBJECT_PREFIX.fullmatch(p) for p in prefixes):
        raise InvalidTenant("a prefix is 1 to 16 hex digits")
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
        raise InvalidTenant("keys is a list")
    for item in keys:
        add_key(tenant, read_key(item))
    return tenant


def add_key(tenant: Tenant, key: Key) -> None:
    if key.kid in tenant.keys:
        raise InvalidTenant(f"key {key.kid} is there already")
    if len(tenant.keys) >= MAX_KEYS:
        raise InvalidTenant(f"a tenant has {MAX_KEYS} keys at most")
    tenant.keys[key.kid] = key


class Tenants:
    """All tenants. No object may belong to two."""

    def __init__(self) -> None:
        self.by_name: dict[str, Tenant] = {}

    def put(self, tenant: Tenant) -> None:
        """Adds one, or puts it in the place of its namesake, whose running counts it keeps."""
        old = self.by_name.get(tenant.name)
        if old is None and len(self.by_name) >= MAX_TENANTS:
            raise InvalidTenant(f"{MAX_TENANTS} tenants at most")
        for other in self.by_name.values():
            for a in other.prefixes if other is not old else ():
                if any(a.startswith(b) or b.startswith(a) for b in tenant.prefixes):
                    raise InvalidTenant(f"prefix {a} is another tenant's")
        if old is not None:
            tenant.usage = old.usage
        self.by_name[tenant.name] = tenant

    def verify(self, name: str, token: str, url: str) -> Grant:
        """What is allowed, if `token` is one of its own, good now and for this `url`. Raises AccessDenied."""
        tenant = self.by_name.get(name)
        if tenant is None:
            raise AccessDenied("unknown tenant")
        claims = _signed_claims(tenant, token)
        if claims.get("iss") != tenant.issuer:
            raise AccessDenied("wrong issuer")
        audience = claims.get("aud")
        if tenant.audience not in (audience if isinstance(audience, list) else [audience]):
            raise AccessDenied("wrong audience")
        now = unix_seconds()
        if now >= _date(claims, "exp"):
            raise AccessDenied("expired")
        if "nbf" in claims and now < _date(claims, "nbf"):
            raise AccessDenied("not yet valid")
        if claims.get("cdniv", 1) != 1 or isinstance(claims.get("cdniv"), bool):
            raise AccessDenied("unknown claim set version")
        critical = claims.get("cdnicrit", "")
        if not isinstance(critical, str) or not KNOWN_CLAIMS.issuperset(
            critical.split(",") if critical else ()
        ):
            raise AccessDenied("unknown critical claim")
        for claim in UNSUPPORTED_CLAIMS:
            if claim in claims:
                raise AccessDenied(f"{claim} is not supported")
        if not container_matches(claims.get("cdniuc"), url):
            raise AccessDenied("the token is for another URI", "insufficient_scope")
        jti = claims.get("jti", "")
        if not isinstance(jti, str) or len(jti) > 128:
            raise AccessDenied("jti is no text")
        return Grant(tenant, jti, _date(claims, "exp"))


def _signed_claims(tenant: Tenant, token: str) -> dict[str, Any]:
    """The claims under a good signature by one of the tenant's own keys, with the key's own algorithm."""
    if len(token) > MAX_TOKEN_LENGTH:
        raise AccessDenied("token too long")
    try:
        header = jws.extract_compact(token.encode("ascii")).headers()
        key = tenant.keys.get(str(header.get("kid", "")))
        if key is None:
            raise AccessDenied("unknown key")
        if header.get("alg") != key.alg:
            raise AccessDenied("wrong algorithm")
        claims = jwt.decode(token, key.jwk, algorithms=[key.alg]).claims
    except (JoseError, ValueError, TypeError, AttributeError, RecursionError):
        raise AccessDenied("bad signature") from None
    if not isinstance(claims, dict):
        raise AccessDenied("no claims")
    return claims


def _date(claims: dict[str, Any], name: str) -> float:
    value = claims.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not -(2**53) < value < 2**53:
        raise AccessDenied(f"{name} is missing or not a date")
    return float(value)


def container_matches(container: object, url: str) -> bool:
    """Is `url`, without its signing package, what the URI Container (cdniuc) stands for?"""
    if not isinstance(container, str):
        return False
    kind, _, value = container.partition(":")
    if kind == "hash":
        name, _, digest = value.partition(";")
        found = urlsafe_b64encode(hashlib.sha256(url.encode()).digest()).rstrip(b"=").decode()
        return name == "sha-256" and digest == found
    if kind == "regex" and len(value) <= MAX_REGEX_LENGTH:
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


SIGNING_PACKAGE = re.compile(r"([?&;])URISigningPackage=([A-Za-z0-9_.-]*)(?=([&;]|$))")


def split_signing_package(url: str) -> tuple[str, str]:
    """The URL without its signing package, and the package ('' where there is none)."""
    found = SIGNING_PACKAGE.search(url)
    if found is None:
        return url, ""
    before, after = url[: found.start()], url[found.end() :]
    if found[1] == "?" and after.startswith("&"):
        after = "?" + after[1:]
    if "URISigningPackage" in after:
        raise AccessDenied("two signing packages", "invalid_request")
    return before + after, found[2]
