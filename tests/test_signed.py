"""The signed front and the administration API: recorded exchanges, tokens and SVIDs to public texts."""

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

FOLDER = Path(__file__).parent / "exchanges"
PUBLIC = "https://lecciones.example"
KEYS = {name: OctKey.import_key(name.encode() * 20) for name in ("k1", "k3", "forged")}
EC = ECKey.generate_key("P-256")
ISSUERS = {"k3": "https://sur.example"}


def b64(data: bytes) -> str:
    return urlsafe_b64encode(data).rstrip(b"=").decode()


def make_token(options: dict[str, str], url: str) -> str:
    """A URI Signing Package or bearer token (RFC 9246, 7519), as a tenant's own signer makes it."""
    key = options.get("key", "k1")
    claims: dict[str, object] = {
        "iss": options.get("iss", ISSUERS.get(key, "https://norte.example")),
        "aud": [options.get("aud", PUBLIC)],
        "exp": time.time() + float(options.get("exp", "60").replace("never", "60")),
        "cdniuc": options.get("uc", "hash:sha-256;" + b64(hashlib.sha256(url.encode()).digest())),
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
    if "alg" in options:  # not what the key is for: written by hand, signed with nothing
        parts = [b64(json.dumps(part).encode()) for part in (header, claims)]
        return ".".join([*parts, b64(b"x" * 32) if header["alg"] != "none" else ""])
    return jwt.encode(header, claims, EC if key == "k2" else KEYS[key], algorithms=[header["alg"]])


def fill(line: str) -> str:
    found = re.search(r"<token([^>]*)>", line)
    if found is None:
        return line
    target = re.sub(r"([?&])URISigningPackage=<token[^>]*>(&?)", _delimiter, line.split(" ")[1])
    options = dict(pair.split("=", 1) for pair in found[1].split(",")[1:])
    return line.replace(found[0], make_token(options, PUBLIC + target))


def _delimiter(found: re.Match[str]) -> str:
    return found[1] if found[2] else ""


class Console(ExchangePlayer):
    """A play with callers of the administration API, each with its SVID."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, fill, operator() + ADMIN, self.context)
        self.home, self.other, self.next = Authority(), Authority(), Authority()
        uri = "spiffe://letra.example"
        self.home.write_svid(folder, "svid", f"{uri}/router")
        for file, domain in (("bundle", self.home), ("home", self.home), ("next", self.next)):
            domain.write_bundle(folder / f"{file}.pem")
        for domain, file, path in (
            (self.home, "a1", uri + "/console"),
            (self.home, "a2", uri + "/reader"),
            (self.home, "a3", uri + "/else"),
            (self.other, "a4", uri + "/console"),
            (self.home, "a5", ""),
            (self.home, "a6", "spiffe://other.example/console"),
            (self.next, "a7", uri + "/console"),
            (self.next, "next-svid", uri + "/router"),
        ):
            domain.write_svid(folder, file, *filter(None, [path]))

    def context(self, name: str) -> ssl.SSLContext | None:
        if name[0] == "h":  # callers of the signed front, which is plain here
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False  # a SPIFFE peer has no host name
        for bundle in ("home", "next"):
            context.load_verify_locations(self.folder / f"{bundle}.pem")
        file = self.folder / f"{name[:2]}.pem"
        context.load_cert_chain(file, file.with_suffix(".key"))
        return context

    async def step(self, line: str) -> None:
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


def operator() -> str:
    def tenant(name: str, prefix: str, quota: float, *keys: str) -> str:
        text = f'[[tenants]]\nname = "{name}"\nissuer = "https://{name}.example"\naudience = "{PUBLIC}"\n'
        return text + f'prefixes = ["{prefix}"]\nquota_rps = {quota}\n' + "".join(keys)

    def key(kid: str, alg: str, jwk: Mapping[str, object]) -> str:
        row = ", ".join(f'{k} = "{v}"' for k, v in jwk.items() if isinstance(v, str))
        return f'[[tenants.keys]]\nkid = "{kid}"\nalg = "{alg}"\njwk = {{ {row} }}\n'

    public = EC.as_dict(private=False)
    return (
        f'[signed]\nlisten = "127.0.0.1:HTTP"\npublic = "{PUBLIC}"\nsignature_boxes = ["o"]\n'
        + tenant("norte", "7", 100, key("k1", "HS256", KEYS["k1"].as_dict()), key("k2", "ES256", public))
        + tenant("sur", "8", 0.5, key("k3", "HS256", KEYS["k3"].as_dict()))
    )


@pytest.mark.parametrize(
    "lines", [pytest.param(lines, id=name) for name, lines in read_cases(FOLDER / "signed.txt")]
)
def test_signed(lines: list[str], tmp_path: Path) -> None:
    async def play() -> None:
        await ExchangePlayer(tmp_path, fill, operator()).run(lines)

    asyncio.run(play())


def test_the_example_of_the_operators_file_loads() -> None:
    found = operator_config.load(Path(__file__).parents[1] / "deploy" / "operator.example.toml")
    assert found.signed_listen and found.admin_listen and list(found.tenants.by_name) == ["centro-norte"]
    assert found.admin_roles == {"spiffe://letra.example/staff/console": "write"}


TENANT = '[[tenants]]\nname = "{}"\nissuer = "i"\naudience = "a"\nprefixes = ["{}"]\n'


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("nonsense", "no TOML"),
        ("[sined]", "unknown key 'sined'"),
        ('[signed]\nlisten = "nowhere"\npublic = "x"', "signed.listen is not host:port"),
        (TENANT.format("a", "7") + TENANT.format("b", "7f"), "another tenant's"),
        (TENANT.format("a", "7") + TENANT.format("a", "8"), "there twice"),
        (TENANT.format("a", "xyz"), "hex digits"),
        (TENANT.format("a", "7") + '[[tenants.keys]]\nkid="k"\nalg="none"\njwk={}', "alg is one of"),
        (TENANT.format("a", "7") + '[[tenants.keys]]\nkid="k"\nalg="RS256"\njwk={kty="oct"}', "kty RSA"),
    ],
)
def test_a_bad_operators_file_is_one_clear_line(text: str, said: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(BadConfig, match=re.escape(said)) as problem:
        operator_config.load(path)
    assert "\n" not in str(problem.value)


@pytest.mark.parametrize(
    "lines", [pytest.param(lines, id=name) for name, lines in read_cases(FOLDER / "admin.txt")]
)
def test_admin(lines: list[str], tmp_path: Path) -> None:
    async def play() -> None:
        await Console(tmp_path).run(lines)

    asyncio.run(play())
