"""Tenants, their keys and quotas, and the verification of signed URLs (RFC 9246) and JWTs (RFC 7519).

No token or key is ever written to a log or an error message.
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

# Algorithm -> (JWK key type, least key size: bytes for HS256, bits for RS256). Each algorithm has one key
# type, so that a token cannot choose another algorithm for a key (algorithm confusion).
ALGORITHMS = {
    "HS256": ("oct", 32),
    "ES256": ("EC", 0),
    "RS256": ("RSA", 2048),
    "EdDSA": ("OKP", 0),
}
MAX_USED_TOKEN_IDS = 10_000  # per tenant
MAX_KEYS = 16  # per tenant
MAX_TENANTS = 1_000
MAX_TOKEN_LENGTH = 4_096  # characters
MAX_REGEX_LENGTH = 512  # characters of a URI container's regular expression
REGEX_MEMORY = 1 << 20  # bytes for a compiled regular expression
CLAIMS = "iss sub aud exp nbf iat jti cdniv cdnicrit cdniip cdniuc cdniets cdnistt cdnistd"
KNOWN_CLAIMS = frozenset(CLAIMS.split(" "))
# These restrict what a token allows. A token that has one is rejected: to ignore it would widen the grant.
UNSUPPORTED_CLAIMS = ("cdniip", "cdniets", "cdnistt", "cdnistd")
TENANT_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
KEY_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
OBJECT_PREFIX = re.compile(r"[0-9a-f]{1,16}")


class InvalidTenant(ValueError):
    """A tenant or key that cannot be accepted; the message gives the reason and contains no secret."""


class AccessDenied(Exception):
    """A token that is not accepted. `code` is an error code of RFC 6750."""

    def __init__(self, reason: str, code: str = "invalid_token") -> None:
        super().__init__(reason)
        self.reason = reason
        self.code = code


@dataclass(frozen=True, slots=True)
class Key:
    """A key with which a tenant's tokens are verified."""

    kid: str
    alg: str
    jwk: OctKey | RSAKey | ECKey | OKPKey = field(repr=False)

    def describe(self) -> dict[str, str]:
        """Returns what the administration API shows of the key.

        There is no thumbprint of a shared secret, since it would allow the secret to be guessed offline.
        """
        description = {"kid": self.kid, "alg": self.alg}
        if self.alg != "HS256":
            description["thumbprint"] = self.jwk.thumbprint()
        return description


def read_key(table: dict[str, Any]) -> Key:
    """Reads a key from a table with `kid`, `alg` and `jwk`. Raises InvalidTenant."""
    if not isinstance(table, dict) or set(table) != {"kid", "alg", "jwk"}:
        raise InvalidTenant("a key has kid, alg and jwk")
    kid, alg = table["kid"], table["alg"]
    if not isinstance(kid, str) or not KEY_ID.fullmatch(kid):
        raise InvalidTenant("bad kid")
    if alg not in ALGORITHMS:
        raise InvalidTenant(f"alg is one of {', '.join(ALGORITHMS)}")
    key_type, min_size = ALGORITHMS[alg]
    if not isinstance(table["jwk"], dict) or table["jwk"].get("kty") != key_type:
        raise InvalidTenant(f"key {kid}: {alg} wants a jwk of kty {key_type}")
    try:
        jwk = import_key(table["jwk"])
        if alg == "HS256" and len(jwk.raw_value) < min_size:  # type: ignore[arg-type]
            raise InvalidTenant(f"key {kid}: shorter than {min_size} bytes")
        if alg == "RS256" and jwk.raw_value.key_size < min_size:  # type: ignore[union-attr]
            raise InvalidTenant(f"key {kid}: shorter than {min_size} bits")
        if key_type in ("EC", "OKP") and table["jwk"].get("crv") not in ("P-256", "Ed25519"):
            raise InvalidTenant(f"key {kid}: curve is P-256 or Ed25519")
    except InvalidTenant:
        raise
    except Exception:  # the library's exceptions are of many types, and their text may contain the key
        raise InvalidTenant(f"key {kid}: the jwk cannot be read") from None
    return Key(kid, alg, jwk)


@dataclass(frozen=True, slots=True)
class Grant:
    """What a valid token allows."""

    tenant: Tenant
    jti: str  # empty where the token may be used more than once
    exp: float  # Unix seconds


@dataclass(slots=True)
class Usage:
    """A tenant's current use of its quota, and its counters.

    Kept when the tenant is changed, dropped when it is removed.
    """

    open_requests: int = 0
    quota_tokens: float = 0.0  # requests that the token bucket allows now
    refilled_at: float = 0.0  # monotonic seconds of the bucket's last refill
    counts: dict[str, int] = field(default_factory=dict)  # requests by how they ended
    used_token_ids: dict[str, float] = field(default_factory=dict)  # jti -> expiry in Unix seconds

    def use_token(self, grant: Grant) -> bool:
        """Marks a single-use token (RFC 9246, jti) as used.

        Returns False if it was used before, or if no more token ids can be remembered.
        """
        now = unix_seconds()
        if len(self.used_token_ids) >= MAX_USED_TOKEN_IDS:
            self.used_token_ids = {jti: expiry for jti, expiry in self.used_token_ids.items() if expiry > now}
        if grant.jti in self.used_token_ids or len(self.used_token_ids) >= MAX_USED_TOKEN_IDS:
            return False
        self.used_token_ids[grant.jti] = grant.exp
        return True

    def count(self, result: str) -> None:
        """Counts one request by how it ended."""
        self.counts[result] = self.counts.get(result, 0) + 1


@dataclass(eq=False, slots=True)
class Tenant:
    """A tenant with its objects, quota and keys."""

    name: str
    issuer: str  # the `iss` of its tokens
    audience: str  # an `aud` of its tokens
    prefixes: tuple[str, ...]  # its objects are those whose id starts with one of these
    quota_rps: float  # requests per second
    most_open: int  # requests at a time
    keys: dict[str, Key] = field(default_factory=dict)  # by kid
    usage: Usage = field(default_factory=Usage)

    def owns(self, object_id: str) -> bool:
        """Whether an object is one of the tenant's."""
        return object_id.startswith(self.prefixes)

    def admit(self, now: float) -> float:
        """Takes one request from the quota, a token bucket that holds one second's worth of requests.

        Returns 0 if the request is admitted, else the seconds after which to try again.
        """
        burst, usage = max(1.0, self.quota_rps), self.usage
        if usage.open_requests >= self.most_open:
            return 1.0
        usage.quota_tokens = (
            min(burst, usage.quota_tokens + (now - usage.refilled_at) * self.quota_rps)
            if usage.refilled_at
            else burst
        )
        usage.refilled_at = now
        if usage.quota_tokens < 1.0:
            return (1.0 - usage.quota_tokens) / self.quota_rps
        usage.quota_tokens -= 1.0
        return 0.0

    def describe(self) -> dict[str, Any]:
        """Returns what the administration API shows of the tenant."""
        return {
            "name": self.name,
            "issuer": self.issuer,
            "audience": self.audience,
            "prefixes": list(self.prefixes),
            "quota_rps": self.quota_rps,
            "most_open": self.most_open,
            "keys": [key.describe() for key in self.keys.values()],
        }


def _number(table: dict[str, Any], name: str, default: float, minimum: float, maximum: float) -> float:
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise InvalidTenant(f"{name} is a number from {minimum:g} to {maximum:g}")
    return value


def read_tenant(table: dict[str, Any]) -> Tenant:
    """Reads a tenant from the operator's file or the administration API. Raises InvalidTenant."""
    unknown = set(table) - {"name", "issuer", "audience", "prefixes", "quota_rps", "most_open", "keys"}
    if unknown:
        raise InvalidTenant(f"unknown field {sorted(unknown)[0]!r}")
    for name in ("name", "issuer", "audience"):
        if not isinstance(table.get(name), str) or not 0 < len(table[name]) <= 256:
            raise InvalidTenant(f"{name} is missing or not a text")
    if not TENANT_NAME.fullmatch(table["name"]):
        raise InvalidTenant("name: small letters, digits and hyphens")
    prefixes = table.get("prefixes")
    if not isinstance(prefixes, list) or not prefixes or len(prefixes) > 64:
        raise InvalidTenant("prefixes is a list of 1 to 64")
    if not all(isinstance(prefix, str) and OBJECT_PREFIX.fullmatch(prefix) for prefix in prefixes):
        raise InvalidTenant("a prefix is 1 to 16 hex digits")
    tenant = Tenant(
        table["name"],
        table["issuer"],
        table["audience"],
        tuple(prefixes),
        float(_number(table, "quota_rps", 50, 0.01, 100_000)),
        int(_number(table, "most_open", 64, 1, 2_000)),
    )
    keys = table.get("keys", [])
    if not isinstance(keys, list):
        raise InvalidTenant("keys is a list")
    for key in keys:
        add_key(tenant, read_key(key))
    return tenant


def add_key(tenant: Tenant, key: Key) -> None:
    """Adds a key to a tenant. Raises InvalidTenant if its kid is in use or the tenant has too many keys."""
    if key.kid in tenant.keys:
        raise InvalidTenant(f"key {key.kid} is there already")
    if len(tenant.keys) >= MAX_KEYS:
        raise InvalidTenant(f"a tenant has {MAX_KEYS} keys at most")
    tenant.keys[key.kid] = key


class Tenants:
    """All tenants by name. No object can belong to two of them."""

    def __init__(self) -> None:
        self.by_name: dict[str, Tenant] = {}

    def put(self, tenant: Tenant) -> None:
        """Adds a tenant, or replaces the one of the same name and keeps its usage.

        Raises InvalidTenant if there are too many tenants or a prefix overlaps with another tenant's.
        """
        old = self.by_name.get(tenant.name)
        if old is None and len(self.by_name) >= MAX_TENANTS:
            raise InvalidTenant(f"{MAX_TENANTS} tenants at most")
        for other in self.by_name.values():
            for prefix in other.prefixes if other is not old else ():
                if any(prefix.startswith(new) or new.startswith(prefix) for new in tenant.prefixes):
                    raise InvalidTenant(f"prefix {prefix} is another tenant's")
        if old is not None:
            tenant.usage = old.usage
        self.by_name[tenant.name] = tenant

    def verify(self, name: str, token: str, url: str) -> Grant:
        """Returns what `token` allows the tenant `name` at `url`.

        Raises AccessDenied unless the token is signed by a key of the tenant, valid now and issued for `url`.
        """
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
    """Returns the claims of a token after verifying its signature with the tenant's key and its algorithm."""
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
    """Returns a claim that is a date, in Unix seconds. Raises AccessDenied."""
    value = claims.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not -(2**53) < value < 2**53:
        raise AccessDenied(f"{name} is missing or not a date")
    return float(value)


def container_matches(container: object, url: str) -> bool:
    """Whether a URI container (claim cdniuc) covers `url`, which has no signing package."""
    if not isinstance(container, str):
        return False
    kind, _, value = container.partition(":")
    if kind == "hash":
        algorithm, _, digest = value.partition(";")
        url_digest = urlsafe_b64encode(hashlib.sha256(url.encode()).digest()).rstrip(b"=").decode()
        return algorithm == "sha-256" and digest == url_digest
    if kind == "regex" and len(value) <= MAX_REGEX_LENGTH:
        return _matches(value, url)
    return False


def _matches(pattern: str, url: str) -> bool:
    """Whether a pattern matches the whole URL.

    RE2 matches in linear time, so that a tenant's pattern cannot delay the requests of others.
    """
    options = re2.Options()
    options.max_mem = REGEX_MEMORY
    options.log_errors = False
    try:
        return re2.compile(pattern, options).fullmatch(url) is not None
    except re2.error:
        return False


SIGNING_PACKAGE = re.compile(r"([?&;])URISigningPackage=([A-Za-z0-9_.-]*)(?=([&;]|$))")


def split_signing_package(url: str) -> tuple[str, str]:
    """Returns the URL without its signing package, and the package, or "" if there is none.

    Raises AccessDenied if there are two packages.
    """
    match = SIGNING_PACKAGE.search(url)
    if match is None:
        return url, ""
    before, after = url[: match.start()], url[match.end() :]
    if match[1] == "?" and after.startswith("&"):
        after = "?" + after[1:]
    if "URISigningPackage" in after:
        raise AccessDenied("two signing packages", "invalid_request")
    return before + after, match[2]
