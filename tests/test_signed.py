"""Tests of the signed front, the administration API and the operator's file by recorded exchanges.

Tokens and SVIDs are made here according to the public specifications, not by the code under test.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import re
import ssl
import time
from base64 import urlsafe_b64encode
from collections.abc import Mapping
from pathlib import Path

import pytest
from joserfc import jwt
from joserfc.jwk import ECKey, OctKey

from onyxpulley import operator_config
from onyxpulley.config import BadConfig

from .issuer import Authority
from .player import STEP_TIMEOUT_S, ExchangePlayer, read_cases

EXCHANGES = Path(__file__).parent / "exchanges"
PUBLIC = "https://lecciones.example"
KEYS = {name: OctKey.import_key(name.encode() * 20) for name in ("k1", "k3", "forged")}
K2 = ECKey.generate_key("P-256")
ISSUERS = {"k3": "https://sur.example"}


def base64url(data: bytes) -> str:
    return urlsafe_b64encode(data).rstrip(b"=").decode()


def make_token(options: dict[str, str], url: str) -> str:
    """Returns a URI signing package or bearer token (RFC 9246, RFC 7519), as a tenant makes it.

    `options` are those of an exchange's `<token,…>` and make the token wrong in one respect.
    """
    key = options.get("key", "k1")
    claims: dict[str, object] = {
        "iss": options.get("iss", ISSUERS.get(key, "https://norte.example")),
        "aud": [options.get("aud", PUBLIC)],
        "exp": time.time() + float(options.get("exp", "60").replace("never", "60")),
        "cdniuc": options.get("uc", "hash:sha-256;" + base64url(hashlib.sha256(url.encode()).digest())),
    }
    if "nbf" in options:
        claims["nbf"] = time.time() + float(options["nbf"])
    if options.get("exp") == "never":
        del claims["exp"]
    claims.update({name: options[name] for name in ("cdniip", "cdnicrit", "jti") if name in options})
    header = {
        "alg": options.get("alg", "ES256" if key == "k2" else "HS256"),
        "kid": key.replace("forged", "k1"),
    }
    if "alg" in options:  # the library does not sign with another algorithm than the key's: no real signature
        parts = [base64url(json.dumps(part).encode()) for part in (header, claims)]
        return ".".join([*parts, base64url(b"x" * 32) if header["alg"] != "none" else ""])
    return jwt.encode(header, claims, K2 if key == "k2" else KEYS[key], algorithms=[header["alg"]])


def fill(line: str) -> str:
    """Replaces the `<token,…>` of an exchange's line with a token for the line's URL."""
    found = re.search(r"<token([^>]*)>", line)
    if found is None:
        return line
    target = re.sub(r"([?&])URISigningPackage=<token[^>]*>(&?)", _delimiter, line.split(" ")[1])
    options = dict(pair.split("=", 1) for pair in found[1].split(",")[1:])
    return line.replace(found[0], make_token(options, PUBLIC + target))


def _delimiter(found: re.Match[str]) -> str:
    return found[1] if found[2] else ""


class AdminExchangePlayer(ExchangePlayer):
    """Plays an exchange whose callers of the administration API have SVIDs."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, fill, operator_file() + ADMIN, self.context)
        self.home = Authority()
        self.other = Authority()  # of the same trust domain's name, in no bundle
        self.next = Authority()  # trusted after `rotate`
        domain = "spiffe://letra.example"
        self.home.write_svid(folder, "svid", f"{domain}/router")
        for file, authority in (("bundle", self.home), ("home", self.home), ("next", self.next)):
            authority.write_bundle(folder / f"{file}.pem")
        for authority, file, uri in (
            (self.home, "a1", domain + "/console"),
            (self.home, "a2", domain + "/reader"),
            (self.home, "a3", domain + "/else"),
            (self.other, "a4", domain + "/console"),
            (self.home, "a5", ""),
            (self.home, "a6", "spiffe://other.example/console"),
            (self.next, "a7", domain + "/console"),
            (self.next, "next-svid", domain + "/router"),
        ):
            authority.write_svid(folder, file, *filter(None, [uri]))

    def context(self, name: str) -> ssl.SSLContext | None:
        """Returns the TLS context of a caller, or None for one of the signed front, which has no TLS here."""
        if name[0] == "h":
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False  # a SPIFFE ID is not a host name
        for bundle in ("home", "next"):
            context.load_verify_locations(self.folder / f"{bundle}.pem")
        file = self.folder / f"{name[:2]}.pem"
        context.load_cert_chain(file, file.with_suffix(".key"))
        return context

    async def step(self, line: str) -> None:
        """Adds the steps `rotate` (the files are replaced by the next authority's) and `ID turned away`."""
        if line == "rotate":
            for name in ("svid.key", "svid.pem"):
                (self.folder / name).write_bytes((self.folder / f"next-{name}").read_bytes())
            (self.folder / "bundle.pem").write_bytes((self.folder / "next.pem").read_bytes())
            async with asyncio.timeout(STEP_TIMEOUT_S):
                while "event=reloaded source=files" not in self.log.read_text():
                    await asyncio.sleep(0.05)
        elif line.endswith("turned away"):
            with pytest.raises((OSError, AssertionError)):
                await self.send(line.split()[0], "GET /v1/tenants")
                await self.expect(line.split()[0], "200")
            self.parties.pop(line.split()[0], None)
        else:
            await super().step(line)


ADMIN = """
[admin]
listen = "127.0.0.1:ADMIN"
certificate = "svid.pem"
key = "svid.key"
bundle = "bundle.pem"
trust_domain = "letra.example"
allow = [
    { id = "spiffe://letra.example/console", role = "write" },
    { id = "spiffe://letra.example/reader", role = "read" },
]
"""


def operator_file() -> str:
    """Returns an operator's file with a signed front and two tenants."""

    def tenant(name: str, prefix: str, quota: float, *keys: str) -> str:
        text = f'[[tenants]]\nname = "{name}"\nissuer = "https://{name}.example"\naudience = "{PUBLIC}"\n'
        return text + f'prefixes = ["{prefix}"]\nquota_rps = {quota}\n' + "".join(keys)

    def key(kid: str, alg: str, jwk: Mapping[str, object]) -> str:
        row = ", ".join(f'{k} = "{v}"' for k, v in jwk.items() if isinstance(v, str))
        return f'[[tenants.keys]]\nkid = "{kid}"\nalg = "{alg}"\njwk = {{ {row} }}\n'

    public = K2.as_dict(private=False)
    return (
        f'[signed]\nlisten = "127.0.0.1:HTTP"\npublic = "{PUBLIC}"\nsignature_boxes = ["o"]\n'
        + tenant("norte", "7", 100, key("k1", "HS256", KEYS["k1"].as_dict()), key("k2", "ES256", public))
        + tenant("sur", "8", 0.5, key("k3", "HS256", KEYS["k3"].as_dict()))
    )


@pytest.mark.parametrize(
    "lines", [pytest.param(lines, id=name) for name, lines in read_cases(EXCHANGES / "signed.txt")]
)
def test_signed_front(lines: list[str], tmp_path: Path) -> None:
    async def play() -> None:
        await ExchangePlayer(tmp_path, fill, operator_file()).run(lines)

    asyncio.run(play())


def test_the_example_of_an_operators_file_can_be_loaded() -> None:
    config = operator_config.load(Path(__file__).parents[1] / "deploy" / "operator.example.toml")
    assert config.signed_listen and config.admin_listen and list(config.tenants.by_name) == ["centro-norte"]
    assert config.admin_roles == {"spiffe://letra.example/staff/console": "write"}


TENANT = '[[tenants]]\nname = "{}"\nissuer = "i"\naudience = "a"\nprefixes = ["{}"]\n'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("nonsense", "not valid TOML"),
        ("[sined]", "unknown key 'sined'"),
        ('[signed]\nlisten = "nowhere"\npublic = "x"', "signed.listen is not host:port"),
        (TENANT.format("a", "7") + TENANT.format("b", "7f"), "another tenant's"),
        (TENANT.format("a", "7") + TENANT.format("a", "8"), "tenant a is defined twice"),
        (TENANT.format("a", "xyz"), "hex digits"),
        (TENANT.format("a", "7") + '[[tenants.keys]]\nkid="k"\nalg="none"\njwk={}', "alg is one of"),
        (TENANT.format("a", "7") + '[[tenants.keys]]\nkid="k"\nalg="RS256"\njwk={kty="oct"}', "kty RSA"),
    ],
)
def test_an_error_in_the_operators_file_is_reported_on_one_line(
    text: str, message: str, tmp_path: Path
) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(BadConfig, match=re.escape(message)) as error:
        operator_config.load(path)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    "lines", [pytest.param(lines, id=name) for name, lines in read_cases(EXCHANGES / "admin.txt")]
)
def test_admin_api(lines: list[str], tmp_path: Path) -> None:
    async def play() -> None:
        await AdminExchangePlayer(tmp_path).run(lines)

    asyncio.run(play())
